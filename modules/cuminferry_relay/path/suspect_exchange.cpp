#include "cuminferry_relay/path/suspect_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"
#include "cuminferry_relay/path/peer_questions.h"

namespace cuminferry {
namespace {

// Nodes answer within milliseconds; one that doesn't is cut off or gone, and others are told.
constexpr duration kAnswerLimit = std::chrono::milliseconds(300);
constexpr std::size_t kLargestMessage = 1024 * 1024;
constexpr std::string_view kKnownMark = "known=";

}  // namespace

struct suspect_exchange::state {
  relay_board& board;
  peer_questions questions;
  loop_timer ask_timer;
  // To be told at the end of the turn.
  std::vector<suspect_event> untold;
  std::uint64_t told = 0;

  explicit state(relay_board& board) : board(board), questions(board), ask_timer(board.loop) {
    ask_timer.StartPeriodic(kAskPeriod, [this] { OnPeriod(); });
  }

  void OnPeriod() {
    board.suspects.Expire(board.loop.Now());
    const std::vector<endpoint>& peers = board.peers();
    if (peers.empty()) {
      return;
    }
    questions.Ask(
        {.peer = peers[board.random.Below(peers.size())],
         .target = fmt::format("{}?{}{}", kSuspectsPath, kKnownMark, board.suspects.checksum()),
         .limit = kAnswerLimit},
        [this](const std::optional<std::string>& answer) {
          if (answer && !answer->empty()) {
            Take(*answer);
          }
        });
  }

  // Returns false where the bytes are no such message.
  bool Take(std::string_view bytes) {
    const auto told = DecodeMessage<std::vector<suspect_event>>(bytes);
    if (!told) {
      board.log.OnChange("suspects.damaged", {{"bytes", bytes.size()}});
      return false;
    }
    TakeNew(*told);
    return true;
  }

  void TakeNew(const std::vector<suspect_event>& events) {
    const instant now = board.loop.Now();
    const bool planned = !untold.empty();
    for (const suspect_event& event : events) {
      const bool was_blocked = IsBlocked(event.digest, now);
      if (!board.suspects.Apply(event, now)) {
        continue;
      }
      untold.push_back(event);
      if (!was_blocked && IsBlocked(event.digest, now)) {
        board.log.OnChange("suspect.blocked", {{"suspect", event.digest.ToText()},
                                               {"ends", board.suspects.EndsOf(event.digest)},
                                               {"last_end", event.end}});
      }
    }
    if (!planned && !untold.empty()) {
      board.loop.AtEndOfTurn([this] { TellOthers(); });
    }
  }

  bool IsBlocked(const request_digest& digest, instant now) const {
    return board.suspects.StandingOf(digest, now) == suspect_standing::kBlocked;
  }

  void TellOthers() {
    const std::string body = EncodeMessage(std::exchange(untold, {}));
    std::vector<endpoint> peers = board.peers();
    for (std::size_t number = 0; number < kTold && !peers.empty(); ++number) {
      ++told;
      const auto at = static_cast<std::ptrdiff_t>(board.random.Below(peers.size()));
      questions.Ask({.peer = peers[static_cast<std::size_t>(at)],
                     .method = "POST",
                     .target = std::string(kSuspectsPath),
                     .body = body,
                     .limit = kAnswerLimit},
                    [](const std::optional<std::string>&) {});
      peers.erase(peers.begin() + at);
    }
  }

  //============================================================================
  void OnQuestion(server_exchange& peer) const {
    const std::string& target = peer.request().target;
    const auto mark = target.find(kKnownMark);
    const auto known =
        mark == std::string::npos
            ? std::optional<std::uint64_t>()
            : ParseWhole<std::uint64_t>(std::string_view(target).substr(mark + kKnownMark.size()));
    if (known == board.suspects.checksum()) {
      peer.Answer(MakeAnswer(http_status::kOk), "");
      return;
    }
    peer.Answer(MakeAnswer(http_status::kOk), EncodeMessage(board.suspects.All(board.loop.Now())));
  }
};

suspect_exchange::suspect_exchange(relay_board& board) : state_(std::make_unique<state>(board)) {}

suspect_exchange::~suspect_exchange() = default;

std::uint64_t suspect_exchange::told() const { return state_->told; }

void suspect_exchange::Tell(const std::vector<suspect_event>& found) { state_->TakeNew(found); }

void suspect_exchange::OnRequest(const std::shared_ptr<server_exchange>& peer) {
  if (peer->request().method == "GET") {
    state_->OnQuestion(*peer);
  } else {
    ReadWholeBody(peer, kLargestMessage, [this](server_exchange& from, std::string_view body) {
      from.Answer(MakeAnswer(state_->Take(body) ? http_status::kOk : http_status::kBadRequest), "");
    });
  }
}

}  // namespace cuminferry
