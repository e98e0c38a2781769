#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cuminferry_core/text/streamed_match.h"

namespace cuminferry {

/** How the ends of a message's lines are written. */
enum class line_end : std::uint8_t { kWithCarriageReturn, kLineFeedAlone };

/** Whether a byte may be part of a reason phrase, of a field's value or of a chunk's extension. */
bool IsTextByte(char byte);

/** Finds in the field lines of a head, or of a trailer, whether HTTP allows them (RFC 9112, section
   5).

    Parsers that are lenient pass on names with blanks, which the next reader understands otherwise.
    Takes bytes in pieces of any size; keeps none of them. Folded lines are allowed.
*/
class field_lines_check {
 public:
  /** @param expected_end  how the lines have to end */
  explicit field_lines_check(line_end expected_end = line_end::kWithCarriageReturn)
      : expected_end_(expected_end) {}

  /** Reads bytes up to the end of the empty line, or to the first one that HTTP doesn't allow, and
      returns their number. */
  std::size_t Read(std::string_view bytes);

  /** What HTTP doesn't allow, as one of a small number of texts; empty if nothing. */
  std::string_view problem() const { return problem_; }
  /** Whether the empty line has ended. */
  bool is_complete() const { return step_ == step::kComplete; }

  /** What the fields Transfer-Encoding before the empty line name. */
  enum class coding : std::uint8_t { kNone, kChunks, kOther };
  coding transfer_coding() const { return coding_; }

 private:
  enum class step : std::uint8_t { kLineBegin, kName, kValue, kComplete };

  // Each returns what is wrong with the byte or line, and nothing if HTTP allows it.
  std::string_view ReadByte(char byte);
  std::string_view ReadByteInLine(char byte);
  std::string_view ReadLineBegin(char byte);
  std::string_view ReadName(char byte);
  std::string_view ReadValue(char byte);
  std::string_view EndLine();
  void EndField();

  line_end expected_end_;
  step step_ = step::kLineBegin;
  std::string_view problem_;
  streamed_match name_{"transfer-encoding"};
  // The value of Transfer-Encoding without blanks around it.
  streamed_match value_{"chunked"};
  bool is_value_ended_ = false;
  coding coding_ = coding::kNone;
  bool has_fields_ = false;
  // The last byte was a carriage return, so that the line has to end.
  bool after_carriage_return_ = false;
};

}  // namespace cuminferry
