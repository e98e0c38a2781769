#include "cuminferry_relay/path/limit_exchange.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"
#include "cuminferry_relay/path/peer_queries.h"

namespace cuminferry {
namespace {

constexpr std::size_t kMaxMessageBytes = 256 * 1024;

}  // namespace

struct limit_exchange::state {
  /** Reports that were sent to one coordinator and are not answered yet. */
  struct sent_query {
    endpoint coordinator;
    std::string domain;
    instant sent{};
    // The other coordinator of these customers has not been queried yet.
    bool is_first_query = true;
    std::vector<customer_report> reports;
  };

  relay_board& board;
  customer_coordinator coordinator;
  demand_coordinator demand;
  level_coordinator levels;
  loop_timer period_timer;
  loop_timer load_timer;
  peer_queries queries;
  bool is_send_scheduled = false;
  std::map<endpoint, instant> excluded_until;
  // Nodes that do not know kSharesPath.
  std::map<endpoint, instant> previous_release_until;
  std::map<std::string, std::vector<std::function<void()>>, std::less<>> waiting_requests;

  explicit state(relay_board& board)
      : board(board),
        coordinator(board.settings.customers.limits),
        period_timer(board.loop),
        load_timer(board.loop),
        queries(board, "limits") {
    period_timer.StartPeriodic(customer_limits::kReportPeriod, [this] {
      SendReports();
      LogShareChanges();
    });
    load_timer.StartPeriodic(demand_coordinator::kLoadPeriod, [this] { SendLoads(); });
  }

  bool IsCutOff(std::string_view domain) const {
    return domain != board.settings.failure_domain &&
           board.domains.IsCutOff(domain, board.loop.Now());
  }

  //============================================================================
  void QueryCoordinator(const std::string& customer, std::function<void()> on_replied) {
    waiting_requests[customer].push_back(std::move(on_replied));
    if (!std::exchange(is_send_scheduled, true)) {
      // Requests that arrive in one turn of the loop are reported together.
      board.loop.RunAtEndOfIteration([this] {
        is_send_scheduled = false;
        SendReports();
      });
    }
  }

  void SendReports() {
    const instant now = board.loop.Now();
    std::vector<customer_report> reports;
    board.limits.SetNodes(board.coordinators.CountAt(now));
    for (limit_report& report : board.limits.TakeReports(now)) {
      customer_report taken{.limit = std::move(report), .counts_for_limit = true, .pools = {}};
      taken.pools = board.shares.TakeDemand(taken.limit.customer, now);
      reports.push_back(std::move(taken));
    }
    for (std::string& name : board.shares.CustomersDue(now)) {
      customer_report taken;
      taken.pools = board.shares.TakeDemand(name, now);
      taken.limit.customer = std::move(name);
      reports.push_back(std::move(taken));
    }
    SendToCoordinators(std::move(reports), nullptr);
  }

  // @param failed  the query that brought no reply; nullptr if none was sent yet
  void SendToCoordinators(std::vector<customer_report> reports, const sent_query* failed) {
    std::map<endpoint, std::vector<customer_report>> by_coordinator;
    std::vector<customer_report> undeliverable;
    const bool is_first_query = failed == nullptr;
    for (customer_report& report : reports) {
      const bool may_query = is_first_query || failed->is_first_query;
      const auto chosen =
          may_query ? ChooseCoordinator(report.limit.customer, is_first_query) : std::nullopt;
      if (chosen && (is_first_query || *chosen != failed->coordinator)) {
        by_coordinator[*chosen].push_back(std::move(report));
      } else {
        undeliverable.push_back(std::move(report));
      }
    }
    for (auto& [chosen, batch] : by_coordinator) {
      SendToCoordinator(chosen, is_first_query, std::move(batch));
    }
    UseEqualShares(undeliverable);
    if (board.settings.customer_shares) {
      CountOwnDemand(undeliverable);
    }
  }

  // Chooses among the coordinators of a customer that did not fail to reply recently: the first
  // one, or the last one if `first` is false.
  std::optional<endpoint> ChooseCoordinator(std::string_view customer, bool first) const {
    const auto coordinators = board.coordinators.CoordinatorsOf(
        customer, [this](std::string_view domain) { return IsCutOff(domain); });
    const instant now = board.loop.Now();
    std::optional<endpoint> chosen;
    for (const endpoint& found : coordinators) {
      const auto exclusion = excluded_until.find(found);
      if (exclusion != excluded_until.end() && now < exclusion->second) {
        continue;
      }
      // A coordinator that gets no reports of other nodes may be cut off from them. The other
      // coordinator has their reports then.
      if (found == board.settings.backend && board.coordinators.size() > 1 &&
          !coordinator.HasReportsOfOthers(customer, now) &&
          !(board.settings.customer_shares && demand.HasReportsOfOthers(customer, now))) {
        continue;
      }
      if (first) {
        return found;
      }
      chosen = found;
    }
    return chosen;
  }

