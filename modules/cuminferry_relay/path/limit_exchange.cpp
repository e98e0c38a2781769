#include "cuminferry_relay/path/limit_exchange.h"

#include <map>
#include <utility>
#include <vector>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"
#include "cuminferry_relay/path/peer_questions.h"

namespace cuminferry {
namespace {

constexpr std::size_t kLargestMessage = 256 * 1024;

}  // namespace

struct limit_exchange::state {
  /** Reports on their way to one home. */
  struct question {
    endpoint home;
    std::string domain;
    instant sent{};
    // Whether the other home of these customers is still to be asked.
    bool is_first = true;
    std::vector<limit_report> reports;
  };

  relay_board& board;
  customer_home home;
  loop_timer period_timer;
  peer_questions questions;
  bool send_planned = false;
  std::map<endpoint, instant> silent_until;
  std::map<std::string, std::vector<std::function<void()>>, std::less<>> waiting;

  explicit state(relay_board& board)
      : board(board),
        home(board.settings.customers.limits),
        period_timer(board.loop),
        questions(board) {
    period_timer.StartPeriodic(customer_limits::kPeriod, [this] { SendReports(); });
  }

  bool IsCutOff(std::string_view domain) const {
    return domain != board.settings.failure_domain &&
           board.domains.IsCutOff(domain, board.loop.Now());
  }

  //============================================================================
  void Ask(const std::string& customer, std::function<void()> on_told) {
    waiting[customer].push_back(std::move(on_told));
    if (!std::exchange(send_planned, true)) {
      // Requests that come in one turn of the loop are told together.
      board.loop.AtEndOfTurn([this] {
        send_planned = false;
        SendReports();
      });
    }
  }

  void SendReports() { TellHomes(board.limits.TakeReports(board.loop.Now()), nullptr); }

  // @param failed  the question that brought no answer; nullptr where none was asked yet
  void TellHomes(std::vector<limit_report> reports, const question* failed) {
    std::map<endpoint, std::vector<limit_report>> by_home;
    std::vector<limit_report> homeless;
    const bool is_first = failed == nullptr;
    for (limit_report& report : reports) {
      const bool is_left = is_first || failed->is_first;
      const auto chosen = is_left ? ChooseHome(report.customer, is_first) : std::nullopt;
      if (chosen && (is_first || *chosen != failed->home)) {
        by_home[*chosen].push_back(std::move(report));
      } else {
        homeless.push_back(std::move(report));
      }
    }
    for (auto& [chosen, told] : by_home) {
      Tell(chosen, is_first, std::move(told));
    }
    GiveUp(homeless);
  }

  // The first home of a customer that isn't silent, or the second.
  std::optional<endpoint> ChooseHome(std::string_view customer, bool first) const {
    const auto homes =
        board.homes.HomesOf(customer, [this](std::string_view domain) { return IsCutOff(domain); });
    const instant now = board.loop.Now();
    std::optional<endpoint> chosen;
    for (const endpoint& found : homes) {
      const auto silent = silent_until.find(found);
      if (silent != silent_until.end() && now < silent->second) {
        continue;
      }
      // Where others don't tell this node, it may be cut off from them: the other home knows.
      if (found == board.settings.backend && board.homes.size() > 1 &&
          !home.HearsOthers(customer, now)) {
        continue;
      }
      if (first) {
        return found;
      }
      chosen = found;
    }
    return chosen;
  }

  void Tell(const endpoint& chosen, bool is_first, std::vector<limit_report> reports) {
    if (chosen == board.settings.backend) {
      TakeVerdicts(AddUp(reports, true));
      return;
    }
    const std::string body = EncodeMessage(reports);
    const auto asked = std::make_shared<question>(question{.home = chosen,
                                                           .domain = board.homes.DomainOf(chosen),
                                                           .sent = board.loop.Now(),
                                                           .is_first = is_first,
                                                           .reports = std::move(reports)});
    questions.Ask({.peer = board.PeerBeside(chosen),
                   .method = "POST",
                   .target = std::string(kLimitsPath),
                   .body = body,
                   .limit = kAnswerLimit},
                  [this, asked](const std::optional<std::string>& answer) {
                    if (answer) {
                      OnAnswer(*asked, *answer);
                    } else {
                      OnSilence(*asked);
                    }
                  });
  }

