#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cuminferry_core/text/streamed_match.h"

namespace cuminferry {

/** Finds in the bytes of an answer whether HTTP allows its head (RFC 9112, sections 2, 4 and 5).

    The parsers in use are lenient: they take a status of 000 for an interim answer, and read what
    follows as the final one; they pass on names with blanks, which the next reader understands
    otherwise. What is wrong is found before the end of the head, so that a reader that passes on
    nothing before that end passes on nothing of such an answer.

    Folded lines are allowed, and so is a line feed alone at the end of each line. Of the codings of
    a transfer only chunks are, from HTTP/1.1 on: no request asks for another one, and the body
   would be passed on in it without the field that names it.

    Takes bytes in pieces of any size; keeps none of them.
*/
class answer_head_check {
 public:
  /** Starts with the head of the next answer. */
  void Begin();

  /** Reads bytes up to the end of the head, or to the first one that HTTP doesn't allow, and
      returns their number. */
  std::size_t Read(std::string_view bytes);

  /** What HTTP doesn't allow in the head, as one of a small number of texts; empty if nothing. */
  std::string_view problem() const { return problem_; }

  /** Whether the head has ended; what follows is its body, or the next head. */
  bool is_complete() const { return step_ == step::kComplete; }
  /** Whether the complete head is that of an interim answer, which another head follows. */
  bool is_interim() const { return status_ < kFirstFinalStatus; }

 private:
  enum class step : std::uint8_t {
    kBeforeStatusLine,
    kVersion,
    kStatus,
    kReason,
    kLineBegin,
    kName,
    kValue,
    kComplete
  };
  static constexpr int kFirstFinalStatus = 200;

  // Each returns what is wrong with the byte or line, and nothing if HTTP allows it.
  std::string_view ReadByte(char byte);
  std::string_view ReadByteInLine(char byte);
  std::string_view ReadVersion(char byte);
  std::string_view ReadStatus(char byte);
  std::string_view ReadLineBegin(char byte);
  std::string_view ReadName(char byte);
  std::string_view ReadValue(char byte);
  std::string_view EndLine();
  std::string_view EndStatusLine();
  std::string_view EndField();

  step step_ = step::kBeforeStatusLine;
  std::string_view problem_;
  std::size_t version_length_ = 0;
  std::size_t status_digits_ = 0;
  int status_ = 0;
  streamed_match name_{"transfer-encoding"};
  // The value of Transfer-Encoding without blanks around it.
  streamed_match coding_{"chunked"};
  bool is_coding_ended_ = false;
  bool has_coding_ = false;
  bool knows_chunks_ = false;
  bool has_fields_ = false;
  // The last byte was a carriage return, so that the line has to end.
  bool after_carriage_return_ = false;
  // Whether the status line has ended with a line feed alone; other lines have to end in that way.
  bool ends_with_line_feed_alone_ = false;
};

}  // namespace cuminferry
