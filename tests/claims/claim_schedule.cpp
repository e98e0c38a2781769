#include "claims/claim_schedule.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "claims/faulty_registry.h"

namespace cuminferry::testing {
namespace {

constexpr int kHomes = 2;
constexpr int kNodes = 2;
constexpr std::chrono::seconds kWindow{60};
constexpr std::chrono::seconds kCallDeadline{5};
constexpr std::chrono::minutes kPastAllWindows{30};

struct message {
  enum class kind : std::uint8_t { kCall, kQuery, kReply };
  kind type = kind::kCall;
  int call = 0;
  int request = 0;
  claim_ticket ticket;
  bool revoke = false;
  claim_state state = claim_state::kNeverSeen;
  result_code code = result_code::kOk;
  std::string answer;
  /** Only for replies: identity and window of the home instance when it replied. */
  claim_target home;
};

struct event {
  enum class kind : std::uint8_t {
    kStart,           ///< a caller sends a request; call = index of the retried call, or -1
    kArriveAtHome,    ///< a message arrives at homes[process_index]
    kArriveAtNode,    ///< a reply arrives at the sending node
    kDecide,          ///< homes[process_index] admits or refuses the call
    kBackendDone,     ///< the backend server of homes[process_index] finishes
    kTick,            ///< a sender's timer expires
    kConnectionLost,  ///< a sender detects the loss of its connection
    kHomeGone,        ///< a sender detects that no process listens at the home's address
    kNotSent,         ///< a sender detects that no byte was sent
    kCallerGone,
    kCrash,
    kRestart,
    kNodeCrash,
  };
  instant when;
  std::uint64_t order = 0;
  kind type = kind::kStart;
  int process_index = 0;
  incarnation_id incarnation = 0;
  message payload;

  bool operator<(const event& other) const {
    return std::pair(other.when, other.order) < std::pair(when, order);
  }
};

struct home {
  incarnation_id incarnation = 0;
  std::optional<faulty_registry> registry;
  instant paused_until;
};

struct node {
  std::array<claim_target, kHomes> known_targets;
  bool alive = true;
  instant paused_until;
};

struct call {
  int request = 0;
  int node = 0;
  claim_sender sender;
  std::vector<claim_ticket> tickets;
  std::optional<claim_action> final_action;
  bool resumed = false;
  bool retried = false;
};

std::string AnswerFor(int request) { return "permit of request " + std::to_string(request); }

class schedule {
 public:
  schedule(std::uint64_t seed, claim_fault fault, schedule_counts& counts)
      : random_(seed), fault_(fault), counts_(counts) {}

  std::string Play() {
    SetUp();
    while (!events_.empty() && violation_.empty()) {
      event next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.when);
      Handle(next);
      if (events_.empty()) {
        RedeliverAllCalls();
      }
    }
    Check();
    return violation_;
  }

 private:
  //============================================================================
  void SetUp() {
    registry_options_.windows_accepted = 1 + static_cast<std::uint32_t>(random_.Below(3));
    registry_options_.windows_retained = static_cast<std::uint32_t>(random_.Below(3));
    registry_options_.window_length = kWindow;
    registry_options_.max_tickets = Chance(30) ? 2 : 100;
    registry_options_.max_answer_bytes = Chance(20) ? 200 : 10'000;
    faults_enabled_ = !Chance(10);
    lost_percent_ = random_.Below(15);
    duplicate_percent_ = random_.Below(20);
    slow_percent_ = random_.Below(30);
    for (int process_index = 0; process_index < kHomes; ++process_index) {
      Restart(process_index);
    }
    const int requests = 2 + static_cast<int>(random_.Below(4));
    for (int request = 0; request < requests; ++request) {
      ScheduleEvent(RandomDuration(std::chrono::seconds(Chance(50) ? 2 : 150)), event::kind::kStart,
                    {.call = -1, .request = request});
    }
    if (faults_enabled_) {
      ScheduleFaults();
    }
  }

  void ScheduleFaults() {
    for (int process_index = 0; process_index < kHomes; ++process_index) {
      if (Chance(40)) {
        ScheduleEvent(RandomDuration(std::chrono::seconds(200)), event::kind::kCrash, {},
                      process_index);
      }
      if (Chance(30)) {
        homes_[process_index].paused_until = now_ + RandomDuration(std::chrono::seconds(300));
        ++counts_.pauses;
      }
      if (Chance(20)) {
        nodes_[process_index].paused_until = now_ + RandomDuration(std::chrono::seconds(300));
        ++counts_.pauses;
      }
      if (Chance(5)) {
        ScheduleEvent(RandomDuration(std::chrono::seconds(200)), event::kind::kNodeCrash, {},
                      process_index);
      }
    }
  }

