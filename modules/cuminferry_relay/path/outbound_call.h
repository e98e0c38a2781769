#pragma once

#include <functional>
#include <memory>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** A request for which this node is the ingress node, from its head to its completion: finds
    the row, admits the request, places it on a target and streams both bodies.

    A client gets a refusal only if no backend server has run the request or will run it. If
    the request may have run and there is no answer, the client gets an error that leaves the
    outcome unknown.
*/
class outbound_call : public std::enable_shared_from_this<outbound_call> {
 public:
  /** @param client  the client's side of the request
      @param on_end  called once, when the request is complete; the owner then releases its
                     reference to the call */
  static std::shared_ptr<outbound_call> Make(relay_board& board,
                                             std::shared_ptr<server_exchange> client,
                                             std::function<void(outbound_call*)> on_end);
  ~outbound_call();
  outbound_call(const outbound_call&) = delete;
  outbound_call& operator=(const outbound_call&) = delete;

  /** Starts handling the request. The owner holds a reference until on_end is called. */
  void Run();

 private:
  struct state;
  outbound_call();

  std::unique_ptr<state> state_;
};

/** The header field that carries a customer's key (RFC 9110). */
inline constexpr std::string_view kAuthorizationField = "Authorization";

/** The head of an answer that this node gives itself, with the standard reason phrase. */
http_head MakeAnswer(int status);

}  // namespace cuminferry
