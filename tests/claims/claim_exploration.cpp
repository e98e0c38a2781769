#include "claims/claim_exploration.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "claims/faulty_book.h"

namespace cuminferry::testing {
namespace {

/** One step of time turns a window, so that few steps reach each age of a ticket. */
constexpr std::chrono::seconds kWindow{1};
constexpr duration kTimeStep = kWindow;
constexpr instant kBegin = FromMicros(1'000'000);
constexpr instant kDeadline = kBegin + 3 * kTimeStep;
/** Enough for each window of the case to be accepted, remembered and forgotten. */
constexpr int kMostTimeSteps = 5;
constexpr int kSenders = 2;

struct message {
  bool to_home = true;
  bool ask = false;
  bool revoke = false;
  int sender = 0;
  claim_ticket ticket;
  claim_state state = claim_state::kNeverSeen;
  result_code code = result_code::kOk;
  /** Of the home, when it replied. */
  incarnation_id incarnation = 0;
  std::uint32_t window = 0;
};

/** Collects what tells one state from another, and digests it. */
class state_key {
 public:
  template <typename Number>
  requires std::is_arithmetic_v<Number> || std::is_enum_v<Number>
  void Add(Number number) {
    const auto wide = static_cast<std::uint64_t>(number);
    bytes_.append(reinterpret_cast<const char*>(&wide), sizeof(wide));
  }

  void Add(const claim_ticket& ticket) {
    Add(ticket.id.incarnation);
    Add(ticket.id.window);
    Add(ticket.id.nonce_low);
  }

  void Add(const message& each) {
    Add(each.to_home + 2 * each.ask + 4 * each.revoke + 8 * each.sender);
    Add(each.ticket);
    Add(each.state);
    Add(each.code);
    Add(each.incarnation);
    Add(each.window);
  }

  void Add(const std::string& text) { bytes_ += text; }

  std::uint64_t digest() const { return DigestOf(bytes_); }

 private:
  std::string bytes_;
};

struct sender_side {
  std::optional<claim_sender> machine;
  claim_target known;
  std::vector<claim_ticket> tickets;
  std::optional<claim_end> end;
  bool lost_once = false;
};

/** A call that the home has accepted. */
struct accepted_call {
  message call;
  bool running = false;
};

claim_book::options BookOptions(incarnation_id incarnation) {
  return {.incarnation = incarnation,
          .window_length = kWindow,
          .windows_kept = 2,
          .windows_remembered = 1};
}

/** One state of the whole case; a copy goes its own way. */
class claim_case {
 public:
  explicit claim_case(claim_fault fault)
      : fault_(fault), book_(BookOptions(incarnation_), fault, kBegin) {
    for (sender_side& each : senders_) {
      each.known = {{1, 1}, incarnation_, 1};
    }
  }

  /** Each state that one step leads to. */
  template <typename Visit>
  void ForEachNext(Visit&& visit) const {
    const auto step = [&](auto&& change) {
      claim_case next(*this);
      if (change(next)) {
        visit(std::move(next));
      }
    };
    step([](claim_case& next) { return next.PassTime(); });
    step([](claim_case& next) { return next.RestartHome(); });
    for (int sender = 0; sender < kSenders; ++sender) {
      step([=](claim_case& next) { return next.StartSender(sender); });
      step([=](claim_case& next) { return next.Tick(sender); });
      step([=](claim_case& next) { return next.LoseConnection(sender); });
    }
    for (std::size_t at = 0; at < in_flight_.size(); ++at) {
      step([=](claim_case& next) { return next.Deliver(at, false); });
      step([=](claim_case& next) { return next.Deliver(at, true); });
    }
    for (std::size_t at = 0; at < accepted_.size(); ++at) {
      for (const backend_course course : {backend_course::kGood, backend_course::kBad}) {
        step([=](claim_case& next) { return next.Advance(at, course); });
      }
    }
  }