  //============================================================================
  bool Chance(std::uint64_t percent) { return random_.Below(100) < percent; }

  duration RandomDuration(duration limit) {
    return duration(
        static_cast<std::int64_t>(random_.Below(static_cast<std::uint64_t>(limit.count()))));
  }

  /** Usually a short delay, sometimes one that exceeds several windows. */
  duration NetworkDelay() {
    if (!faults_enabled_ || !Chance(slow_percent_)) {
      return RandomDuration(std::chrono::milliseconds(5));
    }
    return RandomDuration(Chance(60) ? duration(std::chrono::seconds(3))
                                     : duration(std::chrono::minutes(8)));
  }

  void ScheduleEvent(duration delay, event::kind type, message payload, int process_index = 0,
                     incarnation_id incarnation = 0) {
    events_.push({now_ + delay, ++order_, type, process_index, incarnation, std::move(payload)});
  }

  void Transmit(event::kind type, const message& sent, int process_index) {
    ++counts_.messages;
    if (faults_enabled_ && Chance(lost_percent_)) {
      ++counts_.lost;
      return;
    }
    ScheduleEvent(NetworkDelay(), type, sent, process_index);
    if (faults_enabled_ && Chance(duplicate_percent_)) {
      ++counts_.doubled;
      ScheduleEvent(NetworkDelay(), type, sent, process_index);
    }
  }

  //============================================================================
  void Handle(event& next) {
    using enum event::kind;
    switch (next.type) {
      case kStart:
        return StartCall(next.payload);
      case kArriveAtHome:
      case kDecide:
      case kBackendDone:
        return AtHome(next);
      case kCrash:
        return Crash(next.process_index);
      case kRestart:
        return Restart(next.process_index);
      case kNodeCrash:
        nodes_[next.process_index].alive = false;
        return;
      default:
        return AtNode(next);
    }
  }

  void StartCall(const message& start) {
    const int at = static_cast<int>(random_.Below(kNodes));
    if (!nodes_[at].alive) {
      return;
    }
    ++counts_.calls;
    claim_sender::options options;
    options.deadline = now_ + kCallDeadline;
    options.sender = 1000 + static_cast<incarnation_id>(at);
    options.body_available = !Chance(15);
    calls_.push_back({start.request, at, claim_sender(options), {}, {}, start.call >= 0, false});
    const int index = static_cast<int>(calls_.size()) - 1;
    if (start.call >= 0) {
      ++counts_.retries;
      calls_[index].tickets.push_back(start.ticket);
      Execute(index, calls_[index].sender.Resume(start.ticket, now_));
    } else {
      Bind(index);
    }
    if (Chance(5)) {
      ScheduleEvent(RandomDuration(kCallDeadline), event::kind::kCallerGone, {.call = index});
    }
  }

  void Bind(int index) {
    call& bound_call = calls_[index];
    const claim_target& target = nodes_[bound_call.node].known_targets[random_.Below(kHomes)];
    claim_actions actions = bound_call.sender.Bind(target, now_, random_);
    if (!bound_call.sender.ended()) {
      bound_call.tickets.push_back(bound_call.sender.ticket());
    }
    Execute(index, std::move(actions));
  }

  //============================================================================
  static int HomeIndexOf(const claim_ticket& ticket) {
    return static_cast<int>(ticket.home.address);
  }

  void Execute(int index, claim_actions actions) {
    for (const claim_action& action : actions) {
      Execute(index, action);
    }
    if (!calls_[index].final_action) {
      ScheduleEvent(calls_[index].sender.NextTick() - now_, event::kind::kTick, {.call = index});
    }
  }

  void Execute(int index, const claim_action& action) {
    using enum claim_action::kind;
    switch (action.type) {
      case kSend:
        return Send(index, action.ticket);
      case kQuery:
        if (fault_ == claim_fault::kBlindResend) {
          return ResendToOtherHome(index);
        }
        return SendQuery(index, action);
      case kRebind:
        ++counts_.rebinds;
        return Bind(index);
      case kReportOutcome:
        return FinishCall(index, action);
    }
  }

