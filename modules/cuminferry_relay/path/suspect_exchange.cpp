#include "cuminferry_relay/path/suspect_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"
#include "cuminferry_relay/path/peer_queries.h"

namespace cuminferry {
namespace {

// Nodes reply within milliseconds; one that doesn't is unreachable or gone. Other nodes receive
// the announcement as well.
constexpr duration kReplyTimeout = std::chrono::milliseconds(300);
constexpr std::size_t kMaxMessageBytes = 1024 * 1024;
constexpr std::string_view kChecksumParameter = "known=";

}  // namespace

struct suspect_exchange::state {
  relay_board& board;
  peer_queries queries;
  announcement_ring ring;
  loop_timer query_timer;
  // Events to announce at the end of the event loop's turn.
  std::vector<suspect_event> pending_events;
  std::uint64_t announcements_sent = 0;

  explicit state(relay_board& board)
      : board(board),
        queries(board, "suspects"),
        ring(board.settings.peer),
        query_timer(board.loop) {
    query_timer.StartPeriodic(kQueryPeriod, [this] { OnPeriod(); });
  }

  void OnPeriod() {
    board.suspects.Expire(board.loop.Now());
    const std::vector<endpoint>& peers = board.peers();
    if (peers.empty()) {
      return;
    }
    queries.Send({.peer = peers[board.random.Below(peers.size())],
                  .target = fmt::format("{}?{}{}", kSuspectsPath, kChecksumParameter,
                                        board.suspects.checksum()),
                  .limit = kReplyTimeout},
                 [this](const std::optional<std::string>& reply) {
                   if (reply && !reply->empty()) {
                     ApplyMessage(*reply);
                   }
                 });
  }

  // Applies the events of an encoded message; returns false if the message is malformed.
  bool ApplyMessage(std::string_view bytes) {
    const auto events = DecodeMessage<std::vector<suspect_event>>(bytes);
    if (!events) {
      board.log.LogChange("suspects.damaged", {{"bytes", bytes.size()}});
      return false;
    }
    ApplyAndAnnounce(*events);
    return true;
  }

  void ApplyAndAnnounce(const std::vector<suspect_event>& events) {
    const instant now = board.loop.Now();
    const bool is_scheduled = !pending_events.empty();
    for (const suspect_event& event : events) {
      const bool was_blocked = IsBlocked(event.digest, now);
      if (!board.suspects.Apply(event, now)) {
        continue;
      }
      pending_events.push_back(event);
      if (!was_blocked && IsBlocked(event.digest, now)) {
        board.log.LogChange("suspect.blocked", {{"suspect", event.digest.ToText()},
                                                {"ends", board.suspects.CrashCountOf(event.digest)},
                                                {"last_end", event.crash_id}});
      }
    }
    if (!is_scheduled && !pending_events.empty()) {
      board.loop.RunAtEndOfIteration([this] { AnnounceToPeers(); });
    }
  }

  bool IsBlocked(const request_digest& digest, instant now) const {
    return board.suspects.StatusOf(digest, now) == suspect_status::kBlocked;
  }

  void AnnounceToPeers() {
    const std::string body = EncodeMessage(std::exchange(pending_events, {}));
    for (const endpoint& peer : ring.ChoosePeers(board.peers(), board.random)) {
      ++announcements_sent;
      queries.Send({.peer = peer,
                    .method = "POST",
                    .target = std::string(kSuspectsPath),
                    .body = body,
                    .limit = kReplyTimeout},
                   [](const std::optional<std::string>&) {});
    }
  }

  //============================================================================
  void OnQuery(server_exchange& peer) const {
    const std::string& target = peer.request().target;
    const auto mark = target.find(kChecksumParameter);
    const auto known_checksum = mark == std::string::npos
                                    ? std::optional<std::uint64_t>()
                                    : ParseInteger<std::uint64_t>(std::string_view(target).substr(
                                          mark + kChecksumParameter.size()));
    if (known_checksum == board.suspects.checksum()) {
      peer.Answer(MakeAnswer(http_status::kOk), "");
      return;
    }
    peer.Answer(MakeAnswer(http_status::kOk),
                EncodeMessage(board.suspects.AllEvents(board.loop.Now())));
  }
};

suspect_exchange::suspect_exchange(relay_board& board) : state_(std::make_unique<state>(board)) {}

suspect_exchange::~suspect_exchange() = default;

std::uint64_t suspect_exchange::announcements_sent() const { return state_->announcements_sent; }

void suspect_exchange::Announce(const std::vector<suspect_event>& found) {
  state_->ApplyAndAnnounce(found);
}

void suspect_exchange::OnRequest(const std::shared_ptr<server_exchange>& peer) {
  if (peer->request().method == "GET") {
    state_->OnQuery(*peer);
  } else {
    ReadWholeBody(peer, kMaxMessageBytes, [this](server_exchange& from, std::string_view body) {
      from.Answer(
          MakeAnswer(state_->ApplyMessage(body) ? http_status::kOk : http_status::kBadRequest), "");
    });
  }
}

}  // namespace cuminferry
