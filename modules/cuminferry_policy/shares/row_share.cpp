#include "cuminferry_policy/shares/row_share.h"

#include <algorithm>

namespace cuminferry {
namespace {

/** One part in this many of a share is never lent: it is available at once when the node starts
    or its own load returns. */
constexpr std::uint32_t kReserveDivisor = 4;
/** A request without an answer after this time counts as lost. */
constexpr duration kAnswerTimeout = std::chrono::milliseconds(500);
/** A replacement is requested this long before a grant's remaining time is too short for a
    call. */
constexpr duration kRenewalLead = std::chrono::milliseconds(500);
/** Delay before the next request after no peer had anything spare. */
constexpr duration kNoSpareRetryDelay = std::chrono::seconds(1);
constexpr std::size_t kMaxOpenRequests = 4;

std::uint32_t ReserveOf(std::uint32_t share) {
  return (share + kReserveDivisor - 1) / kReserveDivisor;
}

}  // namespace

//==============================================================================
void windowed_peak::RotateWindow(instant now) {
  if (now - window_started_at_ < kWindow) {
    return;
  }
  previous_ = now - window_started_at_ < 2 * kWindow ? current_ : 0;
  current_ = 0;
  window_started_at_ = now;
}

void windowed_peak::Note(std::uint32_t demand, instant now) {
  RotateWindow(now);
  current_ = std::max(current_, demand);
}

std::uint32_t windowed_peak::Value(instant now) const {
  const duration age = now - window_started_at_;
  if (age >= 2 * kWindow) {
    return 0;
  }
  return age >= kWindow ? current_ : std::max(current_, previous_);
}

//==============================================================================
void row_share::UseLimit(std::uint32_t limit, std::uint32_t share, bool split_changed,
                         duration deadline, instant now) {
  deadline_ = deadline;
  if (limit == limit_ && share == share_ && !split_changed) {
    return;
  }
  const bool limited_before = limit_ != 0;
  previous_share_ = EffectiveShare(now);
  limit_ = limit;
  share_ = share;
  if (limited_before && split_changed && share_ > previous_share_) {
    share_raise_at_ = now + limit_shares::kShareRaiseDelay;
  }
  // These were granted under another limit. The lender's share may be smaller now, and keeping the
  // sum within the limit must not depend on this borrower.
  CloseGrants();
}

bool row_share::Begin(instant deadline, instant now) {
  RemoveExpired(now);
  if (limit_ == 0 || own_running_ < OwnUsable(now)) {
    ++own_running_;
    demand_.Note(running(), now);
    return true;
  }
  const auto fitting = std::ranges::find_if(grants_, [&](const borrowed_grant& grant_record) {
    return !grant_record.closed && grant_record.running < grant_record.call_count &&
           deadline <= grant_record.expires;
  });
  if (fitting == grants_.end()) {
    ++unmet_demand_;
    demand_.Note(running() + unmet_demand_, now);
    return false;
  }
  ++fitting->running;
  demand_.Note(running(), now);
  return true;
}

void row_share::End(instant now) {
  RemoveExpired(now);
  if (own_running_ > OwnUsable(now)) {
    // Calls of an expired grant count against the own share until their end is reported. If an
    // active grant were freed instead, the own share would stay overdrawn by running calls, and the
    // grant would be used in addition.
    --own_running_;
    return;
  }
  // Individual calls are not tracked. The finished call frees the grant that expires first: a call
  // that may run under that grant may also run under any later one.
  const auto first = std::ranges::find_if(
      grants_, [](const borrowed_grant& grant_record) { return grant_record.running > 0; });
  if (first != grants_.end()) {
    --first->running;
  } else if (own_running_ > 0) {
    --own_running_;
  }
}

void row_share::SetWaitingCount(std::uint32_t waiting, instant now) {
  demand_.Note(running() + waiting, now);
}

//==============================================================================
void row_share::Tick(std::span<const endpoint> peers, std::uint64_t& next_number, instant now,
                     share_actions& out) {
  if (limit_ == 0 && lent_.empty() && grants_.empty()) {
    return;
  }
  RemoveExpired(now);
  unmet_demand_ = 0;
  std::erase_if(open_, [&](const open_request& open) { return now - open.sent >= kAnswerTimeout; });
  ReturnUnneeded(now, out);
  RequestMore(peers, next_number, now, out);
}

void row_share::OnRequest(endpoint from, const share_request& request, instant now,
                          share_actions& out) {
  RemoveExpired(now);
  const auto known = std::ranges::find_if(lent_, [&](const lent_grant& grant_record) {
    return grant_record.borrower == from && grant_record.request_number == request.request_number;
  });
  if (known != lent_.end()) {
    // The same request was received twice: the answer was lost or the request was duplicated.
    out.grants.push_back(
        {from, {request.request_number, row_, known->call_count, known->valid_for}});
    return;
  }
  const bool has_room = lent_.size() < limit_shares::kMaxLentGrants;
  const std::uint32_t call_count = has_room ? std::min(request.call_count, Spare(now)) : 0;
  const duration valid_for = GrantDuration();
  if (call_count > 0) {
    const instant restored_at = now + valid_for + limit_shares::kClockDriftMargin;
    lent_.push_back({from, request.request_number, call_count, valid_for, restored_at});
  }
  out.grants.push_back({from, {request.request_number, row_, call_count, valid_for}});
}

void row_share::OnGrant(endpoint from, const share_grant& grant, instant now, share_actions& out) {
  const auto matching = std::ranges::find_if(open_, [&](const open_request& open) {
    return open.lender == from && open.request_number == grant.request_number;
  });
  if (matching == open_.end()) {
    const bool in_use = std::ranges::any_of(grants_, [&](const borrowed_grant& grant_record) {
      return grant_record.lender == from && grant_record.request_number == grant.request_number;
    });
    if (!in_use && grant.call_count > 0) {
      // The grant came too late to be used; with the return the lender need not wait for its
      // expiry.
      out.returns.push_back({from, {grant.request_number, row_, grant.call_count}});
    }
    return;
  }
  // The duration counts from the sending of the request. The lender starts to count later, so it
  // cannot regain the part while it is still used here.
  const borrowed_grant grant_record{
      from, grant.request_number, grant.call_count, 0, matching->sent + grant.valid_for, false};
  open_.erase(matching);
  if (grant.call_count == 0) {
    ++empty_answers_;
    return;
  }
  empty_answers_ = 0;
  if (grants_.size() >= limit_shares::kMaxBorrowedGrants || grant_record.expires <= now) {
    SendReturn(grant_record, out);
    return;
  }
  const auto position =
      std::ranges::upper_bound(grants_, grant_record.expires, {}, &borrowed_grant::expires);
  grants_.insert(position, grant_record);
}

void row_share::OnReturn(endpoint from, const share_return& returned) {
  std::erase_if(lent_, [&](const lent_grant& grant_record) {
    return grant_record.borrower == from && grant_record.request_number == returned.request_number;
  });
}

//==============================================================================
std::uint32_t row_share::UsableLimit(instant now) const {
  if (limit_ == 0) {
    return limit_shares::kNoLimit;
  }
  std::uint32_t usable = OwnUsable(now);
  for (const borrowed_grant& grant_record : grants_) {
    if (!grant_record.closed && grant_record.expires >= now + deadline_) {
      usable += grant_record.call_count;
    }
  }
  return usable;
}

std::uint32_t row_share::running() const {
  std::uint32_t sum = own_running_;
  for (const borrowed_grant& grant_record : grants_) {
    sum += grant_record.running;
  }
  return sum;
}

std::uint32_t row_share::lent() const {
  std::uint32_t sum = 0;
  for (const lent_grant& grant_record : lent_) {
    sum += grant_record.call_count;
  }
  return sum;
}

std::uint32_t row_share::borrowed() const {
  std::uint32_t sum = 0;
  for (const borrowed_grant& grant_record : grants_) {
    sum += grant_record.call_count;
  }
  return sum;
}

//==============================================================================
duration row_share::GrantDuration() const {
  const duration wanted = deadline_ * 2 + std::chrono::seconds(1);
  return std::min(wanted, limit_shares::kMaxGrantDuration);
}

std::uint32_t row_share::EffectiveShare(instant now) const {
  return now < share_raise_at_ ? std::min(previous_share_, share_) : share_;
}

std::uint32_t row_share::OwnUsable(instant now) const {
  const std::uint32_t share = EffectiveShare(now);
  // The previous process in this slot may have lent all but its reserve to unknown peers. Using
  // that part before those grants have expired would let two nodes use it concurrently.
  const std::uint32_t usable_share = now < holdback_until_ ? ReserveOf(share) : share;
  const std::uint32_t lent_out = lent();
  return usable_share > lent_out ? usable_share - lent_out : 0;
}

std::uint32_t row_share::Spare(instant now) const {
  if (!lendable() || now < holdback_until_) {
    return 0;
  }
  const std::uint32_t share = EffectiveShare(now);
  const std::uint32_t reserved =
      std::max({ReserveOf(share), demand_.Value(now), own_running_}) + lent();
  return share > reserved ? share - reserved : 0;
}

void row_share::CloseGrants() {
  open_.clear();
  for (borrowed_grant& grant_record : grants_) {
    grant_record.closed = true;
  }
}

void row_share::RemoveExpired(instant now) {
  std::erase_if(lent_,
                [&](const lent_grant& grant_record) { return now >= grant_record.restored_at; });
  while (!grants_.empty() && grants_.front().expires <= now) {
    // Calls that outlast the grant count against the own share from here on.
    own_running_ += grants_.front().running;
    grants_.erase(grants_.begin());
  }
}

void row_share::ReturnUnneeded(instant now, share_actions& out) {
  std::uint32_t usable = UsableLimit(now);
  const std::uint32_t needed = demand_.Value(now);
  std::erase_if(grants_, [&](const borrowed_grant& grant_record) {
    const std::uint32_t counted = !grant_record.closed && grant_record.expires >= now + deadline_
                                      ? grant_record.call_count
                                      : 0;
    const bool unneeded = grant_record.closed || (counted > 0 && usable >= needed + counted);
    if (grant_record.running > 0 || !unneeded) {
      return false;
    }
    usable -= counted;
    SendReturn(grant_record, out);
    return true;
  });
}

void row_share::RequestMore(std::span<const endpoint> peers, std::uint64_t& next_number,
                            instant now, share_actions& out) {
  if (!lendable() || peers.empty() || open_.size() >= kMaxOpenRequests || now < next_request_at_) {
    return;
  }
  if (empty_answers_ >= peers.size()) {
    empty_answers_ = 0;
    next_request_at_ = now + kNoSpareRetryDelay;
    return;
  }
  std::uint64_t available = OwnUsable(now);
  for (const borrowed_grant& grant_record : grants_) {
    available += !grant_record.closed && grant_record.expires >= now + deadline_ + kRenewalLead
                     ? grant_record.call_count
                     : 0;
  }
  for (const open_request& open : open_) {
    available += open.call_count;
  }
  const std::uint32_t needed = demand_.Value(now);
  if (needed <= available) {
    return;
  }
  const endpoint peer = peers[next_peer_++ % peers.size()];
  const auto call_count = static_cast<std::uint32_t>(needed - available);
  open_.push_back({peer, next_number, call_count, now});
  out.requests.push_back({peer, {next_number++, row_, call_count}});
}

void row_share::SendReturn(const borrowed_grant& grant_record, share_actions& out) const {
  out.returns.push_back(
      {grant_record.lender, {grant_record.request_number, row_, grant_record.call_count}});
}

}  // namespace cuminferry
