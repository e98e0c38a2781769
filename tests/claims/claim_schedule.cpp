#include "claims/claim_schedule.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "claims/faulty_book.h"

namespace cuminferry::testing {
namespace {

constexpr int kHomes = 2;
constexpr int kNodes = 2;
constexpr std::chrono::seconds kWindow{60};
constexpr std::chrono::seconds kCallDeadline{5};
constexpr std::chrono::minutes kAllWindows{30};

struct message {
  enum class kind : std::uint8_t { kCall, kAsk, kReply };
  kind what = kind::kCall;
  int call = 0;
  int request = 0;
  claim_ticket ticket;
  bool revoke = false;
  claim_state state = claim_state::kNeverSeen;
  result_code code = result_code::kOk;
  std::string answer;
  /** kReply: what the home was when it replied. */
  claim_target home;
};

struct event {
  enum class kind : std::uint8_t {
    kStart,    ///< a caller's request; call = index
    kAtHome,   ///< a message arrives at homes[place]
    kAtNode,   ///< a reply arrives at its call's node
    kDecide,   ///< homes[place] admits or refuses
    kFinish,   ///< the backend server of homes[place] is done
    kTick,     ///< a sender's timer
    kLost,     ///< a sender learns that its connection is lost
    kGone,     ///< a sender learns that nothing listens
    kNotSent,  ///< a sender learns that nothing left
    kCallerGone,
    kCrash,
    kRestart,
    kNodeCrash,
  };
  instant when;
  std::uint64_t order = 0;
  kind what = kind::kStart;
  int place = 0;
  incarnation_id incarnation = 0;
  message carried;

