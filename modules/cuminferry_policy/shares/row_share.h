#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "cuminferry_policy/shares/limit_shares.h"

namespace cuminferry {

/** Highest demand in a window of one to two seconds. */
class windowed_peak {
 public:
  void Note(std::uint32_t demand, instant now);
  std::uint32_t Value(instant now) const;

 private:
  static constexpr duration kWindow = std::chrono::seconds(1);
  void RotateWindow(instant now);

  std::uint32_t current_ = 0;
  std::uint32_t previous_ = 0;
  instant window_started_at_;
};

/** One row's share at this node: its own, the lent and the borrowed parts. */
class row_share {
 public:
  row_share(std::string row, instant holdback_until)
      : row_(std::move(row)), holdback_until_(holdback_until) {}

  //============================================================================
  /** Sets the row's limit, 0 for none, and this node's share of it.

      @param split_changed whether the limit is split among other targets than before
  */
  void UseLimit(std::uint32_t limit, std::uint32_t share, bool split_changed, duration deadline,
                instant now);
  /** Notes that the table no longer has the row. */
  void Remove() { limit_ = 0; }

  bool Begin(instant deadline, instant now);
  void End(instant now);
  void SetWaitingCount(std::uint32_t waiting, instant now);

  /** @param next_number incremented for each request that is sent */
  void Tick(std::span<const endpoint> peers, std::uint64_t& next_number, instant now,
            share_actions& out);
  void OnRequest(endpoint from, const share_request& request, instant now, share_actions& out);
  void OnGrant(endpoint from, const share_grant& grant, instant now, share_actions& out);
  void OnReturn(endpoint from, const share_return& returned);

  //============================================================================
  std::uint32_t UsableLimit(instant now) const;
  std::uint32_t running() const;
  std::uint32_t lent() const;
  std::uint32_t borrowed() const;
  /** Whether no calls are running and nothing is lent or borrowed, so that the record may be
      removed. */
  bool idle() const { return running() == 0 && lent_.empty() && grants_.empty(); }

 private:
  /** Part of the own share that a peer may use until it is restored. */
  struct lent_grant {
    endpoint borrower;
    std::uint64_t request_number = 0;
    std::uint32_t call_count = 0;
    /** As stated to the borrower; a table edit does not change it. */
    duration valid_for{0};
    instant restored_at;
  };

  /** Part of a peer's share that may be used here. */
  struct borrowed_grant {
    endpoint lender;
    std::uint64_t request_number = 0;
    std::uint32_t call_count = 0;
    std::uint32_t running = 0;
    instant expires;
    /** Whether no new call may start under this grant. */
    bool closed = false;
  };

  /** A request that has no answer yet. */
  struct open_request {
    endpoint lender;
    std::uint64_t request_number = 0;
    std::uint32_t call_count = 0;
    instant sent;
  };

  duration GrantDuration() const;
  bool lendable() const { return limit_ != 0 && deadline_ * 2 <= limit_shares::kMaxGrantDuration; }
  std::uint32_t EffectiveShare(instant now) const;
  std::uint32_t OwnUsable(instant now) const;
  std::uint32_t Spare(instant now) const;
  void CloseGrants();
  void RemoveExpired(instant now);
  void ReturnUnneeded(instant now, share_actions& out);
  void RequestMore(std::span<const endpoint> peers, std::uint64_t& next_number, instant now,
                   share_actions& out);
  void SendReturn(const borrowed_grant& grant_record, share_actions& out) const;

  std::string row_;
  instant holdback_until_;
  std::uint32_t limit_ = 0;
  std::uint32_t share_ = 0;
  duration deadline_{0};
  /** The share before the last change. While it is the smaller one it applies until
      `share_raise_at_`. */
  std::uint32_t previous_share_ = 0;
  instant share_raise_at_;

  std::uint32_t own_running_ = 0;
  windowed_peak demand_;
  std::uint32_t unmet_demand_ = 0;
  std::vector<lent_grant> lent_;
  /** Ordered by expiry time, earliest first. */
  std::vector<borrowed_grant> grants_;
  std::vector<open_request> open_;
  std::size_t next_peer_ = 0;
  std::size_t empty_answers_ = 0;
  instant next_request_at_;
};

}  // namespace cuminferry
