#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/shares/share_messages.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** This node's part of each row's fleet-wide limit on running requests.

    The table alone splits each limit into fixed shares, one per target, so that failure domains
    that are cut off from each other together stay within the limit. A node lends unused parts of
    its share to peers in its failure domain for a time that is fixed in advance. The lender
    subtracts a part from its own share before it sends the grant, and regains it only when the
    borrower can no longer use it, even if messages are lost or late or a process restarts. See
    docs/design/limit-shares.md.

    The owner passes UsableLimit() of each row to admission as its share, on every tick and after
   every message, and calls Begin() for each call that admission starts. While the number of running
    calls is below UsableLimit(), Begin() returns true. It can return false only if UsableLimit()
   fell since it was passed to admission; the call is then refused as
   result_code::kFleetLimitReached.

    Calls are counted from Begin() to End(). A call may be begun only if it is handed to the backend
    server before its deadline and finishes by its deadline.

    Sans-I/O, guarded by the node with lock_rank::kShares. Memory: for each row at most
    kMaxLentGrants records of 32 bytes and kMaxBorrowedGrants records of 48 bytes.
*/
class limit_shares {
 public:
  /** Maximum time for which a part of a share is lent. */
  static constexpr duration kMaxGrantDuration = std::chrono::seconds(10);
  /** How long a lender waits beyond the end of a grant. Allows for clocks whose rates differ by
      up to one hundredth. */
  static constexpr duration kClockDriftMargin = kMaxGrantDuration / 50;
  /** For this long after its start a node assumes that the previous process in its slot has
      lent all that it could. */
  static constexpr duration kStartupHoldback = kMaxGrantDuration + kClockDriftMargin;
  /** A share that grows because targets were added or removed is raised only after this delay:
      until then, nodes that do not have the new table still use the parts that they will give
      up. */
  static constexpr duration kShareRaiseDelay = std::chrono::seconds(15);
  static constexpr std::size_t kMaxLentGrants = 64;
  static constexpr std::size_t kMaxBorrowedGrants = 16;
  /** UsableLimit() of a row without a limit. */
  static constexpr std::uint32_t kNoLimit = UINT32_MAX;

  struct options {
    std::string failure_domain;
    std::uint32_t target_slot = 0;
    /** Random incarnation of this process; its request numbers start there. */
    incarnation_id incarnation = 0;
    /** When this process started. */
    instant started;
  };

  explicit limit_shares(options chosen);
  ~limit_shares();

  //============================================================================
  /** Applies the limits of the own service. What was borrowed under another limit is no longer
      used for new calls; running calls continue. */
  void UseTable(const table_shard& shard, instant now);
  /** Sets the nodes of the own service in the own failure domain, without this one. */
  void UsePeers(std::span<const endpoint> peers);

  //============================================================================
  /** Whether a call of a row may start now; it then counts until End(). Always true for a row
      that is not in the table or has no limit. */
  bool Begin(std::string_view row, instant deadline, instant now);
  /** Ends the count of a call for which Begin() returned true. */
  void End(std::string_view row, instant now);
  /** Notes how many calls of a row wait for a part of the limit. */
  void SetWaitingCount(std::string_view row, std::uint32_t waiting, instant now);

  /** Returns unneeded grants, requests more, and removes expired grants. Must be called every
      50 to 100 milliseconds. */
  void Tick(instant now, share_actions& out);
  void OnRequest(endpoint from, const share_request& request, instant now, share_actions& out);
  void OnGrant(endpoint from, const share_grant& grant, instant now, share_actions& out);
  void OnReturn(endpoint from, const share_return& returned, instant now);

  //============================================================================
  /** How many calls of a row may run here now, including what is borrowed for at least the
      row's deadline; kNoLimit for a row without a limit. */
  std::uint32_t UsableLimit(std::string_view row, instant now) const;
  std::uint32_t Running(std::string_view row) const;
  /** What is currently lent to peers, and borrowed from them. */
  std::uint32_t Lent(std::string_view row) const;
  std::uint32_t Borrowed(std::string_view row) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
