#include "cuminferry_relay/path/request_body_buffer.h"

#include <cassert>

namespace cuminferry {

void request_body_buffer::Append(std::string_view bytes) {
  received_bytes_ += bytes.size();
  if (!is_complete_) {
    return;
  }
  bytes_.append(bytes);
  CutIfLong();
}

void request_body_buffer::Release() {
  is_held_ = false;
  CutIfLong();
}

void request_body_buffer::CutIfLong() {
  if (!is_held_ && bytes_.size() > kMaxBytes) {
    is_complete_ = false;
    bytes_.resize(request_digest::kMaxDigestedBodyBytes);
    bytes_.shrink_to_fit();
  }
}

std::string_view request_body_buffer::bytes() const {
  assert(is_complete_);
  return bytes_;
}

void request_body_buffer::Drop() {
  is_complete_ = false;
  bytes_.clear();
  bytes_.shrink_to_fit();
}

request_parts request_body_buffer::PartsOf(const http_head& request,
                                           std::string_view customer) const {
  const std::string* host = request.Find("host");
  return {.method = request.method,
          .host = host == nullptr ? std::string_view() : std::string_view(*host),
          .path = request.target,
          .customer = customer,
          .body = bytes_,
          .is_body_truncated = is_digestible()};
}

}  // namespace cuminferry
