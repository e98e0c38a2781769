#include "cuminferry_core/http/chunk_check.h"

#include <algorithm>
#include <limits>

#include "cuminferry_core/text/ascii_text.h"

namespace cuminferry {
namespace {

constexpr int kHexadecimal = 16;

constexpr std::string_view kAllowed;
constexpr std::string_view kBadSize = "a chunk without a size";
constexpr std::string_view kBadSizeLine = "a chunk's line that doesn't end behind its size";
constexpr std::string_view kBadDataEnd = "a chunk that doesn't end where its size says";

}  // namespace

std::size_t chunk_check::Read(std::string_view bytes) {
  std::size_t read = 0;
  while (read < bytes.size() && !is_complete() && problem_.empty()) {
    if (step_ == step::kData) {
      read += SkipData(bytes.size() - read);
    } else if (step_ == step::kTrailer) {
      read += ReadTrailer(bytes.substr(read));
    } else {
      problem_ = ReadByte(bytes[read++]);
    }
  }
  return read;
}

std::size_t chunk_check::SkipData(std::size_t available) {
  const std::size_t skipped =
      static_cast<std::size_t>(std::min<std::uint64_t>(data_left_, available));
  data_left_ -= skipped;
  if (data_left_ == 0) {
    step_ = step::kDataReturn;
  }
  return skipped;
}

std::size_t chunk_check::ReadTrailer(std::string_view bytes) {
  const std::size_t read = trailer_.Read(bytes);
  problem_ = trailer_.problem();
  return read;
}

std::string_view chunk_check::ReadByte(char byte) {
  switch (step_) {
    case step::kSize:
      return ReadSize(byte);
    case step::kBehindSize:
      return ReadBehindSize(byte);
    case step::kExtension:
      return IsTextByte(byte) ? kAllowed : Expect(byte, '\r', step::kSizeLineFeed, kBadSizeLine);
    case step::kSizeLineFeed:
      return EndSizeLine(byte);
    case step::kDataReturn:
      return Expect(byte, '\r', step::kDataLineFeed, kBadDataEnd);
    case step::kDataLineFeed:
      size_digits_ = 0;
      return Expect(byte, '\n', step::kSize, kBadDataEnd);
    case step::kData:
    case step::kTrailer:
      break;
  }
  return kAllowed;
}

std::string_view chunk_check::ReadSize(char byte) {
  const auto digit = ParseInteger<std::uint64_t>({&byte, 1}, kHexadecimal);
  if (!digit) {
    return size_digits_ > 0 ? ReadBehindSize(byte) : kBadSize;
  }
  ++size_digits_;
  if (data_left_ > std::numeric_limits<std::uint64_t>::max() / kHexadecimal) {
    return kBadSize;
  }
  data_left_ = data_left_ * kHexadecimal + *digit;
  return kAllowed;
}

std::string_view chunk_check::ReadBehindSize(char byte) {
  switch (byte) {
    case ' ':
    case '\t':
      step_ = step::kBehindSize;
      return kAllowed;
    case ';':
      step_ = step::kExtension;
      return kAllowed;
    default:
      return Expect(byte, '\r', step::kSizeLineFeed, kBadSizeLine);
  }
}

std::string_view chunk_check::EndSizeLine(char byte) {
  const bool is_last = data_left_ == 0;
  return Expect(byte, '\n', is_last ? step::kTrailer : step::kData, kBadSizeLine);
}

std::string_view chunk_check::Expect(char byte, char expected, step next,
                                     std::string_view problem) {
  step_ = next;
  return byte == expected ? kAllowed : problem;
}

}  // namespace cuminferry
