#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Reads the body of another node's message and passes it to `on_whole`.
    @param max_bytes  maximum size in bytes; a longer body is answered with status 413 */
void ReadWholeBody(const std::shared_ptr<server_exchange>& peer, std::size_t max_bytes,
                   std::function<void(server_exchange&, std::string_view)> on_whole);

/** Sends messages to other nodes and collects their replies. */
class peer_queries {
 public:
  /** Maximum size of a reply in bytes; a longer one counts as no reply. */
  static constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

  /** Receives the body of a reply with status 200, an empty string for any other status, or
      nothing if the node did not reply in time. */
  using reply_hook = std::function<void(std::optional<std::string>)>;

  /** @param kind  label of the messages' metrics. @see relay_metrics::OnControlMessage */
  peer_queries(relay_board& board, std::string_view kind);
  ~peer_queries();
  peer_queries(const peer_queries&) = delete;
  peer_queries& operator=(const peer_queries&) = delete;

  struct message {
    endpoint peer;
    std::string method = "GET";
    std::string target;
    std::string body;
    /** Maximum time to wait for the reply. */
    duration limit{};
  };

  /** Sends a message; the hook is called once. */
  void Send(const message& request, reply_hook on_reply);

 private:
  struct pending_query;

  void OnComplete(std::uint64_t number, bool was_answered);

  relay_board& board_;
  std::string kind_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, std::unique_ptr<pending_query>> pending_;
  // Destroyed in a later iteration of the event loop, as a query may complete in one of its own
  // hooks.
  std::vector<std::unique_ptr<pending_query>> completed_;
  loop_timer cleanup_timer_;
};

}  // namespace cuminferry
