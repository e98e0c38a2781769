#include "cuminferry_policy/shares/row_share.h"

#include <algorithm>

namespace cuminferry {
namespace {

/** The part of a share that is never lent: what a node has at once when it
    starts, or when its own load comes back. */
constexpr std::uint32_t kReserveDivisor = 4;
/** A request without an answer after this time is taken to be lost. */
constexpr duration kAnswerTime = std::chrono::milliseconds(500);
/** A grant is asked for again this long before it is too short for a call. */
constexpr duration kRenewAhead = std::chrono::milliseconds(500);
/** Pause after every peer had nothing to spare. */
constexpr duration kEmptyPause = std::chrono::seconds(1);
constexpr std::size_t kMostOpen = 4;

std::uint32_t ReserveOf(std::uint32_t share) {
  return (share + kReserveDivisor - 1) / kReserveDivisor;
}

}  // namespace

//==============================================================================
void recent_peak::Turn(instant now) {
  if (now - window_from_ < kWindow) {
    return;
  }
  previous_ = now - window_from_ < 2 * kWindow ? current_ : 0;
  current_ = 0;
  window_from_ = now;
}

void recent_peak::Note(std::uint32_t demand, instant now) {
  Turn(now);
  current_ = std::max(current_, demand);
}

std::uint32_t recent_peak::Get(instant now) const {
  const duration age = now - window_from_;
  if (age >= 2 * kWindow) {
    return 0;
  }
  return age >= kWindow ? current_ : std::max(current_, previous_);
}

//==============================================================================
void row_share::UseLimit(std::uint32_t limit, std::uint32_t share, bool cut_changed,
                         duration deadline, instant now) {
  deadline_ = deadline;
  if (limit == limit_ && share == share_ && !cut_changed) {
    return;
  }
  const bool limited_before = limit_ != 0;
  settled_share_ = EffectiveShare(now);
  limit_ = limit;
  share_ = share;
  if (limited_before && cut_changed && share_ > settled_share_) {
    raise_at_ = now + limit_shares::kCutDelay;
  }
  // Granted under another limit: the lender's share may be smaller now, and it
  // must not depend on us to keep the sum.
  CloseGrants();
}

bool row_share::Begin(instant deadline, instant now) {
  LetGoExpired(now);
  if (limit_ == 0 || own_running_ < OwnUsable(now)) {
    ++own_running_;
    demand_.Note(running(), now);
    return true;
  }
  const auto fitting = std::ranges::find_if(grants_, [&](const borrowed_part& part) {
    return !part.closed && part.running < part.amount && deadline <= part.expires;
  });
  if (fitting == grants_.end()) {
    ++unmet_;
    demand_.Note(running() + unmet_, now);
    return false;
  }
  ++fitting->running;
  demand_.Note(running(), now);
  return true;
}

void row_share::End(instant now) {
  LetGoExpired(now);
  if (own_running_ > OwnUsable(now)) {
    // Calls of an expired grant count here until their end is told. Were a live
    // grant freed in their place, the own share would stay overdrawn by calls
    // that do run, and the grant would be used on top.
    --own_running_;
    return;
  }
  // Calls are not told apart: the one that ended makes room for a call under the
  // grant that expires first, whose deadline fits anywhere that is later.
  const auto first =
      std::ranges::find_if(grants_, [](const borrowed_part& part) { return part.running > 0; });
  if (first != grants_.end()) {
    --first->running;
  } else if (own_running_ > 0) {
    --own_running_;
  }
}

void row_share::NoteWaiting(std::uint32_t waiting, instant now) {
  demand_.Note(running() + waiting, now);
}

//==============================================================================
void row_share::Tick(std::span<const endpoint> peers, std::uint64_t& next_number, instant now,
                     share_actions& out) {
  if (limit_ == 0 && lent_.empty() && grants_.empty()) {
    return;
  }
  LetGoExpired(now);
  unmet_ = 0;
  std::erase_if(open_, [&](const open_request& open) { return now - open.sent >= kAnswerTime; });
  ReturnUnneeded(now, out);
  Ask(peers, next_number, now, out);
}

void row_share::OnRequest(endpoint from, const share_request& request, instant now,
                          share_actions& out) {
  LetGoExpired(now);
  const auto known = std::ranges::find_if(lent_, [&](const lent_part& part) {
    return part.borrower == from && part.number == request.number;
  });
  if (known != lent_.end()) {
    // The same request twice: the answer was lost or the request was doubled.
    out.grants.push_back({from, {request.number, row_, known->amount, known->lasts}});
    return;
  }
  const bool has_room = lent_.size() < limit_shares::kMostLent;
  const std::uint32_t amount = has_room ? std::min(request.amount, Spare(now)) : 0;
  const duration lasts = GrantDuration();
  if (amount > 0) {
    const instant restored_at = now + lasts + limit_shares::kDriftMargin;
    lent_.push_back({from, request.number, amount, lasts, restored_at});
  }
  out.grants.push_back({from, {request.number, row_, amount, lasts}});
}

void row_share::OnGrant(endpoint from, const share_grant& grant, instant now, share_actions& out) {
  const auto asked = std::ranges::find_if(open_, [&](const open_request& open) {
    return open.lender == from && open.number == grant.number;
  });
  if (asked == open_.end()) {
    const bool in_use = std::ranges::any_of(grants_, [&](const borrowed_part& part) {
      return part.lender == from && part.number == grant.number;
    });
    if (!in_use && grant.amount > 0) {
      // Too late to be used; the lender need not wait for its end.
      out.returns.push_back({from, {grant.number, row_, grant.amount}});
    }
    return;
  }
  // Counted from the sending: the lender began to count later than that, so that
  // it cannot have its part back while we still use it.
  const borrowed_part part{from, grant.number, grant.amount, 0, asked->sent + grant.lasts, false};
  open_.erase(asked);
  if (grant.amount == 0) {
    ++empty_answers_;
    return;
  }
  empty_answers_ = 0;
  if (grants_.size() >= limit_shares::kMostGrants || part.expires <= now) {
    SendReturn(part, out);
    return;
  }
  const auto place = std::ranges::upper_bound(grants_, part.expires, {}, &borrowed_part::expires);
  grants_.insert(place, part);
}

void row_share::OnReturn(endpoint from, const share_return& returned) {
  std::erase_if(lent_, [&](const lent_part& part) {
    return part.borrower == from && part.number == returned.number;
  });
}

//==============================================================================
std::uint32_t row_share::Usable(instant now) const {
  if (limit_ == 0) {
    return limit_shares::kNoLimit;
  }
  std::uint32_t usable = OwnUsable(now);
  for (const borrowed_part& part : grants_) {
    if (!part.closed && part.expires >= now + deadline_) {
      usable += part.amount;
    }
  }
  return usable;
}

std::uint32_t row_share::running() const {
  std::uint32_t sum = own_running_;
  for (const borrowed_part& part : grants_) {
    sum += part.running;
  }
  return sum;
}

std::uint32_t row_share::lent() const {
  std::uint32_t sum = 0;
  for (const lent_part& part : lent_) {
    sum += part.amount;
  }
  return sum;
}

std::uint32_t row_share::borrowed() const {
  std::uint32_t sum = 0;
  for (const borrowed_part& part : grants_) {
    sum += part.amount;
  }
  return sum;
}

//==============================================================================
duration row_share::GrantDuration() const {
  const duration wanted = deadline_ * 2 + std::chrono::seconds(1);
  return std::min(wanted, limit_shares::kLongestGrant);
}

std::uint32_t row_share::EffectiveShare(instant now) const {
  return now < raise_at_ ? std::min(settled_share_, share_) : share_;
}

std::uint32_t row_share::OwnUsable(instant now) const {
  const std::uint32_t share = EffectiveShare(now);
  // The process that was here before may have lent all but its reserve, and we
  // do not know to whom. Using that part before those grants have run out would
  // let two nodes use it at once.
  const std::uint32_t kept = now < held_until_ ? ReserveOf(share) : share;
  const std::uint32_t away = lent();
  return kept > away ? kept - away : 0;
}

std::uint32_t row_share::Spare(instant now) const {
  if (!lendable() || now < held_until_) {
    return 0;
  }
  const std::uint32_t share = EffectiveShare(now);
  const std::uint32_t kept = std::max({ReserveOf(share), demand_.Get(now), own_running_}) + lent();
  return share > kept ? share - kept : 0;
}

void row_share::CloseGrants() {
  open_.clear();
  for (borrowed_part& part : grants_) {
    part.closed = true;
  }
}

void row_share::LetGoExpired(instant now) {
  std::erase_if(lent_, [&](const lent_part& part) { return now >= part.restored_at; });
  while (!grants_.empty() && grants_.front().expires <= now) {
    // Calls that outlast their deadline count against the own share from here on.
    own_running_ += grants_.front().running;
    grants_.erase(grants_.begin());
  }
}

void row_share::ReturnUnneeded(instant now, share_actions& out) {
  std::uint32_t usable = Usable(now);
  const std::uint32_t needed = demand_.Get(now);
  std::erase_if(grants_, [&](const borrowed_part& part) {
    const std::uint32_t counted = !part.closed && part.expires >= now + deadline_ ? part.amount : 0;
    const bool unneeded = part.closed || (counted > 0 && usable >= needed + counted);
    if (part.running > 0 || !unneeded) {
      return false;
    }
    usable -= counted;
    SendReturn(part, out);
    return true;
  });
}

void row_share::Ask(std::span<const endpoint> peers, std::uint64_t& next_number, instant now,
                    share_actions& out) {
  if (!lendable() || peers.empty() || open_.size() >= kMostOpen || now < ask_again_at_) {
    return;
  }
  if (empty_answers_ >= peers.size()) {
    empty_answers_ = 0;
    ask_again_at_ = now + kEmptyPause;
    return;
  }
  std::uint64_t have = OwnUsable(now);
  for (const borrowed_part& part : grants_) {
    have += !part.closed && part.expires >= now + deadline_ + kRenewAhead ? part.amount : 0;
  }
  for (const open_request& open : open_) {
    have += open.amount;
  }
  const std::uint32_t needed = demand_.Get(now);
  if (needed <= have) {
    return;
  }
  const endpoint peer = peers[next_peer_++ % peers.size()];
  const auto amount = static_cast<std::uint32_t>(needed - have);
  open_.push_back({peer, next_number, amount, now});
  out.requests.push_back({peer, {next_number++, row_, amount}});
}

void row_share::SendReturn(const borrowed_part& part, share_actions& out) const {
  out.returns.push_back({part.lender, {part.number, row_, part.amount}});
}

}  // namespace cuminferry