  bool operator<(const event& other) const {
    return std::pair(other.when, other.order) < std::pair(when, order);
  }
};

struct home {
  incarnation_id incarnation = 0;
  std::optional<faulty_book> book;
  instant paused_until;
};

struct node {
  std::array<claim_target, kHomes> known;
  bool alive = true;
  instant paused_until;
};

struct call {
  int request = 0;
  int node = 0;
  claim_sender sender;
  std::vector<claim_ticket> tickets;
  std::optional<claim_action> end;
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
        DeliverEverythingAgain();
      }
    }
    Check();
    return violation_;
  }

 private:
  //============================================================================
  void SetUp() {
    book_options_.windows_kept = 1 + static_cast<std::uint32_t>(random_.Below(3));
    book_options_.windows_remembered = static_cast<std::uint32_t>(random_.Below(3));
    book_options_.window_length = kWindow;
    book_options_.ticket_bound = Chance(30) ? 2 : 100;
    book_options_.answer_bytes_bound = Chance(20) ? 200 : 10'000;
    troubled_ = !Chance(10);
    lost_percent_ = random_.Below(15);
    doubled_percent_ = random_.Below(20);
    slow_percent_ = random_.Below(30);
    for (int place = 0; place < kHomes; ++place) {
      Restart(place);
    }
    const int requests = 2 + static_cast<int>(random_.Below(4));
    for (int request = 0; request < requests; ++request) {
      At(Random(std::chrono::seconds(Chance(50) ? 2 : 150)), event::kind::kStart,
         {.call = -1, .request = request});
    }
    if (troubled_) {
      PlanTrouble();
    }
  }

  void PlanTrouble() {
    for (int place = 0; place < kHomes; ++place) {
      if (Chance(40)) {
        At(Random(std::chrono::seconds(200)), event::kind::kCrash, {}, place);
      }
      if (Chance(30)) {
        homes_[place].paused_until = now_ + Random(std::chrono::seconds(300));
        ++counts_.pauses;
      }
      if (Chance(20)) {
        nodes_[place].paused_until = now_ + Random(std::chrono::seconds(300));
        ++counts_.pauses;
      }
      if (Chance(5)) {
        At(Random(std::chrono::seconds(200)), event::kind::kNodeCrash, {}, place);
      }
    }
  }

  //============================================================================
  bool Chance(std::uint64_t percent) { return random_.Below(100) < percent; }

  duration Random(duration longest) {
    return duration(
        static_cast<std::int64_t>(random_.Below(static_cast<std::uint64_t>(longest.count()))));
  }

  /** Mostly a quick network; at times one that holds a message for windows. */
  duration Delay() {
    if (!troubled_ || !Chance(slow_percent_)) {
      return Random(std::chrono::milliseconds(5));
    }
    return Random(Chance(60) ? duration(std::chrono::seconds(3))
                             : duration(std::chrono::minutes(8)));
  }

  void At(duration in, event::kind what, message carried, int place = 0,
          incarnation_id incarnation = 0) {
    events_.push({now_ + in, ++order_, what, place, incarnation, std::move(carried)});
  }

  void Transmit(event::kind what, const message& sent, int place) {
    ++counts_.messages;
    if (troubled_ && Chance(lost_percent_)) {
      ++counts_.lost;
      return;
    }
    At(Delay(), what, sent, place);
    if (troubled_ && Chance(doubled_percent_)) {
      ++counts_.doubled;
      At(Delay(), what, sent, place);
    }
  }

  //============================================================================
  void Handle(event& next) {
    using enum event::kind;
    switch (next.what) {
      case kStart:
        return StartCall(next.carried);
      case kAtHome:
      case kDecide:
      case kFinish:
        return AtHome(next);
      case kCrash:
        return Crash(next.place);
      case kRestart:
        return Restart(next.place);
      case kNodeCrash:
        nodes_[next.place].alive = false;
        return;
      default:
        return AtNode(next);
    }
  }

  void StartCall(const message& about) {
    const int at = static_cast<int>(random_.Below(kNodes));
    if (!nodes_[at].alive) {
      return;
    }
    ++counts_.calls;
    claim_sender::options options;
    options.deadline = now_ + kCallDeadline;
    options.sender = 1000 + static_cast<incarnation_id>(at);
    options.body_kept = !Chance(15);
    calls_.push_back({about.request, at, claim_sender(options), {}, {}, about.call >= 0, false});
    const int index = static_cast<int>(calls_.size()) - 1;
    if (about.call >= 0) {
      ++counts_.retries;
      calls_[index].tickets.push_back(about.ticket);
      Do(index, calls_[index].sender.Resume(about.ticket, now_));
    } else {
      Bind(index);
    }
    if (Chance(5)) {
      At(Random(kCallDeadline), event::kind::kCallerGone, {.call = index});
    }
  }

  void Bind(int index) {
    call& made = calls_[index];
    const claim_target& target = nodes_[made.node].known[random_.Below(kHomes)];
    claim_actions actions = made.sender.Bind(target, now_, random_);
    if (!made.sender.ended()) {
      made.tickets.push_back(made.sender.ticket());
    }
    Do(index, std::move(actions));
  }

  //============================================================================
  static int PlaceOf(const claim_ticket& ticket) { return static_cast<int>(ticket.home.address); }

  void Do(int index, claim_actions actions) {
    for (const claim_action& action : actions) {
      Do(index, action);
    }
    if (!calls_[index].end) {
      At(calls_[index].sender.NextTick() - now_, event::kind::kTick, {.call = index});
    }
  }

  void Do(int index, const claim_action& action) {
    using enum claim_action::kind;
    switch (action.what) {
      case kSend:
        return Send(index, action.ticket);
      case kAsk:
        if (fault_ == claim_fault::kBlindResend) {
          return SendBlindly(index);
        }
        return Question(index, action);
      case kRebind:
        ++counts_.rebinds;
        return Bind(index);
      case kEnd:
        return EndCall(index, action);
    }
  }

  void Send(int index, const claim_ticket& ticket) {
    if (troubled_ && Chance(3)) {
      return At(Delay(), event::kind::kNotSent, {.call = index, .ticket = ticket});
    }
    const message sent{.call = index, .request = calls_[index].request, .ticket = ticket};
    copies_.push_back(sent);
    Transmit(event::kind::kAtHome, sent, PlaceOf(ticket));
    if (troubled_ && Chance(10)) {
      At(Delay(), event::kind::kLost, {.call = index, .ticket = ticket});
    }
    // A caller that is impatient, or an attacker that has seen the ticket.
    if (Chance(8)) {
      RetryLater(index, Random(kCallDeadline));
    }
  }

  void SendBlindly(int index) {
    claim_ticket fresh = calls_[index].sender.ticket();
    fresh.home.address = 1 - fresh.home.address;
    const claim_target& target = nodes_[calls_[index].node].known[fresh.home.address];
    fresh = MintTicket(target, 1, random_);
    calls_[index].tickets.push_back(fresh);
    Transmit(event::kind::kAtHome,
             {.call = index, .request = calls_[index].request, .ticket = fresh}, PlaceOf(fresh));
  }

  void Question(int index, const claim_action& action) {
    Transmit(event::kind::kAtHome,
             {.what = message::kind::kAsk,
              .call = index,
              .ticket = action.ticket,
              .revoke = action.revoke},
             PlaceOf(action.ticket));
  }

  void EndCall(int index, claim_action action) {
    if (fault_ == claim_fault::kSilenceIsNotRun && action.code == result_code::kDeadlineExceeded) {
      action.end = claim_end::kNotRun;
    }
    call& ended = calls_[index];
    ended.end = action;
    counts_.completed += action.end == claim_end::kCompleted;
    counts_.not_run += action.end == claim_end::kNotRun;
    counts_.unknown += action.end == claim_end::kUnknown;
    if (fault_ == claim_fault::kSharedTicketRebinds && ended.resumed &&
        action.end == claim_end::kNotRun) {
      return At(duration(0), event::kind::kStart, {.call = -1, .request = ended.request});
    }
    if (action.end == claim_end::kUnknown && Chance(60)) {
      RetryLater(index, Random(std::chrono::seconds(Chance(70) ? 5 : 400)));
    }
  }

  /** The caller tries again with the ticket that it knows, through any node. */
  void RetryLater(int index, duration in) {
    if (calls_[index].retried || calls_.size() > 30) {
      return;
    }
    calls_[index].retried = true;
    At(in, event::kind::kStart,
       {.call = index, .request = calls_[index].request, .ticket = calls_[index].sender.ticket()});
  }

  //============================================================================
  void AtNode(event& next) {
    const int index = next.carried.call;
    call& about = calls_[index];
    node& place = nodes_[about.node];
    if (!place.alive) {
      return;
    }
    if (now_ < place.paused_until) {
      return Postpone(next, place.paused_until);
    }
    const message& heard = next.carried;
    if (next.what == event::kind::kAtNode) {
      place.known[PlaceOf(heard.ticket)] = heard.home;
    }
    Do(index, React(next.what, about, heard));
  }

  claim_actions React(event::kind what, call& about, const message& heard) {
    switch (what) {
      case event::kind::kLost:
        return about.sender.ConnectionLost(heard.ticket, now_);
      case event::kind::kGone:
        return about.sender.HomeGone(heard.ticket, now_);
      case event::kind::kNotSent:
        return about.sender.NotSent(heard.ticket, now_);
      case event::kind::kCallerGone:
        return about.sender.CallerGone(now_);
      case event::kind::kAtNode:
        return Hear(about, heard);
      default:
        return about.sender.Tick(now_);
    }
  }

  claim_actions Hear(call& about, const message& heard) {
    claim_ticket ticket = heard.ticket;
    claim_state state = heard.state;
    if (fault_ == claim_fault::kReplyToOldTicketCounts) {
      ticket = about.sender.ticket();
    }
    if (fault_ == claim_fault::kOtherIncarnationIsNotRun &&
        heard.code == result_code::kTicketOtherIncarnation) {
      state = claim_state::kTombstone;
    }
    const bool had_ended = about.sender.ended();
    claim_actions actions = about.sender.Heard(ticket, state, heard.code, now_);
    if (!had_ended && about.sender.ended() && actions.back().end == claim_end::kCompleted) {
      CheckAnswer(about, ticket, heard.answer);
    }
    return actions;
  }

  void CheckAnswer(const call& about, const claim_ticket& ticket, const std::string& answer) {
    const auto [known, fresh] = answers_.emplace(ticket, answer);
    if (answer != AnswerFor(about.request)) {
      violation_ = "a caller got an answer that is not its own: " + answer;
    } else if (!fresh && known->second != answer) {
      violation_ = "a ticket's answers differ";
    }
  }

  void Postpone(event& next, instant until) {
    next.when = until;
    next.order = ++order_;
    events_.push(std::move(next));
  }

  //============================================================================
  void Crash(int place) {
    homes_[place].book.reset();
    At(Random(std::chrono::seconds(10)), event::kind::kRestart, {}, place);
  }

  void Restart(int place) {
    home& started = homes_[place];
    const bool first = started.incarnation == 0;
    counts_.restarts += !first;
    if (first || fault_ != claim_fault::kIncarnationKeptOverRestart) {
      started.incarnation = random_.Next() | 1;
    }
    book_options_.incarnation = started.incarnation;
    started.book.emplace(book_options_, fault_, now_);
    started.paused_until = Chance(20) ? now_ + Random(std::chrono::seconds(200)) : now_;
    if (first) {
      for (node& each : nodes_) {
        each.known[place] = {{static_cast<std::uint32_t>(place), 0}, started.incarnation, 1};
      }
    }
  }

  void AtHome(event& next) {
    home& place = homes_[next.place];
    if (!place.book) {
      if (next.what == event::kind::kAtHome && Chance(50)) {
        At(Delay(), event::kind::kGone, {.call = next.carried.call, .ticket = next.carried.ticket});
      }
      return;
    }
    if (next.incarnation != 0 && next.incarnation != place.incarnation) {
      return;
    }
    if (now_ < place.paused_until) {
      return Postpone(next, place.paused_until);
    }
    switch (next.what) {
      case event::kind::kDecide:
        return Decide(place, next.place, next.carried);
      case event::kind::kFinish:
        return Finish(place, next.carried);
      default:
        return Arrive(place, next.place, next.carried);
    }
  }

  void Arrive(home& place, int number, const message& arrived) {
    const claim_id& id = arrived.ticket.id;
    if (arrived.what == message::kind::kAsk) {
      return Reply(arrived,
                   arrived.revoke ? place.book->Revoke(id, now_) : place.book->Ask(id, now_));
    }
    if (Chance(4)) {
      return Reply(arrived, place.book->Refuse(id, result_code::kNoTableYet, now_));
    }
    const claim_report report = place.book->Begin(id, now_);
    if (report.state != claim_state::kNeverSeen) {
      return Reply(arrived, report);
    }
    At(Chance(85) ? Delay() : Random(std::chrono::minutes(3)), event::kind::kDecide, arrived,
       number, place.incarnation);
  }

  void Decide(home& place, int number, const message& waiting) {
    const claim_id& id = waiting.ticket.id;
    if (Chance(20)) {
      const bool here_only = Chance(60);
      place.book->EndUnrun(
          id, here_only ? result_code::kRefusedInstanceOnly : result_code::kRefusedOverload, now_);
      return Reply(waiting, place.book->Ask(id, now_));
    }
    if (!place.book->HandOver(id, now_)) {
      return Reply(waiting, place.book->Ask(id, now_));
    }
    if (Chance(5)) {
      place.book->EndUnrun(id, result_code::kRefusedInstanceOnly, now_);
      return Reply(waiting, place.book->Ask(id, now_));
    }
    ++counts_.runs;
    const int runs_of_request = ++runs_of_request_[waiting.request];
    if (++runs_[waiting.ticket] > 1) {
      violation_ = "a ticket ran twice";
    } else if (runs_of_request > 1) {
      violation_ = "a request ran twice under different tickets";
    }
    At(Chance(90) ? Delay() : Random(std::chrono::minutes(3)), event::kind::kFinish, waiting,
       number, place.incarnation);
  }

  void Finish(home& place, const message& running) {
    if (Chance(12)) {
      place.book->BreakOff(running.ticket.id, now_);
    } else {
      place.book->Complete(running.ticket.id, AnswerFor(running.request), now_);
    }
    Reply(running, place.book->Ask(running.ticket.id, now_));
  }

  void Reply(const message& to, const claim_report& report) {
    message reply = to;
    reply.what = message::kind::kReply;
    reply.state = report.state;
    reply.code = report.code;
    reply.answer = report.answer;
    home& place = homes_[PlaceOf(to.ticket)];
    reply.home = {to.ticket.home, place.incarnation, place.book->Window(now_)};
    Transmit(event::kind::kAtNode, reply, 0);
  }

  //============================================================================
  /** For ever after: whatever copies the network still held come now, and once
      more when all windows of today have passed. */
  void DeliverEverythingAgain() {
    if (rounds_ == 0) {
      for (int place = 0; place < kHomes; ++place) {
        if (!homes_[place].book) {
          Restart(place);
        }
      }
    }
    if (rounds_ >= 3) {
      return;
    }
    now_ += rounds_ == 2 ? duration(kAllWindows) : duration(kWindow);
    ++rounds_;
    troubled_ = false;
    for (const message& each : copies_) {
      At(duration(1), event::kind::kAtHome, each, PlaceOf(each.ticket));
    }
  }

  void Check() {
    for (const call& each : calls_) {
      if (!each.end) {
        if (nodes_[each.node].alive && violation_.empty()) {
          violation_ = "a call never ended";
        }
        continue;
      }
      if (each.end->end != claim_end::kNotRun) {
        continue;
      }
      for (const claim_ticket& ticket : each.tickets) {
        if (runs_.contains(ticket)) {
          violation_ = "not_run was said of a ticket that ran";
        }
      }
    }
  }

  random_source random_;
  claim_fault fault_;
  schedule_counts& counts_;
  claim_book::options book_options_;
  bool troubled_ = true;
  std::uint64_t lost_percent_ = 0;
  std::uint64_t doubled_percent_ = 0;
  std::uint64_t slow_percent_ = 0;
  instant now_ = FromMicros(1'000'000);
  std::uint64_t order_ = 0;
  int rounds_ = 0;
  std::priority_queue<event> events_;
  std::array<home, kHomes> homes_;
  std::array<node, kNodes> nodes_;
  std::vector<call> calls_;
  std::vector<message> copies_;
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
