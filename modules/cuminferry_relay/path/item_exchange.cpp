#include "cuminferry_relay/path/item_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"

namespace cuminferry {
namespace {

// Nodes reply within milliseconds; one that doesn't is unreachable, suspended or overloaded, and
// another node is queried.
constexpr duration kReplyTimeout = std::chrono::milliseconds(250);
// Maximum number of queries per period of a node whose replica is stale. As the queried nodes
// query others in turn, updates reach a fleet of thousands of nodes within a few periods.
constexpr std::size_t kMaxQueriesPerPeriod = 8;
constexpr duration kMaxConnectionIdleTime = std::chrono::seconds(30);
// A node that watches the platform gives its own watch this many periods to deliver an update that
// other nodes have.
constexpr std::uint32_t kWatchGracePeriods = 2;
constexpr std::size_t kMaxUpdateBytes = 64 * 1024 * 1024;

}  // namespace

struct item_exchange::state {
  relay_board& board;
  hooks on;
  loop_timer query_timer;
  loop_timer next_timer;
  loop_timer timeout_timer;
  bool platform_answers = false;
  // Set for a reader, and for a node whose sources get no updates.
  bool is_watching = false;
  // Latest time at which the replica was complete according to other nodes.
  instant current_at;
  // Time of the latest reply of any node.
  instant last_reply_at{};
  instant started_at;
  std::uint32_t periods_behind = 0;

  // Nodes queried in this period, and queries that sources left unanswered since a source replied.
  std::size_t queries_sent = 0;
  std::size_t first_source = 0;
  std::size_t unanswered_by_sources = 0;
  std::size_t next_peer = 0;
  // Queries of other nodes since the start of this node.
  std::uint64_t queries_answered = 0;

  endpoint queried_peer;
  instant queried_at{};
  bool queried_source = false;
  std::string reply;
  bool reply_ok = false;
  std::unique_ptr<client_exchange> query;
  std::unique_ptr<client_exchange> finished_query;
  std::map<endpoint, std::unique_ptr<http_client>> seed_clients;

  state(relay_board& board, hooks on)
      : board(board),
        on(std::move(on)),
        query_timer(board.loop),
        next_timer(board.loop),
        timeout_timer(board.loop),
        current_at(board.loop.Now()),
        started_at(board.loop.Now()) {
    query_timer.StartPeriodic(kQueryPeriod, [this] { OnPeriod(); });
    next_timer.StartOnce(duration::zero(), [this] { OnPeriod(); });
  }

  //============================================================================
  void OnPeriod() {
    const bool is_behind = board.newest_reported_revision > board.items.complete_to();
    periods_behind = is_behind ? periods_behind + 1 : 0;
    UpdateWatching();
    if (query) {
      return;
    }
    queries_sent = 0;
    first_source = board.random.Below(std::max<std::size_t>(1, SourceCount()));
    if (!IsReader() || !platform_answers || !IsFresh() || OthersHaveLaterRevision()) {
      SendQuery();
    }
  }

  bool has_replica() const { return board.items.complete_to() > 0; }

  // The seeds are the sources until a list of instances is known.
  bool seeds_are_sources() const { return !has_replica() || board.tree().empty(); }

  bool IsSeed() const {
    return std::ranges::find(board.settings.seeds, board.settings.seed) !=
           board.settings.seeds.end();
  }

  bool IsReader() const {
    return seeds_are_sources() ? board.settings.seeds.empty() || IsSeed()
                               : board.tree().is_reader();
  }

  std::size_t SourceCount() const {
    return seeds_are_sources() ? board.settings.seeds.size() : board.tree().sources().size();
  }

  bool IsFresh() const {
    const std::optional<duration> age = board.items_age.AgeAt(board.loop.Now());
    return age && *age <= kStaleAfter;
  }

  bool OthersHaveLaterRevision() const {
    // The node's own watch delivers the same update within one or two periods.
    return periods_behind >= (is_watching ? kWatchGracePeriods : 1);
  }

