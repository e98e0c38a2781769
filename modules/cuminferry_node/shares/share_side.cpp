#include "cuminferry_node/shares/share_side.h"

#include <utility>

namespace cuminferry {
namespace {

template <typename Message>
bool Decode(std::span<const char> payload, Message& into) {
  return DecodeMessage(payload, into).ok();
}

}  // namespace

share_side::share_side(const node_settings& settings, incarnation_id incarnation, send_hook send)
    : shares_(lock_rank::kShares, limit_shares::options{.failure_domain = settings.failure_domain,
                                                        .target_slot = settings.target_slot,
                                                        .incarnation = incarnation,
                                                        .started = boot_clock::Now()}),
      send_(std::move(send)) {}

void share_side::UseTable(const table_shard& shard) {
  shares_.With([&](limit_shares& shares) { shares.UseTable(shard, boot_clock::Now()); });
}

void share_side::UsePeers(std::span<const endpoint> peers) {
  shares_.With([&](limit_shares& shares) { shares.UsePeers(peers); });
}

bool share_side::TryBeginCall(std::string_view row, instant deadline) {
  return shares_.With(
      [&](limit_shares& shares) { return shares.Begin(row, deadline, boot_clock::Now()); });
}

void share_side::EndCall(std::string_view row) {
  shares_.With([&](limit_shares& shares) { shares.End(row, boot_clock::Now()); });
}

void share_side::SetWaitingCount(std::string_view row, std::uint32_t waiting) {
  shares_.With(
      [&](limit_shares& shares) { shares.SetWaitingCount(row, waiting, boot_clock::Now()); });
}

std::uint32_t share_side::UsableLimit(std::string_view row) {
  return shares_.With(
      [&](limit_shares& shares) { return shares.UsableLimit(row, boot_clock::Now()); });
}

//==============================================================================
bool share_side::OnMessage(endpoint from, message_type type, std::span<const char> payload) {
  share_actions actions;
  const instant now = boot_clock::Now();
  if (type == message_type::kShareRequest) {
    share_request_message message;
    if (!Decode(payload, message)) {
      return false;
    }
    shares_.With([&](limit_shares& shares) {
      shares.OnRequest(from, {message.request_number, message.row, message.call_count}, now,
                       actions);
    });
  } else if (type == message_type::kShareGrant) {
    share_grant_message message;
    if (!Decode(payload, message)) {
      return false;
    }
    const duration valid_for(static_cast<std::int64_t>(message.valid_for_micros));
    shares_.With([&](limit_shares& shares) {
      shares.OnGrant(from, {message.request_number, message.row, message.call_count, valid_for},
                     now, actions);
    });
  } else {
    share_return_message message;
    if (!Decode(payload, message)) {
      return false;
    }
    shares_.With([&](limit_shares& shares) {
      shares.OnReturn(from, {message.request_number, message.row, message.call_count}, now);
    });
  }
  Send(actions);
  return true;
}

void share_side::Tick(instant now) {
  share_actions actions;
  shares_.With([&](limit_shares& shares) { shares.Tick(now, actions); });
  Send(actions);
}

void share_side::Send(const share_actions& actions) {
  for (const auto& [to, one] : actions.requests) {
    send_(to, FrameOf(share_request_message{one.request_number, one.row, one.call_count}));
  }
  for (const auto& [to, one] : actions.grants) {
    send_(to, FrameOf(share_grant_message{one.request_number, one.row, one.call_count,
                                          static_cast<std::uint64_t>(one.valid_for.count())}));
  }
  for (const auto& [to, one] : actions.returns) {
    send_(to, FrameOf(share_return_message{one.request_number, one.row, one.call_count}));
  }
}

}  // namespace cuminferry
