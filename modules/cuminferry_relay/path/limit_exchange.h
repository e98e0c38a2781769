#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Exchanges customers' request counts between the ingress nodes, which admit the requests, and
    the coordinators, which add the counts up. Sends reports to coordinators, answers the reports
    of other nodes and resumes the requests that wait for a reply.

    With the setting customer_shares, the reports and replies also carry what fair shares of
    customers need, on a path of its own. A node that does not know this path gets the reports for
    the limits on the previous one.

    @see customer_limits, customer_coordinator, customer_shares
*/
class limit_exchange {
 public:
  /** Maximum time for a reply. Nodes answer within milliseconds, and a request may have to wait
      for two coordinators in turn. */
  static constexpr duration kReplyTimeout = std::chrono::milliseconds(200);
  /** Time for which a coordinator that did not reply is not queried again. */
  static constexpr duration kNoReplyPause = std::chrono::seconds(1);
  /** Time for which a node that does not know kSharesPath is sent kLimitsPath only. It may be
      replaced by a newer release at any time. */
  static constexpr duration kPreviousReleasePause = std::chrono::seconds(60);

  explicit limit_exchange(relay_board& board);
  ~limit_exchange();
  limit_exchange(const limit_exchange&) = delete;
  limit_exchange& operator=(const limit_exchange&) = delete;

  /** Queries a coordinator of the customer and calls the hook once one has replied or none
      did. */
  void QueryCoordinator(const std::string& customer, std::function<void()> on_replied);
  /** Answers another node's report on the requests that it received. */
  void OnRequest(std::shared_ptr<server_exchange> peer);
  /** Answers another node's share_query. */
  void OnShareQuery(std::shared_ptr<server_exchange> peer);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
