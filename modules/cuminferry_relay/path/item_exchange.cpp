#include "cuminferry_relay/path/item_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"

namespace cuminferry {
namespace {

// Nodes answer within milliseconds; one that doesn't is cut off, frozen or overwhelmed, and
// another is asked.
constexpr duration kAnswerLimit = std::chrono::milliseconds(250);
// Asked in one period at most by a node whose copy is stale. Each has heard from others, so
// that news reaches a fleet of thousands within a few periods.
constexpr std::size_t kAsksInRound = 8;
constexpr duration kConnectionIdle = std::chrono::seconds(30);
// A node that has news lets its own watch deliver them first.
constexpr std::uint32_t kPeriodsBehind = 2;
constexpr std::size_t kLargestUpdate = 64 * 1024 * 1024;

}  // namespace

struct item_exchange::state {
  relay_board& board;
  hooks on;
  loop_timer ask_timer;
  loop_timer next_timer;
  loop_timer limit_timer;
  bool platform_heard = false;
  // For the fleet, or because the nodes above hear nothing.
  bool watching = false;
  // As other nodes told alone, the copy held all that the platform did.
  instant fed_at;
  // Any node answered.
  instant answered_at{};
  instant started_at;
  std::uint32_t periods_behind = 0;

  // Nodes asked in this round, and those above that did not answer since one did.
  std::size_t asks = 0;
  std::size_t first_source = 0;
  std::size_t unanswered = 0;
  std::size_t next_peer = 0;
  // Questions of others, since the node began.
  std::uint64_t questions = 0;

  endpoint asked;
  instant asked_at{};
  bool asked_source = false;
  std::string answer;
  bool answer_ok = false;
  std::unique_ptr<client_exchange> asking;
  std::unique_ptr<client_exchange> finished;
  std::map<endpoint, std::unique_ptr<http_client>> seed_clients;

  state(relay_board& board, hooks on)
      : board(board),
        on(std::move(on)),
        ask_timer(board.loop),
        next_timer(board.loop),
        limit_timer(board.loop),
        fed_at(board.loop.Now()),
        started_at(board.loop.Now()) {
    ask_timer.StartPeriodic(kAskPeriod, [this] { OnPeriod(); });
    next_timer.StartOnce(duration::zero(), [this] { OnPeriod(); });
  }

  //============================================================================
  void OnPeriod() {
    const bool behind = board.heard_revision > board.items.complete_to();
    periods_behind = behind ? periods_behind + 1 : 0;
    UpdateWatching();
    if (asking) {
      return;
    }
    asks = 0;
    first_source = board.random.Below(std::max<std::size_t>(1, SourceCount()));
    if (!ReadsForFleet() || !platform_heard || !IsFresh() || OthersKnowMore()) {
      Ask();
    }
  }

  bool has_copy() const { return board.items.complete_to() > 0; }

  // Before any list is known, the seeds are the nodes above.
  bool seeds_are_above() const { return !has_copy() || board.tree().empty(); }

  bool IsSeed() const {
    return std::ranges::find(board.settings.seeds, board.settings.seed) !=
           board.settings.seeds.end();
  }

  bool ReadsForFleet() const {
    return seeds_are_above() ? board.settings.seeds.empty() || IsSeed() : board.tree().reads();
  }

  std::size_t SourceCount() const {
    return seeds_are_above() ? board.settings.seeds.size() : board.tree().sources().size();
  }

  bool IsFresh() const {
    const std::optional<duration> age = board.copy.At(board.loop.Now());
    return age && *age <= kStaleAfter;
  }

  bool OthersKnowMore() const {
    // The own watch delivers the same news within a period or two.
    return periods_behind >= (watching ? kPeriodsBehind : 1);
  }

  bool IsAlone() const {
    const instant now = board.loop.Now();
    if (!has_copy()) {
      const bool empty_seeds = now - answered_at <= kFirstCopyWait;
      return now - started_at > (empty_seeds ? kEmptySeedsWait : kFirstCopyWait);
    }
    if (board.tree().depth() <= 1) {
      const bool unreachable = unanswered > 0 && unanswered >= SourceCount();
      return unreachable || now - fed_at > kAloneAfter;
    }
    return now - (board.tree().backs_up() ? fed_at : answered_at) > kAloneBelow;
  }

  void UpdateWatching() {
    const bool wanted = ReadsForFleet() || IsAlone();
    if (wanted == watching) {
      return;
    }
    watching = wanted;
    board.log.OnChange(watching ? "watch.begun" : "watch.left_to_others",
                       {{"for_fleet", ReadsForFleet()},
                        {"depth", board.tree().depth()},
                        {"unanswered", unanswered},
                        {"items_revision", item_revision::ToText(board.items.complete_to())}});
    on.on_watching(watching);
  }

  //============================================================================
  http_client& ClientOfSeed(const endpoint& seed) {
    std::unique_ptr<http_client>& client = seed_clients[seed];
    if (!client) {
      client = std::make_unique<http_client>(
          board.loop, seed,
          http_client::options{.connect_limit = kAnswerLimit,
                               .silence_limit = std::chrono::seconds(3),
                               .idle_limit = std::chrono::seconds(10)});
    }
    return *client;
  }