  void Send(int index, const claim_ticket& ticket) {
    if (faults_enabled_ && Chance(3)) {
      return ScheduleEvent(NetworkDelay(), event::kind::kNotSent,
                           {.call = index, .ticket = ticket});
    }
    const message sent{.call = index, .request = calls_[index].request, .ticket = ticket};
    sent_calls_.push_back(sent);
    Transmit(event::kind::kArriveAtHome, sent, HomeIndexOf(ticket));
    if (faults_enabled_ && Chance(10)) {
      ScheduleEvent(NetworkDelay(), event::kind::kConnectionLost,
                    {.call = index, .ticket = ticket});
    }
    // An impatient caller retries, or an attacker that has seen the ticket sends it.
    if (Chance(8)) {
      RetryLater(index, RandomDuration(kCallDeadline));
    }
  }

  void ResendToOtherHome(int index) {
    claim_ticket fresh = calls_[index].sender.ticket();
    fresh.home.address = 1 - fresh.home.address;
    const claim_target& target = nodes_[calls_[index].node].known_targets[fresh.home.address];
    fresh = MintTicket(target, 1, random_);
    calls_[index].tickets.push_back(fresh);
    Transmit(event::kind::kArriveAtHome,
             {.call = index, .request = calls_[index].request, .ticket = fresh},
             HomeIndexOf(fresh));
  }

  void SendQuery(int index, const claim_action& action) {
    Transmit(event::kind::kArriveAtHome,
             {.type = message::kind::kQuery,
              .call = index,
              .ticket = action.ticket,
              .revoke = action.revoke},
             HomeIndexOf(action.ticket));
  }

  void FinishCall(int index, claim_action action) {
    if (fault_ == claim_fault::kTimeoutIsNotRun && action.code == result_code::kDeadlineExceeded) {
      action.outcome = claim_outcome::kNotRun;
    }
    call& ended = calls_[index];
    ended.final_action = action;
    counts_.completed += action.outcome == claim_outcome::kCompleted;
    counts_.not_run += action.outcome == claim_outcome::kNotRun;
    counts_.unknown += action.outcome == claim_outcome::kUnknown;
    if (fault_ == claim_fault::kSharedTicketRebinds && ended.resumed &&
        action.outcome == claim_outcome::kNotRun) {
      return ScheduleEvent(duration(0), event::kind::kStart,
                           {.call = -1, .request = ended.request});
    }
    if (action.outcome == claim_outcome::kUnknown && Chance(60)) {
      RetryLater(index, RandomDuration(std::chrono::seconds(Chance(70) ? 5 : 400)));
    }
  }

  /** The caller retries with the ticket of the call, through any node. */
  void RetryLater(int index, duration delay) {
    if (calls_[index].retried || calls_.size() > 30) {
      return;
    }
    calls_[index].retried = true;
    ScheduleEvent(
        delay, event::kind::kStart,
        {.call = index, .request = calls_[index].request, .ticket = calls_[index].sender.ticket()});
  }

  //============================================================================
  void AtNode(event& next) {
    const int index = next.payload.call;
    call& sending_call = calls_[index];
    node& sending_node = nodes_[sending_call.node];
    if (!sending_node.alive) {
      return;
    }
    if (now_ < sending_node.paused_until) {
      return Postpone(next, sending_node.paused_until);
    }
    const message& received = next.payload;
    if (next.type == event::kind::kArriveAtNode) {
      sending_node.known_targets[HomeIndexOf(received.ticket)] = received.home;
    }
    Execute(index, DispatchToSender(next.type, sending_call, received));
  }

  claim_actions DispatchToSender(event::kind type, call& sending_call, const message& received) {
    switch (type) {
      case event::kind::kConnectionLost:
        return sending_call.sender.OnConnectionLost(received.ticket, now_);
      case event::kind::kHomeGone:
        return sending_call.sender.OnHomeGone(received.ticket, now_);
      case event::kind::kNotSent:
        return sending_call.sender.OnNotSent(received.ticket, now_);
      case event::kind::kCallerGone:
        return sending_call.sender.OnCallerGone(now_);
      case event::kind::kArriveAtNode:
        return OnReply(sending_call, received);
      default:
        return sending_call.sender.Tick(now_);
    }
  }

  claim_actions OnReply(call& sending_call, const message& received) {
    claim_ticket ticket = received.ticket;
    claim_state state = received.state;
    if (fault_ == claim_fault::kReplyToOldTicketCounts) {
      ticket = sending_call.sender.ticket();
    }
    if (fault_ == claim_fault::kOtherIncarnationIsNotRun &&
        received.code == result_code::kTicketOtherIncarnation) {
      state = claim_state::kTombstone;
    }
    const bool had_ended = sending_call.sender.ended();
    claim_actions actions = sending_call.sender.OnReply(ticket, state, received.code, now_);
    if (!had_ended && sending_call.sender.ended() &&
        actions.back().outcome == claim_outcome::kCompleted) {
      CheckAnswer(sending_call, ticket, received.answer);
    }
    return actions;
  }

