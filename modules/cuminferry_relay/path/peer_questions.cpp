#include "cuminferry_relay/path/peer_questions.h"

#include <utility>

#include "cuminferry_relay/http/http_status.h"

namespace cuminferry {
namespace {

constexpr duration kConnectionIdle = std::chrono::seconds(30);

}  // namespace

void ReadWholeBody(const std::shared_ptr<server_exchange>& peer, std::size_t largest,
                   std::function<void(server_exchange&, std::string_view)> on_whole) {
  const auto body = std::make_shared<std::string>();
  peer->SetHooks({.on_body =
                      [body, largest](std::string_view bytes) {
                        if (body->size() + bytes.size() <= largest) {
                          body->append(bytes);
                        }
                      },
                  .on_body_end =
                      [peer, body, on_whole = std::move(on_whole)] {
                        on_whole(*peer, *body);
                        // They hold the exchange, which holds them.
                        peer->SetHooks({});
                      },
                  .on_client_gone = [peer] { peer->SetHooks({}); },
                  .on_drained = {}});
}

struct peer_questions::question {
  explicit question(event_loop& loop) : limit_timer(loop) {}

  answer_hook on_answer;
  std::string answer;
  bool is_ok = false;
  std::unique_ptr<client_exchange> exchange;
  loop_timer limit_timer;
};

peer_questions::peer_questions(relay_board& board) : board_(board), clean_timer_(board.loop) {}

peer_questions::~peer_questions() = default;

void peer_questions::Ask(const message& asked, answer_hook on_answer) {
  const std::uint64_t number = ++last_;
  auto made = std::make_unique<question>(board_.loop);
  question& now = *made;
  now.on_answer = std::move(on_answer);
  open_.emplace(number, std::move(made));
  http_head head;
  head.method = asked.method;
  head.target = asked.target;
  head.Set("Host", asked.peer.ToString());
  if (!asked.body.empty()) {
    head.framing = body_framing::kLength;
    head.length = asked.body.size();
  }
  now.exchange =
      board_.ClientFor(asked.peer)
          .Send(head, kConnectionIdle,
                {.on_head =
                     [&now](const http_head& got) { now.is_ok = got.status == http_status::kOk; },
                 .on_interim = {},
                 .on_body =
                     [&now](std::string_view bytes) {
                       if (now.answer.size() + bytes.size() <= kLargestAnswer) {
                         now.answer.append(bytes);
                       }
                     },
                 .on_end = [this, number] { OnEnd(number, true); },
                 .on_failed = [this, number](exchange_failure) { OnEnd(number, false); },
                 .on_drained = {},
                 .is_answer = {}});
  now.exchange->SendBody(asked.body);
  now.exchange->FinishBody();
  now.limit_timer.StartOnce(asked.limit, [this, number] { OnEnd(number, false); });
}

void peer_questions::OnEnd(std::uint64_t number, bool answered) {
  auto found = open_.extract(number);
  if (found.empty()) {
    return;
  }
  question& done = *found.mapped();
  done.limit_timer.Stop();
  if (!answered) {
    done.exchange->Cancel();
  }
  const answer_hook on_answer = std::move(done.on_answer);
  std::optional<std::string> answer;
  if (answered) {
    answer = done.is_ok ? std::move(done.answer) : std::string();
  }
  ended_.push_back(std::move(found.mapped()));
  clean_timer_.StartOnce(duration::zero(), [this] { ended_.clear(); });
  on_answer(std::move(answer));
}

}  // namespace cuminferry
