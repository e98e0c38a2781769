#pragma once

#include <memory>
#include <vector>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Tells all nodes which requests end the backend servers that run them.

    A node that finds something out tells kTold others, drawn at random, and each that hears it
    for the first time does the same: the whole fleet hears within a few round trips, and a node
    sends and gets about kTold messages for each end, whatever the fleet's size. Those that
    were missed, cut off or not there yet ask one other node now and then, and are told all where
    their books differ.
*/
class suspect_exchange {
 public:
  static constexpr std::size_t kTold = 3;
  static constexpr duration kAskPeriod = std::chrono::seconds(1);

  explicit suspect_exchange(relay_board& board);
  ~suspect_exchange();
  suspect_exchange(const suspect_exchange&) = delete;
  suspect_exchange& operator=(const suspect_exchange&) = delete;

  /** Takes into the book what the own node found out, and tells others. */
  void Tell(const std::vector<suspect_event>& found);
  /** Another node tells, or asks. */
  void OnRequest(const std::shared_ptr<server_exchange>& peer);
  /** Messages that told other nodes of something. */
  std::uint64_t told() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
