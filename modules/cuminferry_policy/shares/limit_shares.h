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

/** This node's part of each row's limit on running requests, fleet-wide.

    The table alone cuts each limit into fixed shares, one per target, so that
    failure domains that are cut off from each other stay together under the
    limit. What a node does not use it lends to peers of its failure domain for
    a time that is told in advance: the lender takes it off its own share before
    it says so, and has it back only when the borrower can no longer use it,
    whatever is lost, late or restarted. See docs/design/limit-shares.md.

    The owner gives admission Usable() of each row as its share, on every tick and
    after every message, and calls Begin() for each call that admission starts:
    where running calls are below Usable(), Begin() is true. Only where Usable()
    fell since admission was told can it be false; the call is then refused as
    result_code::kFleetLimitReached.

    Calls are counted from Begin() to End(); a call may be begun only if it is
    handed to the backend server before its deadline and ends by its deadline.

    Sans-I/O, guarded by the node with lock_rank::kShares. Memory: for each row
    at most kMostLent records of 32 bytes and kMostGrants of 48.
*/
class limit_shares {
 public:
  /** Longest time for which a share is lent. */
  static constexpr duration kLongestGrant = std::chrono::seconds(10);
  /** What a lender waits beyond a grant's end, for clocks that run apart by up
      to a hundredth. */
  static constexpr duration kDriftMargin = kLongestGrant / 50;
  /** For this long after its start a node takes it that the process before it
      in its slot has lent all that it could. */
  static constexpr duration kHoldBack = kLongestGrant + kDriftMargin;
  /** A share that grows because targets were added or removed waits this long:
      until then, nodes without the edit still use what they give up. */
  static constexpr duration kCutDelay = std::chrono::seconds(15);
  static constexpr std::size_t kMostLent = 64;
  static constexpr std::size_t kMostGrants = 16;
  /** Usable() of a row without a limit. */
  static constexpr std::uint32_t kNoLimit = UINT32_MAX;

  struct options {
    std::string failure_domain;
    std::uint32_t target_slot = 0;
    /** Own random incarnation; numbers of requests begin there. */
    incarnation_id incarnation = 0;
    /** When this process started. */
    instant started;
  };

  explicit limit_shares(options chosen);
  ~limit_shares();

  //============================================================================
  /** Takes the limits of the own service. What was borrowed under another limit
      is not used any more; calls that run go on. */
  void UseTable(const table_shard& shard, instant now);
  /** The nodes of the own service in the own failure domain, without this one. */
  void UsePeers(std::span<const endpoint> peers);

  //============================================================================
  /** Whether a call of a row may start now; it then counts until End(). A row that
      the table does not have, or has without a limit, always may. */
  bool Begin(std::string_view row, instant deadline, instant now);
  /** A call that Begin() let start has ended. */
  void End(std::string_view row, instant now);
  /** So many calls of a row wait for a part of the limit. */
  void NoteWaiting(std::string_view row, std::uint32_t waiting, instant now);

  /** Gives back, asks for more, lets go what has run out. To be called every
      50 to 100 milliseconds. */
  void Tick(instant now, share_actions& out);
  void OnRequest(endpoint from, const share_request& request, instant now, share_actions& out);
  void OnGrant(endpoint from, const share_grant& grant, instant now, share_actions& out);
  void OnReturn(endpoint from, const share_return& returned, instant now);

  //============================================================================
  /** How many calls of a row may run here now, what is borrowed included as far
      as it outlasts the row's deadline; kNoLimit for a row without a limit. */
  std::uint32_t Usable(std::string_view row, instant now) const;
  std::uint32_t Running(std::string_view row) const;
  /** What is lent to peers and borrowed from them at present. */
  std::uint32_t Lent(std::string_view row) const;
  std::uint32_t Borrowed(std::string_view row) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
