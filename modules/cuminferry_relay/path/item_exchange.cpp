#include "cuminferry_relay/path/item_exchange.h"

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/bounded_body.h"
#include "cuminferry_relay/path/item_messages.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"

namespace cuminferry {
namespace {

// Nodes reply within milliseconds; one that doesn't is unreachable, suspended or overloaded, and
// another node is queried within the same period. The time counts from the last bytes.
constexpr duration kReplyTimeout = std::chrono::milliseconds(200);
// A seed is queried by all nodes that start, so no node keeps a connection to it.
constexpr duration kSeedIdleTime{};
constexpr duration kMaxConnectionIdleTime = std::chrono::seconds(30);
// Label of the messages' metrics.
constexpr std::string_view kMessageKind = "items";
// A page of items with the largest value that the platform takes, several times over.
constexpr std::size_t kMaxReplyBytes = 8 * 1024 * 1024;

std::optional<duration> ToAge(std::int64_t micros) {
  return micros == item_update::kUnknownAge ? std::nullopt : std::optional(duration(micros));
}

std::int64_t ToMicros(const std::optional<duration>& age) {
  return age ? age->count() : item_update::kUnknownAge;
}

}  // namespace

struct item_exchange::state {
  relay_board& board;
  hooks on;
  refresh_planner planner;
  start_referrals referrals;
  paged_update pages;
  loop_timer query_timer;
  loop_timer next_timer;
  loop_timer timeout_timer;
  bool platform_answers = false;
  // What the hook was last called with.
  bool watches_reported = false;
  // Latest moment as of which the own watch confirmed the replica.
  std::optional<instant> watch_confirmed_at;
  // Queries of other nodes since the start of this node.
  std::uint64_t queries_answered = 0;

  refresh_planner::query last_query;
  endpoint queried_peer;
  instant queried_at{};
  bounded_body reply{kMaxReplyBytes};
  bool reply_ok = false;
  std::unique_ptr<client_exchange> query;
  std::unique_ptr<client_exchange> finished_query;
  std::map<endpoint, std::unique_ptr<http_client>> seed_clients;

  state(relay_board& board, hooks on)
      : board(board),
        on(std::move(on)),
        planner(board.settings.seed, board.loop.Now(), board.random),
        query_timer(board.loop),
        next_timer(board.loop),
        timeout_timer(board.loop) {
    query_timer.StartPeriodic(refresh_planner::kQueryPeriod, [this] { OnPeriod(); });
    next_timer.StartOnce(duration::zero(), [this] { OnPeriod(); });
  }

  refresh_planner::replica_view ReplicaView() const {
    return {.complete_to = board.items.complete_to(),
            .age = board.items_age.AgeAt(board.loop.Now()),
            .reported_revision = board.newest_reported_revision,
            .platform_answers = platform_answers};
  }

  //============================================================================
  void OnPeriod() {
    // The settings may have changed.
    planner.SetSeeds(board.settings.seeds);
    const bool should_query = planner.BeginPeriod(ReplicaView(), board.loop.Now());
    UpdateWatching();
    if (!should_query) {
      return;
    }
    if (query && !reply.bytes().empty()) {
      // A page is arriving, over a slow link perhaps.
      return;
    }
    if (query) {
      // The sources are queried in each period, whoever does not reply.
      timeout_timer.Stop();
      query->Cancel();
      finished_query = std::move(query);
    }
    SendQuery();
  }

  void UpdateWatching() {
    const bool watches = planner.UpdateWatching(ReplicaView(), board.loop.Now());
    if (std::exchange(watches_reported, watches) == watches) {
      return;
    }
    if (!watches) {
      watch_confirmed_at.reset();
    }
    board.log.LogChange(watches ? "watch.begun" : "watch.left_to_others",
                        {{"for_fleet", planner.IsReader()},
                         {"depth", planner.position().depth},
                         {"rank", planner.position().standby_rank
                                      ? static_cast<std::int64_t>(*planner.position().standby_rank)
                                      : -1},
                         {"unanswered", planner.unanswered_by_sources()},
                         {"items_revision", item_revision::ToText(board.items.complete_to())}});
    on.on_watching_change(watches);
  }

