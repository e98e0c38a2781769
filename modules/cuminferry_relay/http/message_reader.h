#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"

namespace cuminferry {

/** Reads HTTP/1.1 messages from the bytes of one connection, strictly.

    Built on http-parser: cpp-httplib, the project's usual library, reads a
    message in a blocking call of its own thread and can't hand out a body that
    is still arriving. A length beside chunked coding is refused, so that two
    readers can't disagree on where a message ends.
*/
class message_reader {
 public:
  enum class kind : std::uint8_t { kRequests, kResponses };

  struct hooks {
    std::function<void(http_head)> on_head;
    /** An interim response (1xx) with this status came; the final one follows. */
    std::function<void(int)> on_interim;
    std::function<void(std::string_view)> on_body;
    /** The message is whole. No more bytes are read until Continue(). */
    std::function<void()> on_message_end;
  };

  message_reader(kind kind, std::size_t largest_head, hooks hooks);
  ~message_reader();
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;

  //============================================================================
  /** Takes bytes. Stops at the end of a message and returns how many were
      read. kAnswerDamaged or kBadRequestHeader where they are no message. */
  absl::StatusOr<std::size_t> Read(std::string_view bytes);
  /** The connection's other side closed in order: ends a body that lasts until
      the close. Fails where a message was not whole. */
  absl::Status ReadEnd();
  /** The next response has no body whatever its head says: it answers HEAD. */
  void ExpectNoBody(bool no_body);

  /** Nothing of a next message was read yet. */
  bool between_messages() const;
  /** The head of the current message was larger than allowed. */
  bool head_too_large() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
