#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cuminferry_core/http/field_lines_check.h"

namespace cuminferry {

/** Finds in the bytes of an answer whether HTTP allows its head (RFC 9112, sections 2, 4, 5 and 6).

    The parsers in use are lenient: they take a status of 000 for an interim answer, and read what
    follows as the final one. What is wrong is found before the end of the head, so that a reader
    that passes on nothing before that end passes on nothing of such an answer.

    A line feed alone at the end of each line is allowed. Of the codings of a transfer only chunks
    are, from HTTP/1.1 on: no request asks for another one, and the body would be passed on in it
    without the field that names it.

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
  /** Whether the complete head says that the body is in chunks. */
  bool has_chunks() const {
    return fields_.transfer_coding() == field_lines_check::coding::kChunks;
  }

 private:
  enum class step : std::uint8_t {
    kBeforeStatusLine,
    kVersion,
    kStatus,
    kReason,
    kFields,
    kComplete
  };
  static constexpr int kFirstFinalStatus = 200;

  // Each returns what is wrong with the byte or line, and nothing if HTTP allows it.
  std::string_view ReadByte(char byte);
  std::string_view ReadStatusLine(char byte);
  std::string_view ReadVersion(char byte);
  std::string_view ReadStatus(char byte);
  std::string_view EndStatusLine();
  std::string_view EndFields() const;

  step step_ = step::kBeforeStatusLine;
  std::string_view problem_;
  std::size_t version_length_ = 0;
  bool knows_chunks_ = false;
  std::size_t status_digits_ = 0;
  int status_ = 0;
  // The last byte was a carriage return, so that the status line has to end.
  bool after_carriage_return_ = false;
  field_lines_check fields_;
};

}  // namespace cuminferry
