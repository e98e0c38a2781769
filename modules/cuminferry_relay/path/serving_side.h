#pragma once

#include <functional>
#include <memory>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** The side of a node that faces its own backend server: takes requests from
    other nodes, lets them wait for a slot, runs them and checks the answers.

    Only this node reaches the backend server, so its gate is exact.
*/
class serving_side {
 public:
  explicit serving_side(relay_board& board);
  ~serving_side();
  serving_side(const serving_side&) = delete;
  serving_side& operator=(const serving_side&) = delete;

  /** A request that some node placed here. */
  void OnRequest(std::shared_ptr<server_exchange> peer);
  /** The table or the instances changed. */
  void OnBoardChanged();

  /** Requests that wait or run. */
  std::size_t in_progress() const;
  /** Sets the gauges of the gate. */
  void ReportTo(relay_metrics& metrics) const;

 private:
  struct state;

  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