  void CheckAnswer(const call& sending_call, const claim_ticket& ticket,
                   const std::string& answer) {
    const auto [stored, fresh] = answers_.emplace(ticket, answer);
    if (answer != AnswerFor(sending_call.request)) {
      violation_ = "a caller received the answer of another request: " + answer;
    } else if (!fresh && stored->second != answer) {
      violation_ = "the answers to one ticket differ";
    }
  }

  void Postpone(event& next, instant until) {
    next.when = until;
    next.order = ++order_;
    events_.push(std::move(next));
  }

  //============================================================================
  void Crash(int process_index) {
    homes_[process_index].registry.reset();
    ScheduleEvent(RandomDuration(std::chrono::seconds(10)), event::kind::kRestart, {},
                  process_index);
  }

  void Restart(int process_index) {
    home& started = homes_[process_index];
    const bool first = started.incarnation == 0;
    counts_.restarts += !first;
    if (first || fault_ != claim_fault::kIncarnationReusedAfterRestart) {
      started.incarnation = random_.Next() | 1;
    }
    registry_options_.incarnation = started.incarnation;
    started.registry.emplace(registry_options_, fault_, now_);
    started.paused_until = Chance(20) ? now_ + RandomDuration(std::chrono::seconds(200)) : now_;
    if (first) {
      for (node& each : nodes_) {
        each.known_targets[process_index] = {
            {static_cast<std::uint32_t>(process_index), 0}, started.incarnation, 1};
      }
    }
  }

  void AtHome(event& next) {
    home& receiving_home = homes_[next.process_index];
    if (!receiving_home.registry) {
      if (next.type == event::kind::kArriveAtHome && Chance(50)) {
        ScheduleEvent(NetworkDelay(), event::kind::kHomeGone,
                      {.call = next.payload.call, .ticket = next.payload.ticket});
      }
      return;
    }
    if (next.incarnation != 0 && next.incarnation != receiving_home.incarnation) {
      return;
    }
    if (now_ < receiving_home.paused_until) {
      return Postpone(next, receiving_home.paused_until);
    }
    switch (next.type) {
      case event::kind::kDecide:
        return Decide(receiving_home, next.process_index, next.payload);
      case event::kind::kBackendDone:
        return Finish(receiving_home, next.payload);
      default:
        return Arrive(receiving_home, next.process_index, next.payload);
    }
  }

  void Arrive(home& receiving_home, int process_index, const message& arrived) {
    const claim_id& id = arrived.ticket.id;
    if (arrived.type == message::kind::kQuery) {
      return Reply(arrived, arrived.revoke ? receiving_home.registry->Revoke(id, now_)
                                           : receiving_home.registry->Query(id, now_));
    }
    if (Chance(4)) {
      return Reply(arrived, receiving_home.registry->Refuse(id, result_code::kNoTableYet, now_));
    }
    const claim_report report = receiving_home.registry->Begin(id, now_);
    if (report.state != claim_state::kNeverSeen) {
      return Reply(arrived, report);
    }
    ScheduleEvent(Chance(85) ? NetworkDelay() : RandomDuration(std::chrono::minutes(3)),
                  event::kind::kDecide, arrived, process_index, receiving_home.incarnation);
  }

  void Decide(home& receiving_home, int process_index, const message& waiting) {
    const claim_id& id = waiting.ticket.id;
    if (Chance(20)) {
      const bool here_only = Chance(60);
      receiving_home.registry->MarkNotRun(
          id, here_only ? result_code::kRefusedInstanceOnly : result_code::kRefusedOverload, now_);
      return Reply(waiting, receiving_home.registry->Query(id, now_));
    }
    if (!receiving_home.registry->HandOver(id, now_)) {
      return Reply(waiting, receiving_home.registry->Query(id, now_));
    }
    if (Chance(5)) {
      receiving_home.registry->MarkNotRun(id, result_code::kRefusedInstanceOnly, now_);
      return Reply(waiting, receiving_home.registry->Query(id, now_));
    }
    ++counts_.runs;
    const int runs_of_request = ++runs_of_request_[waiting.request];
    if (++runs_[waiting.ticket] > 1) {
      violation_ = "a ticket ran twice";
    } else if (runs_of_request > 1) {
      violation_ = "a request ran twice under different tickets";
    }
    ScheduleEvent(Chance(90) ? NetworkDelay() : RandomDuration(std::chrono::minutes(3)),
                  event::kind::kBackendDone, waiting, process_index, receiving_home.incarnation);
  }

