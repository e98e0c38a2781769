#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cuminferry_core/http/field_lines_check.h"

namespace cuminferry {

/** Finds in the bytes of a chunked body whether HTTP allows its chunks (RFC 9112, section 7.1).

    Lenient parsers take "5 0" for a size of 5 and any two bytes for the end of a chunk, so that a
    damaged body can reach its last chunk and look whole.

    Takes bytes in pieces of any size; keeps none of them. Blanks between a size and its extension,
    or its line's end, are allowed.
*/
class chunk_check {
 public:
  /** Reads bytes up to the end of the body's trailer, or to the first one that HTTP doesn't allow,
      and returns their number. */
  std::size_t Read(std::string_view bytes);

  /** What HTTP doesn't allow, as one of a small number of texts; empty if nothing. */
  std::string_view problem() const { return problem_; }
  /** Whether the last chunk and the trailer have ended. */
  bool is_complete() const { return step_ == step::kTrailer && trailer_.is_complete(); }

 private:
  enum class step : std::uint8_t {
    kSize,
    kBehindSize,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataReturn,
    kDataLineFeed,
    kTrailer
  };

  std::size_t SkipData(std::size_t available);
  std::size_t ReadTrailer(std::string_view bytes);
  // Each returns what is wrong with the byte, and nothing if HTTP allows it.
  std::string_view ReadByte(char byte);
  std::string_view ReadSize(char byte);
  std::string_view ReadBehindSize(char byte);
  std::string_view EndSizeLine(char byte);
  std::string_view Expect(char byte, char expected, step next, std::string_view problem);

  step step_ = step::kSize;
  std::string_view problem_;
  std::size_t size_digits_ = 0;
  // Bytes of the chunk's data that are due.
  std::uint64_t data_left_ = 0;
  field_lines_check trailer_;
};

}  // namespace cuminferry