  void OnAnswer(question& done, const std::string& answer) {
    board.domains.OnHeard(done.domain, board.loop.Now());
    const auto verdicts = DecodeMessage<std::vector<limit_verdict>>(answer);
    if (!verdicts || verdicts->size() != done.reports.size()) {
      board.log.OnChange("limits.damaged",
                         {{"peer", done.home.ToString()}, {"bytes", answer.size()}});
      TellHomes(std::move(done.reports), &done);
    } else {
      TakeVerdicts(*verdicts);
    }
  }

  void OnSilence(question& done) {
    silent_until[done.home] = board.loop.Now() + kRest;
    board.domains.OnSilent(done.domain, done.sent, board.loop.Now());
    TellHomes(std::move(done.reports), &done);
  }

  //============================================================================
  void GiveUp(const std::vector<limit_report>& reports) {
    for (const limit_report& report : reports) {
      if (!board.limits.IsAlone(report.customer)) {
        board.log.OnChange("limits.alone",
                           {{"customer", report.customer}, {"nodes", board.homes.size()}});
      }
      board.limits.OnNoAnswer(report, board.loop.Now());
      RunWaiting(report.customer);
    }
  }

  void TakeVerdicts(const std::vector<limit_verdict>& verdicts) {
    for (const limit_verdict& verdict : verdicts) {
      const bool was_open = board.limits.ShareOf(verdict.customer) >= 1.0;
      board.limits.OnVerdict(verdict, board.loop.Now());
      if (was_open != (verdict.share >= 1.0)) {
        board.log.OnChange(was_open ? "limits.over" : "limits.within",
                           {{"customer", verdict.customer}, {"share", ForLog(verdict.share)}});
      }
      RunWaiting(verdict.customer);
    }
  }

  void RunWaiting(const std::string& customer) {
    auto at = waiting.extract(customer);
    if (at.empty()) {
      return;
    }
    for (const auto& on_told : at.mapped()) {
      on_told();
    }
  }

  //============================================================================
  std::vector<limit_verdict> AddUp(const std::vector<limit_report>& reports, bool are_own) {
    const instant now = board.loop.Now();
    const double reach =
        board.homes.Reach([this](std::string_view domain) { return IsCutOff(domain); });
    const customer_book* book = board.table() ? board.table()->customers().get() : nullptr;
    home.SetBounds(board.settings.customers.limits);
    std::vector<limit_verdict> verdicts;
    for (const limit_report& report : reports) {
      const customer* known = book == nullptr ? nullptr : book->FindByName(report.customer);
      // Edits reach nodes one after the other: what isn't known here is left as it is there.
      verdicts.push_back(known != nullptr && known->is_limited()
                             ? home.OnReport(report, *known, reach, are_own, now)
                             : limit_verdict{.customer = report.customer, .share = report.share});
    }
    return verdicts;
  }

  void Answer(server_exchange& peer, std::string_view body) {
    const auto reports = DecodeMessage<std::vector<limit_report>>(body);
    if (!reports) {
      peer.Answer(MakeAnswer(http_status::kBadRequest), "");
      return;
    }
    peer.Answer(MakeAnswer(http_status::kOk), EncodeMessage(AddUp(*reports, false)));
  }
};

limit_exchange::limit_exchange(relay_board& board) : state_(std::make_unique<state>(board)) {}

limit_exchange::~limit_exchange() = default;

void limit_exchange::Ask(const std::string& customer, std::function<void()> on_told) {
  state_->Ask(customer, std::move(on_told));
}

void limit_exchange::OnRequest(std::shared_ptr<server_exchange> peer) {
  ReadWholeBody(peer, kLargestMessage, [this](server_exchange& from, std::string_view body) {
    state_->Answer(from, body);
  });
}

std::size_t limit_exchange::accounts() const { return state_->home.size(); }

}  // namespace cuminferry
