#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/http/http_server.h"

namespace cuminferry {

/** Buffers a backend server's failure answer while another target is tried. If that target
    brings no answer, the client gets the buffered one unchanged. */
class buffered_failure {
 public:
  /** Maximum size of a buffered body, in bytes. Bodies of failures are seldom longer, and each
      one is held in memory. */
  static constexpr std::size_t kMaxBodyBytes = 16 * 1024;

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

  /** Sends the head and the buffered part of the body to the client, and discards them. The
      caller may send the rest of the body afterwards. */
  void SendTo(server_exchange& client);

 private:
  std::optional<http_head> head_;
  std::string body_;
  bool is_complete_ = false;
};

}  // namespace cuminferry
