#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"

namespace cuminferry {

/** A strict incremental parser of the HTTP/1.1 messages of one connection.

    The parser is based on http-parser, because cpp-httplib, which the project uses elsewhere, reads
    a message in a blocking call on its own thread and cannot hand out a body while it is still
    arriving. A message with both Content-Length and chunked coding is rejected, because two
    parsers could disagree on where such a message ends.
*/
class message_reader {
 public:
  enum class kind : std::uint8_t { kRequests, kResponses };

  struct hooks {
    std::function<void(http_head)> on_head;
    /** Receives the status of an interim answer (1xx). The final answer follows. */
    std::function<void(int)> on_interim;
    std::function<void(std::string_view)> on_body;
    /** Called when a message is complete. Read() returns after this call, even if there are more
        bytes. */
    std::function<void()> on_message_end;
  };

  /** @param max_head_bytes  maximum size of a head in bytes. Of answers, all bytes up to the end of
                             the final head count, as interim answers may come without end. */
  message_reader(kind kind, std::size_t max_head_bytes, hooks hooks);
  ~message_reader();
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;

  //============================================================================
  /** Parses bytes up to the end of a message or of an answer's head, and returns the number of
     bytes parsed. Fails with kAnswerDamaged (answers) or kBadRequestHeader (requests) if the bytes
     are not valid. @see answer_head_check */
  absl::StatusOr<std::size_t> Read(std::string_view bytes);
  /** Handles the orderly close of the connection by the peer, which completes a body that is
      delimited by the close. Fails with kAnswerDamaged if a message is incomplete. */
  absl::Status ReadEnd();
  /** Sets whether the next answer has no body whatever its head declares, as for a HEAD request. */
  void ExpectNoBody(bool no_body);

  /** What was wrong with the bytes that failed, as one of a small number of texts. */
  std::string_view problem() const;
  /** Whether no byte of a further message has been parsed yet. */
  bool between_messages() const;
  /** Whether the head of the current message exceeds the maximum size. */
  bool head_too_large() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