  // The node that told of news that neither the own watch nor the nodes above give; a node
  // above; another that hears early; any, in turn.
  http_client* Choose() {
    asked_source = false;
    const std::size_t step = asks++;
    if (step == 0 && OthersKnowMore()) {
      asked = board.heard_from;
      return &board.ClientFor(asked);
    }
    const std::vector<endpoint>& seeds = board.settings.seeds;
    if (step < SourceCount()) {
      asked_source = true;
      const std::size_t at = (first_source + step) % SourceCount();
      if (seeds_are_above()) {
        asked = seeds[at];
        return &ClientOfSeed(asked);
      }
      return &ClientBeside(board.tree().sources()[at]);
    }
    const std::vector<endpoint>& substitutes = board.tree().substitutes();
    if (step == SourceCount() && !substitutes.empty()) {
      return &ClientBeside(substitutes[board.random.Below(substitutes.size())]);
    }
    const std::vector<endpoint>& peers = board.peers();
    if (!peers.empty()) {
      asked = peers[next_peer++ % peers.size()];
      return &board.ClientFor(asked);
    }
    if (seeds.empty()) {
      return nullptr;
    }
    asked = seeds[board.random.Below(seeds.size())];
    return &ClientOfSeed(asked);
  }

  http_client& ClientBeside(const endpoint& backend) {
    asked = board.PeerBeside(backend);
    return board.ClientFor(asked);
  }

  void Ask() {
    http_client* client = Choose();
    if (client == nullptr) {
      return;
    }
    http_head request;
    request.method = "GET";
    request.target = fmt::format("{}?after={}", kItemsPath, board.items.complete_to());
    request.Set("Host", asked.ToString());
    answer.clear();
    answer_ok = false;
    asked_at = board.loop.Now();
    asking = client->Send(
        request, kConnectionIdle,
        {.on_head = [this](const http_head& head) { answer_ok = head.status == http_status::kOk; },
         .on_interim = {},
         .on_body =
             [this](std::string_view bytes) {
               if (answer.size() + bytes.size() <= kLargestUpdate) {
                 answer.append(bytes);
               }
             },
         .on_end = [this] { OnAnswer(); },
         .on_failed = [this](exchange_failure) { OnNoAnswer(); },
         .on_drained = {},
         .is_answer = {}});
    asking->FinishBody();
    limit_timer.StartOnce(kAnswerLimit, [this] {
      asking->Cancel();
      OnNoAnswer();
    });
  }

  void OnNoAnswer() {
    limit_timer.Stop();
    finished = std::move(asking);
    if (asked_source) {
      ++unanswered;
    }
    if (asked == board.heard_from) {
      // Whoever told of the news may be gone: the next answer that tells counts.
      board.heard_revision = board.items.complete_to();
    }
    UpdateWatching();
    AskNext();
  }

  void OnAnswer() {
    limit_timer.Stop();
    finished = std::move(asking);
    const auto update = answer_ok ? DecodeMessage<item_update>(answer) : std::nullopt;
    if (!update) {
      board.log.OnChange("items.damaged", {{"peer", asked.ToString()}, {"bytes", answer.size()}});
      OnNoAnswer();
      return;
    }
    answered_at = board.loop.Now();
    if (asked_source) {
      unanswered = 0;
    }
    if (update->complete_to > board.items.complete_to()) {
      if (!update->items.empty()) {
        board.log.OnChange("items.from_peer",
                           {{"peer", asked.ToString()},
                            {"from", item_revision::ToText(board.items.complete_to())},
                            {"to", item_revision::ToText(update->complete_to)},
                            {"items", update->items.size()}});
      }
      on.on_update(*update);
    }
    const bool good = NoteAge(*update);
    UpdateWatching();
    if (!good) {
      AskNext();
    }
  }

  // Whether the sender's copy is a fresh one. Counted from when it was asked: counted from
  // its answer, two nodes that ask each other would never seem old.
  bool NoteAge(const item_update& update) {
    if (update.age_micros == item_update::kNeverHeard) {
      return false;
    }
    const instant told = asked_at - duration(update.age_micros);
    fed_at = std::max(fed_at, told);
    board.copy.OnCurrentAt(told);
    return board.loop.Now() - told <= kStaleAfter;
  }

  // The nodes above, where one does not help; where none of them answers or the own copy is
  // stale, others besides.
  void AskNext() {
    const bool wide = has_copy() && (!IsFresh() || unanswered >= SourceCount());
    if (asks < (wide ? kAsksInRound : SourceCount())) {
      next_timer.StartOnce(duration::zero(), [this] {
        if (!asking) {
          Ask();
        }
      });
    }
  }
};

item_exchange::item_exchange(relay_board& board, hooks hooks)
    : state_(std::make_unique<state>(board, std::move(hooks))) {}

item_exchange::~item_exchange() = default;

void item_exchange::SetPlatformHeard(bool heard) { state_->platform_heard = heard; }

std::optional<duration> item_exchange::Age() const {
  return state_->board.copy.At(state_->board.loop.Now());
}

bool item_exchange::watching() const { return state_->watching; }

std::uint64_t item_exchange::questions() const { return state_->questions; }

void item_exchange::OnRequest(server_exchange& peer) {
  ++state_->questions;
  const std::string& target = peer.request().target;
  const auto mark = target.find("after=");
  const auto after = mark == std::string::npos
                         ? std::optional<std::int64_t>(0)
                         : ParseDecimal(std::string_view(target).substr(mark + 6));
  item_update update =
      state_->board.items.UpdateSince(static_cast<std::uint64_t>(after.value_or(0)));
  update.unsettled_micros = state_->on.unsettled().count();
  const std::optional<duration> age = Age();
  update.age_micros = age ? age->count() : item_update::kNeverHeard;
  peer.Answer(MakeAnswer(http_status::kOk), EncodeMessage(update));
}

}  // namespace cuminferry
