#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Keeps backend servers in the list that serve although the platform no longer lists them, as far
    as their nodes confirm it.

    If the machines of a service lose their connection to the platform, all its entries are removed
    while its backend servers serve and can be reached. Answers to requests confirm them
    (Relay-Serving). This class queries the nodes of those that no answer has confirmed, drops
    those that the nodes deny, and tells a node that has just started which ones there are, as it
    has never seen their items.

    Off, without any message, while the setting `drain` is zero.

    @see unlisted_queries, instance_list, unlisted_headers.h
*/
class unlisted_exchange {
 public:
  /** Interval of the checks whether a query is due, while there are unlisted instances. */
  static constexpr duration kCheckPeriod = std::chrono::milliseconds(100);

  /** @param on_changed  called when this class has changed the instances */
  unlisted_exchange(relay_board& board, instance_list& instances, std::function<void()> on_changed);
  ~unlisted_exchange();
  unlisted_exchange(const unlisted_exchange&) = delete;
  unlisted_exchange& operator=(const unlisted_exchange&) = delete;

  /** The setting `drain` may have changed. */
  void ApplySettings();
  /** The published items, the table or the instances may have changed: drops unlisted instances
      that may not be retained. */
  void OnInstancesChanged();
  /** A node or a backend server reports that this instance leaves or that another one is at its
      address. Returns whether it was unlisted and is now dropped.
      @param why  reason, for the log */
  bool OnDenied(std::string_view id, std::string_view why);
  /** This node has copied its first published items from another one.
      @param peer  address at which that node was queried */
  void OnItemsCopied(const endpoint& peer);
  /** Another node queries the unlisted instances. */
  void OnRequest(server_exchange& peer) const;
  void SetGauges(relay_metrics& metrics) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