  void Finish(home& receiving_home, const message& running) {
    if (Chance(12)) {
      receiving_home.registry->MarkAborted(running.ticket.id, now_);
    } else {
      receiving_home.registry->Complete(running.ticket.id, AnswerFor(running.request), now_);
    }
    Reply(running, receiving_home.registry->Query(running.ticket.id, now_));
  }

  void Reply(const message& to, const claim_report& report) {
    message reply = to;
    reply.type = message::kind::kReply;
    reply.state = report.state;
    reply.code = report.code;
    reply.answer = report.answer;
    home& receiving_home = homes_[HomeIndexOf(to.ticket)];
    reply.home = {to.ticket.home, receiving_home.incarnation,
                  receiving_home.registry->CurrentWindow(now_)};
    Transmit(event::kind::kArriveAtNode, reply, 0);
  }

  //============================================================================
  /** Delivers all calls that the network may still hold, in several rounds; the last round
      follows after all windows of the schedule have passed. */
  void RedeliverAllCalls() {
    if (redelivery_rounds_ == 0) {
      for (int process_index = 0; process_index < kHomes; ++process_index) {
        if (!homes_[process_index].registry) {
          Restart(process_index);
        }
      }
    }
    if (redelivery_rounds_ >= 3) {
      return;
    }
    now_ += redelivery_rounds_ == 2 ? duration(kPastAllWindows) : duration(kWindow);
    ++redelivery_rounds_;
    faults_enabled_ = false;
    for (const message& each : sent_calls_) {
      ScheduleEvent(duration(1), event::kind::kArriveAtHome, each, HomeIndexOf(each.ticket));
    }
  }

  void Check() {
    for (const call& each : calls_) {
      if (!each.final_action) {
        if (nodes_[each.node].alive && violation_.empty()) {
          violation_ = "a call did not finish";
        }
        continue;
      }
      if (each.final_action->outcome != claim_outcome::kNotRun) {
        continue;
      }
      for (const claim_ticket& ticket : each.tickets) {
        if (runs_.contains(ticket)) {
          violation_ = "not_run was reported for a ticket that ran";
        }
      }
    }
  }

  random_source random_;
  claim_fault fault_;
  schedule_counts& counts_;
  claim_registry::options registry_options_;
  bool faults_enabled_ = true;
  std::uint64_t lost_percent_ = 0;
  std::uint64_t duplicate_percent_ = 0;
  std::uint64_t slow_percent_ = 0;
  instant now_ = FromMicros(1'000'000);
  std::uint64_t order_ = 0;
  int redelivery_rounds_ = 0;
  std::priority_queue<event> events_;
  std::array<home, kHomes> homes_;
  std::array<node, kNodes> nodes_;
  std::vector<call> calls_;
  std::vector<message> sent_calls_;
  std::map<claim_ticket, int> runs_;
  std::map<int, int> runs_of_request_;
  std::map<claim_ticket, std::string> answers_;
  std::string violation_;
};

}  // namespace

void schedule_counts::Add(const schedule_counts& other) {
  schedules += other.schedules;
  calls += other.calls;
  completed += other.completed;
  not_run += other.not_run;
  unknown += other.unknown;
  runs += other.runs;
  messages += other.messages;
  lost += other.lost;
  doubled += other.doubled;
  restarts += other.restarts;
  pauses += other.pauses;
  retries += other.retries;
  rebinds += other.rebinds;
}

std::string schedule_counts::ToString() const {
  std::string text;
  const auto add = [&text](const char* name, std::uint64_t count) {
    text += std::string(name) + " " + std::to_string(count) + ", ";
  };
  add("schedules", schedules);
  add("calls", calls);
  add("completed", completed);
  add("not_run", not_run);
  add("unknown", unknown);
  add("runs", runs);
  add("messages", messages);
  add("lost", lost);
  add("doubled", doubled);
  add("restarts", restarts);
  add("pauses", pauses);
  add("retries", retries);
  add("rebinds", rebinds);
  text.resize(text.size() - 2);
  return text;
}

std::string PlayClaimSchedule(std::uint64_t seed, claim_fault fault, schedule_counts& counts) {
  ++counts.schedules;
  return schedule(seed, fault, counts).Play();
}

}  // namespace cuminferry::testing
