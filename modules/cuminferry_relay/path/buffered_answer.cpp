#include "cuminferry_relay/path/buffered_answer.h"

#include <utility>

namespace cuminferry {

void buffered_answer::Begin(http_head head) {
  head_ = std::move(head);
  body_.clear();
  is_complete_ = false;
}

bool buffered_answer::Append(std::string_view bytes) {
  body_.append(bytes);
  return body_.size() <= max_body_bytes_;
}

void buffered_answer::Drop() {
  head_.reset();
  body_.clear();
  is_complete_ = false;
}

void buffered_answer::SendTo(server_exchange& client) {
  client.SendHead(std::move(*head_));
  client.SendBody(body_);
  Drop();
}

}  // namespace cuminferry
