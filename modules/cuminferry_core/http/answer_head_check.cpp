#include "cuminferry_core/http/answer_head_check.h"

#include <array>
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
constexpr std::string_view kMixedLineEnds = "a line feed alone behind other ends of lines";
constexpr std::string_view kBadName = "a byte that no field's name has";
constexpr std::string_view kNoName = "a field without a name or colon";
constexpr std::string_view kBlankBeforeFields = "a blank before the first field";
constexpr std::string_view kBadCoding = "a transfer coding that nobody asked for";
constexpr std::string_view kBadValue = "a control byte in a field's value";

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

bool IsBlank(char byte) { return byte == ' ' || byte == '\t'; }

using byte_set = std::array<bool, 256>;

// The bytes of a field's name (a token of RFC 9110, section 5.6.2).
constexpr byte_set kNameBytes = [] {
  byte_set bytes{};
  for (const unsigned char byte : std::string_view(
           "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")) {
    bytes[byte] = true;
  }
  return bytes;
}();

// The bytes of a reason phrase or of a field's value.
constexpr byte_set kTextBytes = [] {
  constexpr std::size_t kDelete = 0x7F;
  byte_set bytes{};
  for (std::size_t byte = ' '; byte < bytes.size(); ++byte) {
    bytes[byte] = byte != kDelete;
  }
  bytes['\t'] = true;
  return bytes;
}();

bool IsIn(const byte_set& bytes, char byte) { return bytes[static_cast<unsigned char>(byte)]; }

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
      return IsIn(kTextBytes, byte) ? kAllowed : kBadReason;
    case step::kLineBegin:
      return ReadLineBegin(byte);
    case step::kName:
      return ReadName(byte);
    case step::kValue:
      return ReadValue(byte);
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

std::string_view answer_head_check::ReadLineBegin(char byte) {
  if (IsBlank(byte)) {
    // The line continues the value before it.
    step_ = step::kValue;
    return has_fields_ ? kAllowed : kBlankBeforeFields;
  }
  const std::string_view problem = EndField();
  if (!problem.empty()) {
    return problem;
  }
  has_fields_ = true;
  step_ = step::kName;
  return ReadName(byte);
}

std::string_view answer_head_check::ReadName(char byte) {
  if (byte == ':') {
    step_ = step::kValue;
    return name_.length() > 0 ? kAllowed : kNoName;
  }
  name_.Add(byte);
  return IsIn(kNameBytes, byte) ? kAllowed : kBadName;
}

std::string_view answer_head_check::ReadValue(char byte) {
  if (!IsIn(kTextBytes, byte)) {
    return kBadValue;
  }
  if (!name_.is_whole()) {
    return kAllowed;
  }
  if (IsBlank(byte)) {
    is_coding_ended_ = coding_.length() > 0;
    return kAllowed;
  }
  coding_.Add(byte);
  return is_coding_ended_ ? kBadCoding : kAllowed;
}

std::string_view answer_head_check::EndLine() {
  const bool is_line_feed_alone = !std::exchange(after_carriage_return_, false);
  switch (step_) {
    case step::kBeforeStatusLine:
      return kAllowed;
    case step::kVersion:
      return kBadVersion;
    case step::kStatus:
    case step::kReason:
      ends_with_line_feed_alone_ = is_line_feed_alone;
      return EndStatusLine();
    case step::kName:
      return kNoName;
    case step::kLineBegin:
      step_ = step::kComplete;
      break;
    case step::kValue:
      step_ = step::kLineBegin;
      break;
    case step::kComplete:
      break;
  }
  if (is_line_feed_alone != ends_with_line_feed_alone_) {
    return kMixedLineEnds;
  }
  return is_complete() ? EndField() : kAllowed;
}

// Folded lines belong to a field, so that it ends only where the next one or the body begins.
std::string_view answer_head_check::EndField() {
  const bool names_coding = name_.is_whole() && !is_interim();
  const bool is_allowed = !names_coding || (knows_chunks_ && !has_coding_ && coding_.is_whole());
  has_coding_ = has_coding_ || names_coding;
  name_.Clear();
  coding_.Clear();
  is_coding_ended_ = false;
  return is_allowed ? kAllowed : kBadCoding;
}

std::string_view answer_head_check::EndStatusLine() {
  step_ = step::kLineBegin;
  const bool is_status = status_digits_ == kStatusDigits && status_ >= kFirstStatus &&
                         status_ <= kLastStatus && status_ != kSwitchingProtocols;
  return is_status ? kAllowed : kBadStatus;
}

}  // namespace cuminferry
