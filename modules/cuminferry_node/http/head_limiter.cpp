#include "cuminferry_node/http/head_limiter.h"

namespace cuminferry {
namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";

}  // namespace

void head_limiter::BeginMessage(instant deadline) {
  *this = head_limiter();
  deadline_ = deadline;
}

bool head_limiter::Consume(std::string_view bytes) {
  for (const char each : bytes) {
    if (is_complete_) {
      return true;
    }
    ++byte_count_;
    if (each == kEndOfHead[matched_end_bytes_]) {
      ++matched_end_bytes_;
    } else {
      matched_end_bytes_ = each == kEndOfHead.front() ? 1 : 0;
    }
    is_complete_ = matched_end_bytes_ == kEndOfHead.size();
  }
  return is_complete_ || byte_count_ <= kMaxBytes;
}

}  // namespace cuminferry
