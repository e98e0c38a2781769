#pragma once

#include <functional>
#include <memory>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Accepts requests from other nodes for this node's backend server, queues them until a slot is
    free, runs them and checks the answers.

    Only this node sends requests to the backend server, so the gate knows exactly how many are
    running.
*/
class serving_side {
 public:
  explicit serving_side(relay_board& board);
  ~serving_side();
  serving_side(const serving_side&) = delete;
  serving_side& operator=(const serving_side&) = delete;

  /** A node has sent a request for the backend server. */
  void OnRequest(std::shared_ptr<server_exchange> peer);
  /** A node asks whether the own backend server, which it doesn't list, serves. */
  void OnRegistrationQuery(std::shared_ptr<server_exchange> peer);
  /** The table or the list of instances has changed. */
  void OnPublishedItemsChanged();

  /** Number of requests that wait or run. */
  std::size_t in_progress() const;
  /** Sets the gauges of the gate, the admission level and the calls per run. */
  void SetGauges(relay_metrics& metrics) const;

 private:
  struct state;

  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