  bool HasLostSources() const {
    const instant now = board.loop.Now();
    if (!has_replica()) {
      const bool seeds_are_empty = now - last_reply_at <= kFirstReplicaWait;
      return now - started_at > (seeds_are_empty ? kEmptySeedsWait : kFirstReplicaWait);
    }
    if (board.tree().depth() <= 1) {
      const bool unreachable = unanswered_by_sources > 0 && unanswered_by_sources >= SourceCount();
      return unreachable || now - current_at > kWatchAfter;
    }
    return now - (board.tree().is_backup() ? current_at : last_reply_at) > kSecondPairWatchAfter;
  }

  void UpdateWatching() {
    const bool should_watch = IsReader() || HasLostSources();
    if (should_watch == is_watching) {
      return;
    }
    is_watching = should_watch;
    board.log.LogChange(is_watching ? "watch.begun" : "watch.left_to_others",
                        {{"for_fleet", IsReader()},
                         {"depth", board.tree().depth()},
                         {"unanswered", unanswered_by_sources},
                         {"items_revision", item_revision::ToText(board.items.complete_to())}});
    on.on_watching_change(is_watching);
  }

  //============================================================================
  http_client& ClientForSeed(const endpoint& seed) {
    std::unique_ptr<http_client>& client = seed_clients[seed];
    if (!client) {
      client = std::make_unique<http_client>(
          board.loop, seed,
          http_client::options{.connect_timeout = kReplyTimeout,
                               .silence_timeout = std::chrono::seconds(3),
                               .idle_timeout = std::chrono::seconds(10)});
    }
    return *client;
  }

  // Chooses the node to query next, in this order: the node that has a later revision than the
  // own watch and the sources have delivered; the sources; a substitute; any other node.
  http_client* ChooseClient() {
    queried_source = false;
    const std::size_t step = queries_sent++;
    if (step == 0 && OthersHaveLaterRevision()) {
      queried_peer = board.newest_revision_peer;
      return &board.ClientFor(queried_peer);
    }
    const std::vector<endpoint>& seeds = board.settings.seeds;
    if (step < SourceCount()) {
      queried_source = true;
      const std::size_t at = (first_source + step) % SourceCount();
      if (seeds_are_sources()) {
        queried_peer = seeds[at];
        return &ClientForSeed(queried_peer);
      }
      return &ClientForNodeOf(board.tree().sources()[at]);
    }
    const std::vector<endpoint>& substitutes = board.tree().substitutes();
    if (step == SourceCount() && !substitutes.empty()) {
      return &ClientForNodeOf(substitutes[board.random.Below(substitutes.size())]);
    }
    const std::vector<endpoint>& peers = board.peers();
    if (!peers.empty()) {
      queried_peer = peers[next_peer++ % peers.size()];
      return &board.ClientFor(queried_peer);
    }
    if (seeds.empty()) {
      return nullptr;
    }
    queried_peer = seeds[board.random.Below(seeds.size())];
    return &ClientForSeed(queried_peer);
  }

  http_client& ClientForNodeOf(const endpoint& backend) {
    queried_peer = board.PeerAddressOf(backend);
    return board.ClientFor(queried_peer);
  }

  void SendQuery() {
    http_client* client = ChooseClient();
    if (client == nullptr) {
      return;
    }
    http_head request;
    request.method = "GET";
    request.target = fmt::format("{}?after={}", kItemsPath, board.items.complete_to());
    request.Set("Host", queried_peer.ToString());
    reply.clear();
    reply_ok = false;
    queried_at = board.loop.Now();
    query = client->Send(
        request, kMaxConnectionIdleTime,
        {.on_head = [this](const http_head& head) { reply_ok = head.status == http_status::kOk; },
         .on_interim = {},
         .on_body =
             [this](std::string_view bytes) {
               if (reply.size() + bytes.size() <= kMaxUpdateBytes) {
                 reply.append(bytes);
               }
             },
         .on_end = [this] { OnReply(); },
         .on_failed = [this](exchange_failure) { OnNoReply(); },
         .on_writable = {},
         .is_matching_answer = {}});
    query->FinishBody();
    timeout_timer.StartOnce(kReplyTimeout, [this] {
      query->Cancel();
      OnNoReply();
    });
  }

