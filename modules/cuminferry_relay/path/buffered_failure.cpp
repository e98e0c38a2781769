#include "cuminferry_relay/path/buffered_failure.h"

#include <utility>

namespace cuminferry {

void buffered_failure::Begin(http_head head) {
  head_ = std::move(head);
  body_.clear();
  is_complete_ = false;
}

bool buffered_failure::Append(std::string_view bytes) {
  body_.append(bytes);
  return body_.size() <= kMaxBodyBytes;
}

void buffered_failure::Drop() {
  head_.reset();
  body_.clear();
  is_complete_ = false;
}

void buffered_failure::SendTo(server_exchange& client) {
  client.SendHead(std::move(*head_));
  client.SendBody(body_);
  Drop();
}

}  // namespace cuminferry