  void SendToCoordinator(const endpoint& chosen, bool is_first_query,
                         std::vector<customer_report> reports) {
    if (chosen == board.settings.backend) {
      const share_query query{.reports = std::move(reports)};
      ApplyReply(query.reports, Answer(query, true));
      return;
    }
    const auto pending =
        std::make_shared<sent_query>(sent_query{.coordinator = chosen,
                                                .domain = board.coordinators.DomainOf(chosen),
                                                .sent = board.loop.Now(),
                                                .is_first_query = is_first_query,
                                                .reports = std::move(reports)});
    if (!board.settings.customer_shares || IsOfPreviousRelease(chosen)) {
      SendLimitReports(pending);
      return;
    }
    Send(chosen, kSharesPath, EncodeMessage(share_query{.reports = pending->reports}),
         [this, pending](const std::optional<std::string>& answer) {
           if (!answer) {
             OnNoReply(*pending);
           } else if (answer->empty()) {
             OnPreviousRelease(pending->coordinator);
             SendLimitReports(pending);
           } else {
             OnShareReply(*pending, *answer);
           }
         });
  }

  // Sends reports as nodes of the previous release do. They have no place for the rest.
  void SendLimitReports(const std::shared_ptr<sent_query>& pending) {
    std::erase_if(pending->reports,
                  [](const customer_report& report) { return !report.counts_for_limit; });
    if (pending->reports.empty()) {
      return;
    }
    std::vector<limit_report> reports;
    for (const customer_report& report : pending->reports) {
      reports.push_back(report.limit);
    }
    Send(pending->coordinator, kLimitsPath, EncodeMessage(reports),
         [this, pending](const std::optional<std::string>& answer) {
           if (answer) {
             OnReply(*pending, *answer);
           } else {
             OnNoReply(*pending);
           }
         });
  }

  void Send(const endpoint& to, std::string_view path, std::string body,
            peer_queries::reply_hook on_reply) {
    queries.Send({.peer = board.PeerAddressOf(to),
                  .method = "POST",
                  .target = std::string(path),
                  .body = std::move(body),
                  .limit = kReplyTimeout},
                 std::move(on_reply));
  }

  bool IsOfPreviousRelease(const endpoint& node) const {
    const auto at = previous_release_until.find(node);
    return at != previous_release_until.end() && board.loop.Now() < at->second;
  }

  void OnPreviousRelease(const endpoint& node) {
    const instant now = board.loop.Now();
    std::erase_if(previous_release_until, [now](const auto& entry) { return now >= entry.second; });
    previous_release_until[node] = now + kPreviousReleasePause;
  }

  void OnReply(sent_query& done, const std::string& answer) {
    board.domains.OnReceived(done.domain, board.loop.Now());
    const auto replies = DecodeMessage<std::vector<limit_reply>>(answer);
    if (!replies || replies->size() != done.reports.size()) {
      OnDamagedReply(done, answer.size());
    } else {
      ApplyReplies(*replies);
    }
  }

  void OnShareReply(sent_query& done, const std::string& answer) {
    board.domains.OnReceived(done.domain, board.loop.Now());
    const auto reply = DecodeMessage<share_reply>(answer);
    if (!reply || reply->figures.size() != done.reports.size()) {
      OnDamagedReply(done, answer.size());
    } else {
      ApplyReply(done.reports, *reply);
    }
  }

  void OnDamagedReply(sent_query& done, std::size_t bytes) {
    board.log.LogChange("limits.damaged",
                        {{"peer", done.coordinator.ToString()}, {"bytes", bytes}});
    SendToCoordinators(std::move(done.reports), &done);
  }

  void OnNoReply(sent_query& done) {
    ExcludeSilent(done.coordinator, done.domain, done.sent);
    SendToCoordinators(std::move(done.reports), &done);
  }

  void ExcludeSilent(const endpoint& node, const std::string& domain, instant sent) {
    excluded_until[node] = board.loop.Now() + kNoReplyPause;
    board.domains.OnUnanswered(domain, sent, board.loop.Now());
  }

  //============================================================================
  // Sends what this node knows of the customers that it coordinates to the coordinators of the
  // pools' levels.
  void SendLoads() { SendToLevelCoordinators(demand.Loads(board.loop.Now()), true); }

