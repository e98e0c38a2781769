#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/http/http_server.h"

namespace cuminferry {

/** Buffers the beginning of an answer while it is not decided whether it is passed on, or how. */
class buffered_answer {
 public:
  /** @param max_body_bytes  maximum size of a buffered body in bytes */
  explicit buffered_answer(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

  /** Starts a new answer and discards an earlier one. */
  void Begin(http_head head);
  /** Adds received bytes of the body; false if the body is now too long to buffer. */
  bool Append(std::string_view bytes);
  /** Marks the answer as complete. */
  void Finish() { is_complete_ = true; }
  /** Discards the answer, because it was truncated or another one arrived. */
  void Drop();

  /** An answer has started and is not complete yet. */
  bool is_arriving() const { return head_.has_value() && !is_complete_; }
  /** A complete answer is buffered. */
  bool is_ready() const { return head_.has_value() && is_complete_; }
  /** HTTP status of the buffered answer; 0 if there is none. */
  int status() const { return head_ ? head_->status : 0; }

  /** The head of the buffered answer. Requires that there is one. */
  http_head& head() { return *head_; }
  /** Sends the head and the buffered part of the body to the client, and discards them. The
      caller may send the rest of the body afterwards. */
  void SendTo(server_exchange& client);

 private:
  std::size_t max_body_bytes_;
  std::optional<http_head> head_;
  std::string body_;
  bool is_complete_ = false;
};

}  // namespace cuminferry
