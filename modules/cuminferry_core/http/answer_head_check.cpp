#include "cuminferry_core/http/answer_head_check.h"

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

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

// A byte of a reason phrase or of a field's value.
bool IsText(char byte) {
  const auto value = static_cast<unsigned char>(byte);
  return byte == '\t' || (value >= ' ' && value != 0x7F);
}

}  // namespace

void answer_head_check::Begin() { *this = answer_head_check(); }

std::size_t answer_head_check::Read(std::string_view bytes) {
  std::size_t read = 0;
  while (read < bytes.size() && !is_complete() && problem_.empty()) {
    problem_ = ReadByte(bytes[read++]);
  }
  return read;
}

std::string_view answer_head_check::ReadByte(char byte) {
  if (byte == '\n') {
    after_carriage_return_ = false;
    return EndLine();
  }
  if (after_carriage_return_) {
    return kBadLineEnd;
  }
  if (byte == '\r') {
    after_carriage_return_ = true;
    return kAllowed;
  }
  return ReadByteInLine(byte);
}

std::string_view answer_head_check::ReadByteInLine(char byte) {
  switch (step_) {
    case step::kBeforeStatusLine:
      step_ = step::kVersion;
      return ReadVersion(byte);
    case step::kVersion:
      return ReadVersion(byte);
    case step::kStatus:
      return ReadStatus(byte);
    case step::kReason:
      return IsText(byte) ? kAllowed : kBadReason;
    case step::kLineBegin:
      step_ = step::kField;
      return kAllowed;
    case step::kField:
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

std::string_view answer_head_check::EndLine() {
  switch (step_) {
    case step::kBeforeStatusLine:
      return kAllowed;
    case step::kVersion:
      return kBadVersion;
    case step::kStatus:
    case step::kReason:
      return EndStatusLine();
    case step::kLineBegin:
      step_ = step::kComplete;
      return kAllowed;
    case step::kField:
      step_ = step::kLineBegin;
      return kAllowed;
    case step::kComplete:
      break;
  }
  return kAllowed;
}

std::string_view answer_head_check::EndStatusLine() {
  step_ = step::kLineBegin;
  const bool is_status = status_digits_ == kStatusDigits && status_ >= kFirstStatus &&
                         status_ <= kLastStatus && status_ != kSwitchingProtocols;
  return is_status ? kAllowed : kBadStatus;
}

}  // namespace cuminferry
