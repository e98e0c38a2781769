#include "cuminferry_relay/path/peer_queries.h"

#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/bounded_body.h"
#include "cuminferry_relay/path/outbound_call.h"

namespace cuminferry {
namespace {

constexpr duration kMaxConnectionIdleTime = std::chrono::seconds(30);

}  // namespace

void ReadWholeBody(const std::shared_ptr<server_exchange>& peer, std::size_t max_bytes,
                   std::function<void(server_exchange&, std::string_view)> on_whole) {
  const auto body = std::make_shared<bounded_body>(max_bytes);
  peer->SetHooks({.on_body = [body](std::string_view bytes) { body->Append(bytes); },
                  .on_body_end =
                      [peer, body, on_whole = std::move(on_whole)] {
                        if (body->is_whole()) {
                          on_whole(*peer, body->bytes());
                        } else {
                          peer->Answer(MakeAnswer(http_status::kContentTooLarge), "");
                        }
                        // The hooks and the exchange own each other.
                        peer->SetHooks({});
                      },
                  .on_client_gone = [peer] { peer->SetHooks({}); },
                  .on_writable = {}});
}

struct peer_queries::pending_query {
  explicit pending_query(event_loop& loop) : limit_timer(loop) {}

  reply_hook on_reply;
  bounded_body reply{kMaxReplyBytes};
  bool is_ok = false;
  std::unique_ptr<client_exchange> exchange;
  loop_timer limit_timer;
};

peer_queries::peer_queries(relay_board& board, std::string_view kind)
    : board_(board), kind_(kind), cleanup_timer_(board.loop) {}

peer_queries::~peer_queries() = default;

void peer_queries::Send(const message& request, reply_hook on_reply) {
  const std::uint64_t number = ++last_number_;
  auto new_query = std::make_unique<pending_query>(board_.loop);
  pending_query& query = *new_query;
  query.on_reply = std::move(on_reply);
  pending_.emplace(number, std::move(new_query));
  http_head head;
  head.method = request.method;
  head.target = request.target;
  head.Set("Host", request.peer.ToString());
  board_.metrics.OnControlMessage(kind_, "sent", request.target.size() + request.body.size());
  if (!request.body.empty()) {
    head.framing = body_framing::kLength;
    head.length = request.body.size();
  }
  query.exchange =
      board_.ClientFor(request.peer)
          .Send(head, {.max_idle_time = kMaxConnectionIdleTime},
                {.on_head =
                     [&query](const http_head& reply_head) {
                       query.is_ok = reply_head.status == http_status::kOk;
                     },
                 .on_interim = {},
                 .on_body =
                     [this, number, &query](std::string_view bytes) {
                       query.reply.Append(bytes);
                       if (!query.reply.is_whole()) {
                         OnComplete(number, false);
                       }
                     },
                 // Nodes state the length of their replies, so a close cuts one off.
                 .on_end = [this, number,
                            &query] { OnComplete(number, !query.exchange->ended_by_close()); },
                 .on_failed = [this, number](exchange_failure) { OnComplete(number, false); },
                 .on_writable = {},
                 .is_matching_answer = {}});
  query.exchange->SendBody(request.body);
  query.exchange->FinishBody();
  query.limit_timer.StartOnce(request.limit, [this, number] { OnComplete(number, false); });
}

void peer_queries::OnComplete(std::uint64_t number, bool was_answered) {
  auto found = pending_.extract(number);
  if (found.empty()) {
    return;
  }
  pending_query& completed = *found.mapped();
  completed.limit_timer.Stop();
  if (!was_answered) {
    completed.exchange->Cancel();
  }
  const reply_hook on_reply = std::move(completed.on_reply);
  std::optional<std::string> reply;
  if (was_answered) {
    board_.metrics.OnControlMessage(kind_, "received", completed.reply.bytes().size());
    reply = completed.is_ok ? completed.reply.Take() : std::string();
  }
  completed_.push_back(std::move(found.mapped()));
  cleanup_timer_.StartOnce(duration::zero(), [this] { completed_.clear(); });
  on_reply(std::move(reply));
}

}  // namespace cuminferry