  std::string Violation() const {
    int runs_of_request = 0;
    for (const auto& [ticket, runs] : runs_) {
      runs_of_request += runs;
    }
    if (runs_of_request > 1) {
      return "the request ran twice";
    }
    for (const sender_side& each : senders_) {
      const bool ran = std::ranges::any_of(
          each.tickets, [this](const claim_ticket& ticket) { return runs_.contains(ticket); });
      if (each.end == claim_end::kNotRun && ran) {
        return "not_run was said of a ticket that ran";
      }
      if (each.end == claim_end::kCompleted && !ran) {
        return "completed was said of a ticket that did not run";
      }
    }
    return {};
  }

  /** Equal for states that go on alike. */
  std::uint64_t Key() const {
    state_key key;
    key.Add(time_steps_);
    key.Add(incarnation_);
    key.Add(doubles_);
    std::set<claim_ticket> tickets;
    for (const sender_side& each : senders_) {
      key.Add(each.machine ? each.machine->ToString() : "");
      key.Add(each.known.incarnation);
      key.Add(each.known.window);
      key.Add(each.lost_once);
      key.Add(each.end.value_or(claim_end{}));
      tickets.insert(each.tickets.begin(), each.tickets.end());
    }
    key.Add(in_flight_.size());
    for (const message& each : in_flight_) {
      key.Add(each);
    }
    key.Add(accepted_.size());
    for (const accepted_call& each : accepted_) {
      key.Add(each.call);
      key.Add(each.running);
    }
    for (const auto& [ticket, runs] : runs_) {
      key.Add(ticket);
      key.Add(runs);
    }
    AddBook(key, tickets);
    return key.digest();
  }

 private:
  enum class backend_course : std::uint8_t { kGood, kBad };

  /** What the book will say of each ticket, now and as its windows pass. */
  void AddBook(state_key& key, const std::set<claim_ticket>& tickets) const {
    faulty_book book(book_);
    for (int windows = 0; windows < 4; ++windows) {
      for (const claim_ticket& each : tickets) {
        const claim_report report = book.Ask(each.id, Now() + windows * kWindow);
        key.Add(report.state);
        key.Add(report.code);
      }
    }
  }

  instant Now() const { return kBegin + time_steps_ * kTimeStep; }

  //============================================================================
  bool PassTime() { return ++time_steps_ <= kMostTimeSteps; }

  bool RestartHome() {
    if (incarnation_ > 1) {
      return false;
    }
    ++incarnation_;
    const incarnation_id drawn =
        fault_ == claim_fault::kIncarnationKeptOverRestart ? 1 : incarnation_;
    book_ = faulty_book(BookOptions(drawn), fault_, Now());
    accepted_.clear();
    return true;
  }

  bool StartSender(int number) {
    sender_side& side = senders_[number];
    const sender_side& first = senders_[0];
    if (side.machine || Now() >= kDeadline || (number == 1 && first.tickets.empty())) {
      return false;
    }
    side.machine.emplace(claim_sender::options{.deadline = kDeadline,
                                               .sender = static_cast<incarnation_id>(number + 7),
                                               .ask_after = kTimeStep,
                                               .ask_interval = kTimeStep,
                                               .revoke_before = kTimeStep});
    if (number == 0) {
      Bind(number);
    } else {
      side.tickets.push_back(first.tickets.back());
      Do(number, side.machine->Resume(first.tickets.back(), Now()));
    }
    return true;
  }

  bool Tick(int number) {
    sender_side& side = senders_[number];
    if (!side.machine || side.end || Now() < side.machine->NextTick()) {
      return false;
    }
    Do(number, side.machine->Tick(Now()));
    return true;
  }

  bool LoseConnection(int number) {
    sender_side& side = senders_[number];
    if (!side.machine || side.end || std::exchange(side.lost_once, true)) {
      return false;
    }
    Do(number, side.machine->ConnectionLost(side.machine->ticket(), Now()));
    return true;
  }

  void Bind(int number) {
    sender_side& side = senders_[number];
    const claim_actions actions = side.machine->Bind(side.known, Now(), random_);
    if (!side.machine->ended()) {
      side.tickets.push_back(side.machine->ticket());
    }
    Do(number, actions);
  }