  //============================================================================
  http_client& ClientForSeed(const endpoint& seed) {
    std::unique_ptr<http_client>& client = seed_clients[seed];
    if (!client) {
      client = std::make_unique<http_client>(
          board.loop, seed,
          http_client::options{.connect_timeout = kReplyTimeout,
                               .silence_timeout = std::chrono::seconds(3),
                               .idle_timeout = kSeedIdleTime,
                               .on_invalid = [this](const invalid_answer& invalid) {
                                 board.OnInvalidAnswer("peer", invalid);
                               }});
    }
    return *client;
  }

  http_client& ClientFor(const refresh_planner::query& chosen) {
    using address_kind = refresh_planner::address_kind;
    switch (chosen.kind) {
      case address_kind::kSeed:
        queried_peer = chosen.node;
        return ClientForSeed(queried_peer);
      case address_kind::kBackend:
        queried_peer = board.PeerAddressOf(chosen.node);
        break;
      case address_kind::kReporter:
        queried_peer = board.newest_revision_peer;
        break;
      case address_kind::kPeer:
        queried_peer = chosen.node;
        break;
    }
    return board.ClientFor(queried_peer);
  }

  void SendQuery() {
    if (const auto chosen = planner.NextQuery(ReplicaView(), board.loop.Now())) {
      SendTo(*chosen);
    }
  }

  void SendTo(const refresh_planner::query& chosen) {
    last_query = chosen;
    http_client& client = ClientFor(chosen);
    item_query wanted{.after = board.items.complete_to(),
                      .page = std::nullopt,
                      .from = planner.AcceptsReferrals() ? board.settings.peer : endpoint{}};
    if (pages.is_started()) {
      wanted.page = {.after = pages.last_revision(), .whole = pages.is_whole()};
    }
    http_head request;
    request.method = "GET";
    request.target = wanted.ToTarget();
    board.metrics.OnControlMessage(kMessageKind, "sent", request.target.size());
    request.Set("Host", queried_peer.ToString());
    reply.Clear();
    reply_ok = false;
    queried_at = board.loop.Now();
    query = client.Send(
        request, {.max_idle_time = kMaxConnectionIdleTime},
        {.on_head = [this](const http_head& head) { reply_ok = head.status == http_status::kOk; },
         .on_interim = {},
         .on_body =
             [this](std::string_view bytes) {
               reply.Append(bytes);
               if (reply.is_whole()) {
                 StartReplyTimeout();
               } else {
                 query->Cancel();
                 OnNoReply();
               }
             },
         .on_end = [this] { OnReply(); },
         .on_failed = [this](exchange_failure) { OnNoReply(); },
         .on_writable = {},
         .is_matching_answer = {}});
    query->FinishBody();
    StartReplyTimeout();
  }

  void StartReplyTimeout() {
    timeout_timer.StartOnce(kReplyTimeout, [this] {
      query->Cancel();
      OnNoReply();
    });
  }

  void OnNoReply() {
    timeout_timer.Stop();
    finished_query = std::move(query);
    if (queried_peer == board.newest_revision_peer) {
      // The node with the later revision may be gone, so the next answer that reports one counts.
      board.newest_reported_revision = board.items.complete_to();
    }
    const bool ask_again = planner.OnNoReply(ReplicaView(), board.loop.Now());
    UpdateWatching();
    if (ask_again) {
      QueryNext();
    }
  }

  void OnReply() {
    timeout_timer.Stop();
    finished_query = std::move(query);
    board.metrics.OnControlMessage(kMessageKind, "received", reply.bytes().size());
    const bool is_whole = reply_ok && !finished_query->ended_by_close();
    auto received = is_whole ? DecodeMessage<item_reply>(reply.bytes()) : std::nullopt;
    if (!received) {
      board.log.LogChange("items.damaged",
                          {{"peer", queried_peer.ToString()}, {"bytes", reply.bytes().size()}});
      OnNoReply();
      return;
    }
    const std::optional<duration> age = ToAge(received->update.age_micros);
    const paged_update::page_status status = TakePage(std::move(received->update), age);
    refresh_planner::reply about{.queried_at = queried_at,
                                 .age = std::nullopt,
                                 .is_watching = received->is_watching,
                                 .reached_watcher = received->reached_watcher,
                                 .watch_age = ToAge(received->watch_age_micros),
                                 .referrals = {}};
    if (status == paged_update::page_status::kComplete) {
      about.age = age;
    }
    for (const std::string& text : received->referrals) {
      endpoint referral;
      if (endpoint::Parse(text, referral)) {
        about.referrals.push_back(referral);
      }
    }
    const bool ask_again = planner.OnReply(about, ReplicaView(), board.loop.Now());
    UpdateWatching();
    if (status == paged_update::page_status::kMoreFollows) {
      next_timer.StartOnce(duration::zero(), [this] { QuerySamePeer(); });
    } else if (ask_again) {
      QueryNext();
    }
  }

