#include "cuminferry_core/http/answer_head_check.h"

#include <utility>

namespace cuminferry {
namespace {

// "d" stands for a digit of any value.
constexpr std::string_view kVersionForm = "HTTP/1.d";
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
// No request asks for another protocol, and the bytes after such a head would be of that protocol.
constexpr int kSwitchingProtocols = 101;

constexpr std::string_view kAllowed;
constexpr std::string_view kBadVersion = "no status line of HTTP/1";
constexpr std::string_view kBadStatus = "a status that HTTP doesn't have";
constexpr std::string_view kBadReason = "a control byte in the reason phrase";
constexpr std::string_view kBadLineEnd = "a carriage return without a line feed";
constexpr std::string_view kBadCoding = "a transfer coding that nobody asked for";

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

}  // namespace

void answer_head_check::Begin() { *this = answer_head_check(); }

std::size_t answer_head_check::Read(std::string_view bytes) {
  std::size_t read = 0;
  while (read < bytes.size() && step_ < step::kFields && problem_.empty()) {
    problem_ = ReadByte(bytes[read++]);
  }
  if (step_ != step::kFields || !problem_.empty()) {
    return read;
  }
  read += fields_.Read(bytes.substr(read));
  problem_ = fields_.problem();
  if (fields_.is_complete()) {
    step_ = step::kComplete;
    problem_ = EndFields();
  }
  return read;
}

std::string_view answer_head_check::ReadByte(char byte) {
  if (byte == '\n') {
    return EndStatusLine();
  }
  if (after_carriage_return_) {
    return kBadLineEnd;
  }
  if (byte == '\r') {
    after_carriage_return_ = true;
    return kAllowed;
  }
  return ReadStatusLine(byte);
}

std::string_view answer_head_check::ReadStatusLine(char byte) {
  switch (step_) {
    case step::kBeforeStatusLine:
      step_ = step::kVersion;
      return ReadVersion(byte);
    case step::kVersion:
      return ReadVersion(byte);
    case step::kStatus:
      return ReadStatus(byte);
    case step::kReason:
      return IsTextByte(byte) ? kAllowed : kBadReason;
    case step::kFields:
    case step::kComplete:
      break;
  }
  return kAllowed;
}

std::string_view answer_head_check::ReadVersion(char byte) {
  if (version_length_ == kVersionForm.size()) {
    step_ = step::kStatus;
    return byte == ' ' ? kAllowed : kBadVersion;
  }
  const char expected = kVersionForm[version_length_++];
  knows_chunks_ = byte != '0';  // The last byte is the minor version.
  const bool is_expected = expected == 'd' ? IsDigit(byte) : byte == expected;
  return is_expected ? kAllowed : kBadVersion;
}

std::string_view answer_head_check::ReadStatus(char byte) {
  if (byte == ' ' && status_digits_ == 0) {
    return kAllowed;
  }
  if (byte == ' ' && status_digits_ == kStatusDigits) {
    step_ = step::kReason;
    return kAllowed;
  }
  if (!IsDigit(byte) || status_digits_ == kStatusDigits) {
    return kBadStatus;
  }
  ++status_digits_;
  status_ = status_ * 10 + (byte - '0');
  return kAllowed;
}

std::string_view answer_head_check::EndStatusLine() {
  const bool is_line_feed_alone = !std::exchange(after_carriage_return_, false);
  if (step_ == step::kBeforeStatusLine) {
    return kAllowed;
  }
  if (step_ == step::kVersion) {
    return kBadVersion;
  }
  step_ = step::kFields;
  fields_ = field_lines_check(is_line_feed_alone ? line_end::kLineFeedAlone
                                                 : line_end::kWithCarriageReturn);
  const bool is_status = status_digits_ == kStatusDigits && status_ >= kFirstStatus &&
                         status_ <= kLastStatus && status_ != kSwitchingProtocols;
  return is_status ? kAllowed : kBadStatus;
}

std::string_view answer_head_check::EndFields() const {
  using coding = field_lines_check::coding;
  const coding named = fields_.transfer_coding();
  const bool is_read = named == coding::kNone || (named == coding::kChunks && knows_chunks_);
  // An interim answer has no body.
  return is_read || is_interim() ? kAllowed : kBadCoding;
}

}  // namespace cuminferry