  void Do(int number, const claim_actions& actions) {
    for (const claim_action& each : actions) {
      if (each.what == claim_action::kind::kEnd) {
        senders_[number].end = each.end;
      } else if (each.what == claim_action::kind::kRebind) {
        Bind(number);
      } else {
        Transmit({.ask = each.what == claim_action::kind::kAsk,
                  .revoke = each.revoke,
                  .sender = number,
                  .ticket = each.ticket});
      }
    }
  }

  //============================================================================
  void Transmit(const message& sent) {
    // In one order, so that it doesn't matter for the state which was sent first.
    in_flight_.push_back(sent);
    std::ranges::sort(in_flight_, {}, [](const message& each) {
      state_key key;
      key.Add(each);
      return key.digest();
    });
  }

  bool Deliver(std::size_t at, bool again_later) {
    constexpr int kMostDoubles = 1;
    if (again_later && ++doubles_ > kMostDoubles) {
      return false;
    }
    const message arrived = in_flight_[at];
    if (!again_later) {
      in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
    }
    if (arrived.to_home) {
      Arrive(arrived);
      return true;
    }
    sender_side& side = senders_[arrived.sender];
    side.known = {arrived.ticket.home, arrived.incarnation, arrived.window};
    Do(arrived.sender, side.machine->Heard(arrived.ticket, arrived.state, arrived.code, Now()));
    return true;
  }

  void Arrive(const message& arrived) {
    const claim_id& id = arrived.ticket.id;
    if (arrived.ask) {
      return Reply(arrived, arrived.revoke ? book_.Revoke(id, Now()) : book_.Ask(id, Now()));
    }
    const claim_report report = book_.Begin(id, Now());
    if (report.state != claim_state::kNeverSeen) {
      return Reply(arrived, report);
    }
    accepted_.push_back({arrived, false});
  }

  /** The next step of an accepted call: hand-over or refusal, answer or none. */
  bool Advance(std::size_t at, backend_course course) {
    accepted_call& accepted = accepted_[at];
    const message call = accepted.call;
    const claim_id& id = call.ticket.id;
    const bool good = course == backend_course::kGood;
    if (!accepted.running && good && book_.HandOver(id, Now())) {
      accepted.running = true;
      ++runs_[call.ticket];
      return true;
    }
    if (!accepted.running) {
      book_.EndUnrun(id, result_code::kRefusedInstanceOnly, Now());
    } else if (good) {
      book_.Complete(id, "answer", Now());
    } else {
      book_.BreakOff(id, Now());
    }
    accepted_.erase(accepted_.begin() + static_cast<std::ptrdiff_t>(at));
    Reply(call, book_.Ask(id, Now()));
    return true;
  }

  void Reply(const message& to, const claim_report& report) {
    Transmit({.to_home = false,
              .sender = to.sender,
              .ticket = to.ticket,
              .state = report.state,
              .code = report.code,
              .incarnation = incarnation_,
              .window = book_.Window(Now())});
  }

  claim_fault fault_;
  int time_steps_ = 0;
  int doubles_ = 0;
  incarnation_id incarnation_ = 1;
  random_source random_{7};
  faulty_book book_;
  std::array<sender_side, kSenders> senders_;
  std::vector<message> in_flight_;
  std::vector<accepted_call> accepted_;
  std::map<claim_ticket, int> runs_;
};

class explorer {
 public:
  exploration_result Explore(int depth, claim_fault fault) {
    Visit(claim_case(fault), depth);
    result_.states = seen_.size();
    return result_;
  }

 private:
  void Visit(const claim_case& at, int steps_left) {
    // A state met before is gone into again only with more steps left than then.
    const auto [seen, fresh] = seen_.emplace(at.Key(), steps_left);
    if (!fresh && seen->second >= steps_left) {
      return;
    }
    seen->second = steps_left;
    result_.violation = at.Violation();
    if (steps_left == 0) {
      return;
    }
    at.ForEachNext([&](const claim_case& next) {
      ++result_.steps;
      if (result_.violation.empty()) {
        Visit(next, steps_left - 1);
      }
    });
  }

  absl::flat_hash_map<std::uint64_t, int> seen_;
  exploration_result result_;
};

}  // namespace

exploration_result ExploreClaims(int depth, claim_fault fault) {
  return explorer().Explore(depth, fault);
}

}  // namespace cuminferry::testing