  void SendToLevelCoordinators(std::vector<pool_loads> loads, bool is_first_query) {
    std::map<endpoint, share_query> by_coordinator;
    for (pool_loads& of_pool : loads) {
      if (const auto chosen = ChooseLevelCoordinator(of_pool.pool)) {
        by_coordinator[*chosen].loads.push_back(std::move(of_pool));
      }
    }
    for (auto& [chosen, query] : by_coordinator) {
      query.sender = board.settings.backend;
      if (chosen == board.settings.backend) {
        ApplyLevels(Answer(query, true));
      } else {
        SendToLevelCoordinator(chosen, is_first_query, std::move(query));
      }
    }
  }

  void SendToLevelCoordinator(const endpoint& chosen, bool is_first_query, share_query query) {
    const std::string body = EncodeMessage(query);
    Send(chosen, kSharesPath, body,
         [this, to = chosen, is_first_query, loads = std::move(query.loads),
          domain = board.coordinators.DomainOf(chosen),
          sent = board.loop.Now()](const std::optional<std::string>& answer) {
           if (!answer) {
             ExcludeSilent(to, domain, sent);
           } else if (answer->empty()) {
             OnPreviousRelease(to);
           } else {
             board.domains.OnReceived(domain, board.loop.Now());
             if (const auto reply = DecodeMessage<share_reply>(*answer)) {
               ApplyLevels(*reply);
             }
             return;
           }
           if (is_first_query) {
             SendToLevelCoordinators(loads, false);
           }
         });
  }

  std::optional<endpoint> ChooseLevelCoordinator(std::uint32_t pool) const {
    const instant now = board.loop.Now();
    for (const endpoint& found : board.coordinators.CoordinatorsOf(
             CoordinatorKeyOf(pool),
             [this](std::string_view domain) { return IsCutOff(domain); })) {
      const auto exclusion = excluded_until.find(found);
      const bool is_silent = exclusion != excluded_until.end() && now < exclusion->second;
      if (!is_silent && !IsOfPreviousRelease(found)) {
        return found;
      }
    }
    return std::nullopt;
  }

  void ApplyLevels(const share_reply& reply) {
    for (const pool_level& level : reply.levels) {
      demand.OnLevel(level, board.loop.Now());
    }
  }

  void LogShareChanges() {
    for (const customer_shares::change& change : board.shares.TakeChanges(board.loop.Now())) {
      board.log.LogChange(
          change.in_force ? "shares.in_force" : "shares.ended",
          {{"limited_by", change.service}, {"rank", change.rank}, {"customers", change.customers}});
    }
  }

  //============================================================================
  void UseEqualShares(const std::vector<customer_report>& reports) {
    for (const customer_report& report : reports) {
      if (!report.counts_for_limit) {
        continue;
      }
      const std::string& customer = report.limit.customer;
      if (!board.limits.IsWithoutCoordinator(customer)) {
        board.log.LogChange("limits.alone",
                            {{"customer", customer}, {"nodes", board.coordinators.size()}});
      }
      board.limits.OnNoReply(report.limit, board.loop.Now());
      ResumeWaiting(customer);
    }
  }

  // Without a rate, a customer is admitted like those that send less. All requests of a customer
  // may arrive at its coordinator, which then gets no reports of other nodes.
  void CountOwnDemand(const std::vector<customer_report>& reports) {
    share_query own;
    for (const customer_report& report : reports) {
      const auto coordinators = board.coordinators.CoordinatorsOf(
          report.limit.customer, [this](std::string_view domain) { return IsCutOff(domain); });
      if (std::ranges::find(coordinators, board.settings.backend) != coordinators.end()) {
        customer_report& demand = own.reports.emplace_back();
        demand.limit.customer = report.limit.customer;
        demand.pools = report.pools;
      }
    }
    ApplyReply(own.reports, Answer(own, true));
  }

  // @param reply  has as many figures as there are reports
  void ApplyReply(const std::vector<customer_report>& reports, const share_reply& reply) {
    const instant now = board.loop.Now();
    for (const pool_level& level : reply.levels) {
      board.shares.OnLevel(level, now);
    }
    std::vector<limit_reply> of_limits;
    for (std::size_t at = 0; at < reports.size(); ++at) {
      const std::string& customer = reports[at].limit.customer;
      for (const pool_rate& rate : reply.figures[at].rates) {
        board.shares.OnRate(customer, rate, now);
      }
      if (reports[at].counts_for_limit) {
        of_limits.push_back({.customer = customer, .share = reply.figures[at].share});
      }
    }
    ApplyReplies(of_limits);
  }