  paged_update::page_status TakePage(item_update page, const std::optional<duration>& age) {
    const paged_update::page_status status =
        pages.Add(std::move(page), age ? queried_at - *age : instant{}, on.reduce_item);
    if (status == paged_update::page_status::kTooLong) {
      board.log.LogChange("items.too_long", {{"peer", queried_peer.ToString()}});
    }
    if (status != paged_update::page_status::kComplete) {
      return status;
    }
    const item_update update = pages.Take(board.loop.Now());
    if (update.complete_to > board.items.complete_to()) {
      ApplyUpdate(update);
    }
    board.items_age.OnCurrentAt(board.loop.Now() - duration(update.age_micros));
    return status;
  }

  void ApplyUpdate(const item_update& update) {
    if (!update.items.empty()) {
      board.log.LogChange("items.from_peer",
                          {{"peer", queried_peer.ToString()},
                           {"from", item_revision::ToText(board.items.complete_to())},
                           {"to", item_revision::ToText(update.complete_to)},
                           {"items", update.items.size()}});
    }
    const bool is_first = board.items.complete_to() == 0;
    on.on_update(update);
    if (is_first) {
      on.on_copied(queried_peer);
    }
  }

  void QuerySamePeer() {
    if (!query) {
      SendTo(last_query);
    }
  }

  void QueryNext() {
    next_timer.StartOnce(duration::zero(), [this] {
      if (!query) {
        SendQuery();
      }
    });
  }

  //============================================================================
  item_reply ReplyTo(const item_query& asked) {
    item_reply answer;
    for (const endpoint& referral : ReferralsFor(asked)) {
      answer.referrals.push_back(referral.ToString());
    }
    if (answer.referrals.empty()) {
      answer.update = asked.page ? board.items.PageAfter(asked.page->after, asked.page->whole)
                                 : board.items.UpdateSince(asked.after);
      answer.update.relist_micros = on.unsettled_time().count();
      answer.update.age_micros = ToMicros(board.items_age.AgeAt(board.loop.Now()));
    }
    answer.is_watching = planner.is_watching();
    answer.reached_watcher = planner.ReachedWatcher(board.loop.Now());
    if (answer.is_watching && watch_confirmed_at) {
      answer.watch_age_micros = (board.loop.Now() - *watch_confirmed_at).count();
    }
    return answer;
  }

  std::vector<endpoint> ReferralsFor(const item_query& asked) {
    if (asked.page || asked.from == endpoint{}) {
      return {};
    }
    const bool has_wanted_items =
        asked.after == 0 ? board.items.complete_to() > 0 : !planner.AcceptsReferrals();
    return referrals.ReferralsFor(asked.from, has_wanted_items, board.loop.Now());
  }
};

item_exchange::item_exchange(relay_board& board, hooks hooks)
    : state_(std::make_unique<state>(board, std::move(hooks))) {}

item_exchange::~item_exchange() = default;

void item_exchange::SetPlatformAnswers(bool answers) { state_->platform_answers = answers; }

void item_exchange::OnWatchConfirmed(instant complete_at) {
  state_->watch_confirmed_at = complete_at;
}

void item_exchange::OnInstancesChanged() {
  state_->planner.SetPosition(state_->board.position());
  state_->planner.SetPeers(state_->board.peers());
}

std::optional<duration> item_exchange::ReplicaAge() const {
  return state_->board.items_age.AgeAt(state_->board.loop.Now());
}

bool item_exchange::is_watching() const { return state_->planner.is_watching(); }

std::uint64_t item_exchange::queries_answered() const { return state_->queries_answered; }

void item_exchange::OnRequest(server_exchange& peer) {
  ++state_->queries_answered;
  const item_reply answer = state_->ReplyTo(item_query::Parse(peer.request().target));
  const std::string body = EncodeMessage(answer);
  relay_metrics& metrics = state_->board.metrics;
  metrics.OnControlMessage(kMessageKind, "received", peer.request().target.size());
  metrics.OnControlMessage(kMessageKind, "sent", body.size());
  peer.Answer(MakeAnswer(http_status::kOk), body);
}

}  // namespace cuminferry
