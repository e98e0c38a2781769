#include "cuminferry_relay/path/item_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_wire/messages/bounded_input_archive.h"

namespace cuminferry {
namespace {

constexpr duration kAnswerLimit = std::chrono::milliseconds(1000);
// A node that has news lets its own watch deliver them first.
constexpr std::uint32_t kPeriodsBehind = 2;
constexpr std::size_t kLargestUpdate = 64 * 1024 * 1024;

std::string Encode(const item_update& update) {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(update);
  return std::move(stream).str();
}

std::optional<item_update> Decode(std::string_view bytes) {
  item_update update;
  bounded_input_archive archive({bytes.data(), bytes.size()});
  try {
    archive(update);
  } catch (const std::exception&) {
    // cereal has no other way to say that the input is short.
    return std::nullopt;
  }
  return update;
}

}  // namespace

struct item_exchange::state {
  relay_board& board;
  hooks on;
  loop_timer ask_timer;
  loop_timer limit_timer;
  bool platform_heard = false;
  // Watching the platform: by duty, or because no watching node answers.
  bool watching = true;
  instant answered_at{};
  std::uint32_t periods_behind = 0;
  endpoint asked;
  std::string answer;
  bool answer_ok = false;
  std::unique_ptr<client_exchange> asking;
  std::unique_ptr<client_exchange> finished;
  std::map<endpoint, std::unique_ptr<http_client>> seed_clients;

  state(relay_board& board, hooks on)
      : board(board), on(std::move(on)), ask_timer(board.loop), limit_timer(board.loop) {
    ask_timer.StartPeriodic(kAskPeriod, [this] { OnPeriod(); });
  }

  void OnPeriod() {
    const bool behind = board.heard_revision > board.items.complete_to();
    periods_behind = behind ? periods_behind + 1 : 0;
    UpdateWatching();
    const bool wants = !watching || !platform_heard || OthersKnowMore();
    if (wants && !asking) {
      Ask();
    }
  }

  bool OthersKnowMore() const {
    // The own watch delivers the same news within a period or two.
    return periods_behind >= (watching ? kPeriodsBehind : 1);
  }

  void UpdateWatching() {
    const instant now = board.loop.Now();
    const bool has_copy = board.items.complete_to() > 0;
    // Off duty, the others are asked for a while before the watch is given up.
    const bool answered = answered_at != instant{} && now - answered_at <= kAloneAfter;
    const bool off_duty = has_copy && !board.duty().on_duty();
    if (off_duty && watching && !asking) {
      Ask();
    }
    const bool wanted = !off_duty || !answered;
    if (wanted != watching) {
      watching = wanted;
      board.log.OnChange(watching ? "watch.begun" : "watch.left_to_others",
                         {{"on_duty", board.duty().on_duty()},
                          {"answered", answered},
                          {"items_revision", board.items.complete_to()}});
      on.on_watching(watching);
    }
  }

  // A watching node, of the own failure domain every other time. Drawn anew each
  // time: all that watch in one domain may hear nothing without knowing it.
  http_client* ChooseWatching() {
    constexpr std::uint64_t kFarOneIn = 2;
    const std::vector<endpoint>& near = board.duty().near();
    const std::vector<endpoint>& far = board.duty().far();
    const bool from_far = near.empty() || (!far.empty() && board.random.Below(kFarOneIn) == 0);
    const std::vector<endpoint>& from = from_far ? far : near;
    if (from.empty()) {
      return nullptr;
    }
    asked = board.PeerBeside(from[board.random.Below(from.size())]);
    return &board.ClientFor(asked);
  }

  // The node that told of news that neither the own watch nor the watching nodes
  // give; a watching node; or any.
  http_client* Choose() {
    if (OthersKnowMore()) {
      asked = board.heard_from;
      return &board.ClientFor(asked);
    }
    if (platform_heard || !watching) {
      if (http_client* client = ChooseWatching()) {
        return client;
      }
    }
    const std::vector<endpoint>& peers = board.peers();
    if (!peers.empty()) {
      asked = peers[board.random.Below(peers.size())];
      return &board.ClientFor(asked);
    }
    const std::vector<endpoint>& seeds = board.settings.seeds;
    if (seeds.empty()) {
      return nullptr;
    }
    asked = seeds[board.random.Below(seeds.size())];
    std::unique_ptr<http_client>& client = seed_clients[asked];
    if (!client) {
      client = std::make_unique<http_client>(
          board.loop, asked,
          http_client::options{.connect_limit = kAnswerLimit,
                               .silence_limit = std::chrono::seconds(3),
                               .idle_limit = std::chrono::seconds(10)});
    }
    return client.get();
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
    asking = client->Send(
        request, std::chrono::seconds(30),
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
    // Whoever told of the news may be gone: the next answer that tells counts.
    board.heard_revision = board.items.complete_to();
    Done();
  }

  void Done() {
    limit_timer.Stop();
    finished = std::move(asking);
  }

  void OnAnswer() {
    Done();
    if (!answer_ok) {
      return;
    }
    const auto update = Decode(answer);
    if (!update) {
      board.log.OnChange("items.damaged", {{"peer", asked.ToString()}, {"bytes", answer.size()}});
      return;
    }
    answered_at = board.loop.Now();
    if (update->complete_to > board.items.complete_to()) {
      board.log.OnChange("items.from_peer", {{"peer", asked.ToString()},
                                             {"from", board.items.complete_to()},
                                             {"to", update->complete_to},
                                             {"items", update->items.size()}});
      on.on_update(*update);
    }
  }
};

item_exchange::item_exchange(relay_board& board, hooks hooks)
    : state_(std::make_unique<state>(board, std::move(hooks))) {}

item_exchange::~item_exchange() = default;

void item_exchange::SetPlatformHeard(bool heard) { state_->platform_heard = heard; }

void item_exchange::OnRequest(server_exchange& peer) const {
  const std::string& target = peer.request().target;
  const auto mark = target.find("after=");
  const auto after = mark == std::string::npos
                         ? std::optional<std::int64_t>(0)
                         : ParseDecimal(std::string_view(target).substr(mark + 6));
  item_update update =
      state_->board.items.UpdateSince(static_cast<std::uint64_t>(after.value_or(0)));
  update.unsettled_micros = state_->on.unsettled().count();
  peer.Answer(MakeAnswer(http_status::kOk), Encode(update));
}

}  // namespace cuminferry