  void OnNoReply() {
    timeout_timer.Stop();
    finished_query = std::move(query);
    if (queried_source) {
      ++unanswered_by_sources;
    }
    if (queried_peer == board.newest_revision_peer) {
      // The node with the later revision may be gone, so the next answer that reports one counts.
      board.newest_reported_revision = board.items.complete_to();
    }
    UpdateWatching();
    QueryNext();
  }

  void OnReply() {
    timeout_timer.Stop();
    finished_query = std::move(query);
    const auto update = reply_ok ? DecodeMessage<item_update>(reply) : std::nullopt;
    if (!update) {
      board.log.LogChange("items.damaged",
                          {{"peer", queried_peer.ToString()}, {"bytes", reply.size()}});
      OnNoReply();
      return;
    }
    last_reply_at = board.loop.Now();
    if (queried_source) {
      unanswered_by_sources = 0;
    }
    if (update->complete_to > board.items.complete_to()) {
      if (!update->items.empty()) {
        board.log.LogChange("items.from_peer",
                            {{"peer", queried_peer.ToString()},
                             {"from", item_revision::ToText(board.items.complete_to())},
                             {"to", item_revision::ToText(update->complete_to)},
                             {"items", update->items.size()}});
      }
      on.on_update(*update);
    }
    const bool is_fresh = RecordAge(*update);
    UpdateWatching();
    if (!is_fresh) {
      QueryNext();
    }
  }

  // Returns whether the sender's replica is fresh. The age is counted from the time of the query:
  // counted from the reply, two nodes that query each other would never appear stale.
  bool RecordAge(const item_update& update) {
    if (update.age_micros == item_update::kUnknownAge) {
      return false;
    }
    const instant sender_current_at = queried_at - duration(update.age_micros);
    current_at = std::max(current_at, sender_current_at);
    board.items_age.OnCurrentAt(sender_current_at);
    return board.loop.Now() - sender_current_at <= kStaleAfter;
  }

  // Queries the next source where the previous one did not help. Where no source replies or the
  // own replica is stale, other nodes are queried as well.
  void QueryNext() {
    const bool may_query_others =
        has_replica() && (!IsFresh() || unanswered_by_sources >= SourceCount());
    if (queries_sent < (may_query_others ? kMaxQueriesPerPeriod : SourceCount())) {
      next_timer.StartOnce(duration::zero(), [this] {
        if (!query) {
          SendQuery();
        }
      });
    }
  }
};

item_exchange::item_exchange(relay_board& board, hooks hooks)
    : state_(std::make_unique<state>(board, std::move(hooks))) {}

item_exchange::~item_exchange() = default;

void item_exchange::SetPlatformAnswers(bool answers) { state_->platform_answers = answers; }

std::optional<duration> item_exchange::ReplicaAge() const {
  return state_->board.items_age.AgeAt(state_->board.loop.Now());
}

bool item_exchange::is_watching() const { return state_->is_watching; }

std::uint64_t item_exchange::queries_answered() const { return state_->queries_answered; }

void item_exchange::OnRequest(server_exchange& peer) {
  ++state_->queries_answered;
  const std::string& target = peer.request().target;
  const auto parameter = target.find("after=");
  const auto after = parameter == std::string::npos
                         ? std::optional<std::int64_t>(0)
                         : ParseDecimal(std::string_view(target).substr(parameter + 6));
  item_update update =
      state_->board.items.UpdateSince(static_cast<std::uint64_t>(after.value_or(0)));
  update.relist_micros = state_->on.unsettled_time().count();
  const std::optional<duration> age = ReplicaAge();
  update.age_micros = age ? age->count() : item_update::kUnknownAge;
  peer.Answer(MakeAnswer(http_status::kOk), EncodeMessage(update));
}

}  // namespace cuminferry