  void ApplyReplies(const std::vector<limit_reply>& replies) {
    for (const limit_reply& reply : replies) {
      const bool was_open = board.limits.ShareOf(reply.customer) >= 1.0;
      board.limits.OnReply(reply, board.loop.Now());
      if (was_open != (reply.share >= 1.0)) {
        board.log.LogChange(was_open ? "limits.over" : "limits.within",
                            {{"customer", reply.customer}, {"share", RoundForLog(reply.share)}});
      }
      ResumeWaiting(reply.customer);
    }
  }

  void ResumeWaiting(const std::string& customer) {
    auto at = waiting_requests.extract(customer);
    if (at.empty()) {
      return;
    }
    for (const auto& on_replied : at.mapped()) {
      on_replied();
    }
  }

  //============================================================================
  const customer* FindCustomer(std::string_view name) const {
    const customer_registry* known = board.table() ? board.table()->customers().get() : nullptr;
    return known == nullptr ? nullptr : known->FindByName(name);
  }

  double ReachableShare() const {
    return board.coordinators.ReachableShare(
        [this](std::string_view domain) { return IsCutOff(domain); }, board.loop.Now());
  }

  // Counts a report for the customer's limit, and returns the share that the node may admit.
  double UpdateAccount(const limit_report& report, double reachable_share, bool is_own) {
    const customer* const known = FindCustomer(report.customer);
    // An edit reaches the nodes at different times. For a customer that this node does not
    // know yet, the reporting node's share stays as it is.
    return known != nullptr && known->is_limited()
               ? coordinator.OnReport(report, *known, reachable_share, is_own, board.loop.Now())
                     .share
               : report.share;
  }

  share_reply Answer(const share_query& query, bool is_own) {
    const instant now = board.loop.Now();
    const double reachable_share = ReachableShare();
    coordinator.SetBounds(board.settings.customers.limits);
    share_reply reply;
    for (const customer_report& report : query.reports) {
      customer_figures figures;
      if (report.counts_for_limit) {
        figures.share = UpdateAccount(report.limit, reachable_share, is_own);
      }
      if (const customer* known = FindCustomer(report.limit.customer)) {
        figures.rates =
            demand.OnReport(known->name, board.weights.WeightOf(*known), report.pools, is_own, now);
      }
      reply.figures.push_back(std::move(figures));
    }
    reply.levels = query.loads.empty() ? demand.LevelsFor(reply.figures, now)
                                       : levels.OnLoads(query.sender, query.loads, now);
    return reply;
  }

  void AnswerShareQuery(server_exchange& peer, std::string_view body) {
    // Without the setting this node counts for nobody, like a node of the previous release.
    const auto query = board.settings.customer_shares ? DecodeMessage<share_query>(body)
                                                      : std::optional<share_query>();
    if (!query) {
      peer.Answer(MakeAnswer(http_status::kBadRequest), "");
      return;
    }
    peer.Answer(MakeAnswer(http_status::kOk), EncodeMessage(Answer(*query, false)));
  }

  void Answer(server_exchange& peer, std::string_view body) {
    const auto reports = DecodeMessage<std::vector<limit_report>>(body);
    if (!reports) {
      peer.Answer(MakeAnswer(http_status::kBadRequest), "");
      return;
    }
    const double reachable_share = ReachableShare();
    coordinator.SetBounds(board.settings.customers.limits);
    std::vector<limit_reply> replies;
    for (const limit_report& report : *reports) {
      replies.push_back(
          {.customer = report.customer, .share = UpdateAccount(report, reachable_share, false)});
    }
    peer.Answer(MakeAnswer(http_status::kOk), EncodeMessage(replies));
  }
};

limit_exchange::limit_exchange(relay_board& board) : state_(std::make_unique<state>(board)) {}

limit_exchange::~limit_exchange() = default;

void limit_exchange::QueryCoordinator(const std::string& customer,
                                      std::function<void()> on_replied) {
  state_->QueryCoordinator(customer, std::move(on_replied));
}

void limit_exchange::OnRequest(std::shared_ptr<server_exchange> peer) {
  ReadWholeBody(peer, kMaxMessageBytes, [this](server_exchange& from, std::string_view body) {
    state_->Answer(from, body);
  });
}

void limit_exchange::OnShareQuery(std::shared_ptr<server_exchange> peer) {
  ReadWholeBody(peer, kMaxMessageBytes, [this](server_exchange& from, std::string_view body) {
    state_->AnswerShareQuery(from, body);
  });
}

}  // namespace cuminferry
