#include "cuminferry_core/http/field_lines_check.h"

#include <array>
#include <utility>

namespace cuminferry {
namespace {

constexpr std::string_view kAllowed;
constexpr std::string_view kBadLineEnd = "a carriage return without a line feed";
constexpr std::string_view kMixedLineEnds = "a line feed alone behind other ends of lines";
constexpr std::string_view kBadName = "a byte that no field's name has";
constexpr std::string_view kNoName = "a field without a name or colon";
constexpr std::string_view kBlankBeforeFields = "a blank before the first field";
constexpr std::string_view kBadValue = "a control byte in a field's value";

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

bool IsBlank(char byte) { return byte == ' ' || byte == '\t'; }

}  // namespace

bool IsTextByte(char byte) { return IsIn(kTextBytes, byte); }

std::size_t field_lines_check::Read(std::string_view bytes) {
  std::size_t read = 0;
  while (read < bytes.size() && !is_complete() && problem_.empty()) {
    problem_ = ReadByte(bytes[read++]);
  }
  return read;
}

std::string_view field_lines_check::ReadByte(char byte) {
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

std::string_view field_lines_check::ReadByteInLine(char byte) {
  switch (step_) {
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

std::string_view field_lines_check::ReadLineBegin(char byte) {
  if (IsBlank(byte)) {
    // The line continues the value before it.
    step_ = step::kValue;
    return has_fields_ ? kAllowed : kBlankBeforeFields;
  }
  EndField();
  has_fields_ = true;
  step_ = step::kName;
  return ReadName(byte);
}

std::string_view field_lines_check::ReadName(char byte) {
  if (byte == ':') {
    step_ = step::kValue;
    return name_.length() > 0 ? kAllowed : kNoName;
  }
  name_.Add(byte);
  return IsIn(kNameBytes, byte) ? kAllowed : kBadName;
}

std::string_view field_lines_check::ReadValue(char byte) {
  if (!IsTextByte(byte)) {
    return kBadValue;
  }
  if (!name_.is_whole()) {
    return kAllowed;
  }
  if (IsBlank(byte)) {
    is_value_ended_ = value_.length() > 0;
    return kAllowed;
  }
  if (is_value_ended_) {
    value_.Add(' ');
  }
  value_.Add(byte);
  return kAllowed;
}

std::string_view field_lines_check::EndLine() {
  const bool is_line_feed_alone = !std::exchange(after_carriage_return_, false);
  if (step_ == step::kName) {
    return kNoName;
  }
  if (is_line_feed_alone != (expected_end_ == line_end::kLineFeedAlone)) {
    return kMixedLineEnds;
  }
  if (step_ == step::kLineBegin) {
    EndField();
    step_ = step::kComplete;
  } else {
    step_ = step::kLineBegin;
  }
  return kAllowed;
}

// Folded lines belong to a field, so that it ends only where the next one, or the empty line,
// begins.
void field_lines_check::EndField() {
  if (name_.is_whole()) {
    const bool is_first = coding_ == coding::kNone;
    coding_ = is_first && value_.is_whole() ? coding::kChunks : coding::kOther;
  }
  name_.Clear();
  value_.Clear();
  is_value_ended_ = false;
}

}  // namespace cuminferry
