#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cuminferry_policy/customers/limit_bounds.h"
#include "cuminferry_policy/customers/limit_messages.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Sums up a customer's requests over all nodes, at the one node that is the coordinator of the
    customer's limit, and computes the share of them that may be admitted.

    Guards against a customer whose clients send several times the agreed rate at all nodes at the
    same time. A limit bounds the requests that may run within a window: the rate times the window,
    plus the burst. The coordinator stores the requests that nodes have admitted, by time slice. It
    admits all requests while there is room in the window, and after that as many as fit into the
    room that becomes free. Requests that nodes admitted before they received a share are counted
    when the nodes report them, so the sum is right whatever was late or estimated.

    A coordinator that has just started doesn't know the earlier requests. It assumes that the
    window is nearly full, and admits the customer's rate, at which room becomes free.
*/
class customer_coordinator {
 public:
  /** Time constant of the moving average of a customer's request rate: long enough to measure a
      rate of some tens a second, and short compared with the window of a limit. */
  static constexpr duration kRateTime = std::chrono::milliseconds(500);
  /** Minimum time over which the rate of a new customer is averaged. */
  static constexpr duration kMinRateTime = std::chrono::milliseconds(250);
  /** Time over which free room may be used up: longer than nodes take to receive a new share. */
  static constexpr duration kRoomUseTime = std::chrono::milliseconds(400);
  /** Without a report of other nodes for longer than this, an account may be started anew, as
      another coordinator may have counted the customer's requests. */
  static constexpr duration kMaxReportGap = std::chrono::seconds(2);
  /** Nodes count as reachable again only after this time, because a node tries a failure domain
      that is cut off now and then. */
  static constexpr duration kReachConfirmTime = std::chrono::milliseconds(500);
  /** Fraction of the burst that a new coordinator assumes to be free. */
  static constexpr double kAssumedFreeBurst = 0.3;
  /** Fraction of the allowance, which any customer may run beyond its limit, that is added to the
      limit: a small customer's requests come in clumps, and a few more at once do no harm. */
  static constexpr double kAllowanceFraction = 0.1;
  /** The account of a customer without reports for this long is deleted. */
  static constexpr duration kForgetAfter = std::chrono::seconds(30);

  explicit customer_coordinator(const limit_bounds& bounds) : bounds_(bounds) {}

  void SetBounds(const limit_bounds& bounds) { bounds_ = bounds; }

  /** Counts a node's report, and returns the share that the node may admit.
      @param reachable_share  share of the fleet's nodes that can reach this coordinator. Where
                              failure domains are cut off from each other, each part of the fleet
                              has a coordinator, and all parts together must stay under the limit
      @param is_own           whether the report is this node's */
  limit_reply OnReport(const limit_report& report, const customer& of, double reachable_share,
                       bool is_own, instant now);
  /** Whether other nodes have reported this customer within kMaxReportGap. A node without such
      reports may be cut off, and then may not hand out the customer's whole limit. */
  bool HasReportsOfOthers(std::string_view name, instant now) const;

  std::size_t size() const { return accounts_.size(); }

 private:
  static constexpr std::size_t kSlices = 25;

  struct account {
    instant started_at{};
    instant last_report{};
    // The last report of another node.
    instant last_other_report{};
    // Requests a second.
    double request_rate = 0.0;
    // Admitted requests by time slice of the window, and their sum.
    std::array<double, kSlices> admitted{};
    double admitted_sum = 0.0;
    std::int64_t newest_slice = 0;
    // Share of the nodes that the account covers, and the last time at which no larger share was
    // reachable.
    double reachable_share = 1.0;
    instant not_larger_at{};
  };

  static bool WasCountedElsewhere(const limit_report& report, const customer& of, duration gap);
  void StartAccount(account& state, const customer& of, double reachable_share, instant now) const;
  /** Requests that are assumed to have been admitted within a window where nobody counted. */
  double AssumedUse(const customer& of) const;
  static void SpreadOverSlices(account& state, double requests);
  void SetReachableShare(account& state, const customer& of, double reachable_share,
                         instant now) const;
  void Advance(account& state, instant now) const;
  duration SliceTime() const;
  void Forget(instant now);

  limit_bounds bounds_;
  std::map<std::string, account, std::less<>> accounts_;
  instant last_forget_{};
};

}  // namespace cuminferry
