#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "cuminferry_policy/shares/limit_shares.h"

namespace cuminferry {

/** Highest demand of the last one to two seconds. */
class recent_peak {
 public:
  void Note(std::uint32_t demand, instant now);
  std::uint32_t Get(instant now) const;

 private:
  static constexpr duration kWindow = std::chrono::seconds(1);
  void Turn(instant now);

  std::uint32_t current_ = 0;
  std::uint32_t previous_ = 0;
  instant window_from_;
};

/** One row's share at this node: what is its own, lent and borrowed. */
class row_share {
 public:
  row_share(std::string row, instant held_until) : row_(std::move(row)), held_until_(held_until) {}

  //============================================================================
  /** A limit of 0 is none. `cut_changed`: the targets among which the limit is
      cut are others than before. */
  void UseLimit(std::uint32_t limit, std::uint32_t share, bool cut_changed, duration deadline,
                instant now);
  /** The table no longer has the row. */
  void Remove() { limit_ = 0; }

  bool Begin(instant deadline, instant now);
  void End(instant now);
  void NoteWaiting(std::uint32_t waiting, instant now);

  /** @param next_number counts up for each request that is made */
  void Tick(std::span<const endpoint> peers, std::uint64_t& next_number, instant now,
            share_actions& out);
  void OnRequest(endpoint from, const share_request& request, instant now, share_actions& out);
  void OnGrant(endpoint from, const share_grant& grant, instant now, share_actions& out);
  void OnReturn(endpoint from, const share_return& returned);

  //============================================================================
  std::uint32_t Usable(instant now) const;
  std::uint32_t running() const;
  std::uint32_t lent() const;
  std::uint32_t borrowed() const;
  /** Whether nothing is lost by forgetting it. */
  bool idle() const { return running() == 0 && lent_.empty() && grants_.empty(); }

 private:
  /** Part of the own share that a peer may use until it is restored. */
  struct lent_part {
    endpoint borrower;
    std::uint64_t number = 0;
    std::uint32_t amount = 0;
    /** As the borrower was told; an edit of the row does not change it. */
    duration lasts{0};
    instant restored_at;
  };

  /** Part of a peer's share that may be used here. */
  struct borrowed_part {
    endpoint lender;
    std::uint64_t number = 0;
    std::uint32_t amount = 0;
    std::uint32_t running = 0;
    instant expires;
    /** Nothing new may start under it. */
    bool closed = false;
  };

  /** A request without an answer yet. */
  struct open_request {
    endpoint lender;
    std::uint64_t number = 0;
    std::uint32_t amount = 0;
    instant sent;
  };

  duration GrantDuration() const;
  bool lendable() const { return limit_ != 0 && deadline_ * 2 <= limit_shares::kLongestGrant; }
  std::uint32_t EffectiveShare(instant now) const;
  std::uint32_t OwnUsable(instant now) const;
  std::uint32_t Spare(instant now) const;
  void CloseGrants();
  void LetGoExpired(instant now);
  void ReturnUnneeded(instant now, share_actions& out);
  void Ask(std::span<const endpoint> peers, std::uint64_t& next_number, instant now,
           share_actions& out);
  void SendReturn(const borrowed_part& part, share_actions& out) const;

  std::string row_;
  instant held_until_;
  std::uint32_t limit_ = 0;
  std::uint32_t share_ = 0;
  duration deadline_{0};
  /** The share before the last change, in use until `raise_at_` where less. */
  std::uint32_t settled_share_ = 0;
  instant raise_at_;

  std::uint32_t own_running_ = 0;
  recent_peak demand_;
  std::uint32_t unmet_ = 0;
  std::vector<lent_part> lent_;
  /** By ascending time of expiry. */
  std::vector<borrowed_part> grants_;
  std::vector<open_request> open_;
  std::size_t next_peer_ = 0;
  std::size_t empty_answers_ = 0;
  instant ask_again_at_;
};

}  // namespace cuminferry
