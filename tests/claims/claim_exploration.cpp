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

#include "claims/faulty_registry.h"

namespace cuminferry::testing {
namespace {

/** Each time step advances the claim window, so that tickets reach every age within few steps. */
constexpr std::chrono::seconds kWindow{1};
constexpr duration kTimeStep = kWindow;
constexpr instant kBegin = FromMicros(1'000'000);
constexpr instant kDeadline = kBegin + 3 * kTimeStep;
/** Enough time steps for each window of the model to be accepted, retained and forgotten. */
constexpr int kMaxTimeSteps = 5;
constexpr int kSenders = 2;

struct message {
  bool to_home = true;
  bool is_query = false;
  bool revoke = false;
  int sender = 0;
  claim_ticket ticket;
  claim_state state = claim_state::kNeverSeen;
  result_code code = result_code::kOk;
  /** Incarnation and window of the home instance when it replied. */
  incarnation_id incarnation = 0;
  std::uint32_t window = 0;
};

/** Collects the bytes that distinguish states and computes their digest. */
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
    Add(each.to_home + 2 * each.is_query + 4 * each.revoke + 8 * each.sender);
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

struct sender_state {
  std::optional<claim_sender> machine;
  claim_target known_target;
  std::vector<claim_ticket> tickets;
  std::optional<claim_outcome> outcome;
  bool connection_lost = false;
};

/** A call that the home instance has accepted. */
struct accepted_call {
  message call;
  bool running = false;
};

claim_registry::options RegistryOptions(incarnation_id incarnation) {
  return {.incarnation = incarnation,
          .window_length = kWindow,
          .windows_accepted = 2,
          .windows_retained = 1};
}

/** One state of the whole model; copies evolve independently. */
class model_state {
 public:
  explicit model_state(claim_fault fault)
      : fault_(fault), registry_(RegistryOptions(incarnation_), fault, kBegin) {
    for (sender_state& each : senders_) {
      each.known_target = {{1, 1}, incarnation_, 1};
    }
  }

  /** Visits each state that is reachable in one step. */
  template <typename Visit>
  void ForEachSuccessor(Visit&& visit) const {
    const auto step = [&](auto&& change) {
      model_state next(*this);
      if (change(next)) {
        visit(std::move(next));
      }
    };
    step([](model_state& next) { return next.PassTime(); });
    step([](model_state& next) { return next.RestartHome(); });
    for (int sender = 0; sender < kSenders; ++sender) {
      step([=](model_state& next) { return next.StartSender(sender); });
      step([=](model_state& next) { return next.Tick(sender); });
      step([=](model_state& next) { return next.LoseConnection(sender); });
    }
    for (std::size_t index = 0; index < in_flight_.size(); ++index) {
      step([=](model_state& next) { return next.Deliver(index, false); });
      step([=](model_state& next) { return next.Deliver(index, true); });
    }
    for (std::size_t index = 0; index < accepted_.size(); ++index) {
      for (const backend_result result : {backend_result::kSuccess, backend_result::kFailure}) {
        step([=](model_state& next) { return next.AdvanceCall(index, result); });
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
    for (const sender_state& each : senders_) {
      const bool ran = std::ranges::any_of(
          each.tickets, [this](const claim_ticket& ticket) { return runs_.contains(ticket); });
      if (each.outcome == claim_outcome::kNotRun && ran) {
        return "not_run was reported for a ticket that ran";
      }
      if (each.outcome == claim_outcome::kCompleted && !ran) {
        return "completed was reported for a ticket that did not run";
      }
    }
    return {};
  }

  /** Returns a key that is equal for states with the same future behaviour. */
  std::uint64_t Key() const {
    state_key key;
    key.Add(time_steps_);
    key.Add(incarnation_);
    key.Add(duplicates_);
    std::set<claim_ticket> tickets;
    for (const sender_state& each : senders_) {
      key.Add(each.machine ? each.machine->ToString() : "");
      key.Add(each.known_target.incarnation);
      key.Add(each.known_target.window);
      key.Add(each.connection_lost);
      key.Add(each.outcome.value_or(claim_outcome{}));
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
    AddRegistry(key, tickets);
    return key.digest();
  }

 private:
  enum class backend_result : std::uint8_t { kSuccess, kFailure };

  /** Adds the registry's report on each ticket, now and after each of the next windows. */
  void AddRegistry(state_key& key, const std::set<claim_ticket>& tickets) const {
    faulty_registry registry(registry_);
    for (int windows = 0; windows < 4; ++windows) {
      for (const claim_ticket& each : tickets) {
        const claim_report report = registry.Query(each.id, Now() + windows * kWindow);
        key.Add(report.state);
        key.Add(report.code);
      }
    }
  }

  instant Now() const { return kBegin + time_steps_ * kTimeStep; }

  //============================================================================
  bool PassTime() { return ++time_steps_ <= kMaxTimeSteps; }

  bool RestartHome() {
    if (incarnation_ > 1) {
      return false;
    }
    ++incarnation_;
    const incarnation_id effective_incarnation =
        fault_ == claim_fault::kIncarnationReusedAfterRestart ? 1 : incarnation_;
    registry_ = faulty_registry(RegistryOptions(effective_incarnation), fault_, Now());
    accepted_.clear();
    return true;
  }

  bool StartSender(int index) {
    sender_state& side = senders_[index];
    const sender_state& first = senders_[0];
    if (side.machine || Now() >= kDeadline || (index == 1 && first.tickets.empty())) {
      return false;
    }
    side.machine.emplace(claim_sender::options{.deadline = kDeadline,
                                               .sender = static_cast<incarnation_id>(index + 7),
                                               .query_after = kTimeStep,
                                               .query_interval = kTimeStep,
                                               .revoke_before = kTimeStep});
    if (index == 0) {
      Bind(index);
    } else {
      side.tickets.push_back(first.tickets.back());
      Execute(index, side.machine->Resume(first.tickets.back(), Now()));
    }
    return true;
  }

  bool Tick(int index) {
    sender_state& side = senders_[index];
    if (!side.machine || side.outcome || Now() < side.machine->NextTick()) {
      return false;
    }
    Execute(index, side.machine->Tick(Now()));
    return true;
  }

  bool LoseConnection(int index) {
    sender_state& side = senders_[index];
    if (!side.machine || side.outcome || std::exchange(side.connection_lost, true)) {
      return false;
    }
    Execute(index, side.machine->OnConnectionLost(side.machine->ticket(), Now()));
    return true;
  }

  void Bind(int index) {
    sender_state& side = senders_[index];
    const claim_actions actions = side.machine->Bind(side.known_target, Now(), random_);
    if (!side.machine->ended()) {
      side.tickets.push_back(side.machine->ticket());
    }
    Execute(index, actions);
  }

  void Execute(int index, const claim_actions& actions) {
    for (const claim_action& each : actions) {
      if (each.type == claim_action::kind::kReportOutcome) {
        senders_[index].outcome = each.outcome;
      } else if (each.type == claim_action::kind::kRebind) {
        Bind(index);
      } else {
        Transmit({.is_query = each.type == claim_action::kind::kQuery,
                  .revoke = each.revoke,
                  .sender = index,
                  .ticket = each.ticket});
      }
    }
  }

  //============================================================================
  void Transmit(const message& sent) {
    // Messages are sorted so that states do not differ by the order in which messages were sent.
    in_flight_.push_back(sent);
    std::ranges::sort(in_flight_, {}, [](const message& each) {
      state_key key;
      key.Add(each);
      return key.digest();
    });
  }

  bool Deliver(std::size_t index, bool duplicate) {
    constexpr int kMaxDuplicates = 1;
    if (duplicate && ++duplicates_ > kMaxDuplicates) {
      return false;
    }
    const message arrived = in_flight_[index];
    if (!duplicate) {
      in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (arrived.to_home) {
      Arrive(arrived);
      return true;
    }
    sender_state& side = senders_[arrived.sender];
    side.known_target = {arrived.ticket.home, arrived.incarnation, arrived.window};
    Execute(arrived.sender,
            side.machine->OnReply(arrived.ticket, arrived.state, arrived.code, Now()));
    return true;
  }

  void Arrive(const message& arrived) {
    const claim_id& id = arrived.ticket.id;
    if (arrived.is_query) {
      return Reply(arrived,
                   arrived.revoke ? registry_.Revoke(id, Now()) : registry_.Query(id, Now()));
    }
    const claim_report report = registry_.Begin(id, Now());
    if (report.state != claim_state::kNeverSeen) {
      return Reply(arrived, report);
    }
    accepted_.push_back({arrived, false});
  }

  /** Performs the next step of an accepted call: hand-over or refusal, then completion or abort. */
  bool AdvanceCall(std::size_t index, backend_result result) {
    accepted_call& accepted = accepted_[index];
    const message call = accepted.call;
    const claim_id& id = call.ticket.id;
    const bool good = result == backend_result::kSuccess;
    if (!accepted.running && good && registry_.HandOver(id, Now())) {
      accepted.running = true;
      ++runs_[call.ticket];
      return true;
    }
    if (!accepted.running) {
      registry_.MarkNotRun(id, result_code::kRefusedInstanceOnly, Now());
    } else if (good) {
      registry_.Complete(id, "answer", Now());
    } else {
      registry_.MarkAborted(id, Now());
    }
    accepted_.erase(accepted_.begin() + static_cast<std::ptrdiff_t>(index));
    Reply(call, registry_.Query(id, Now()));
    return true;
  }

  void Reply(const message& to, const claim_report& report) {
    Transmit({.to_home = false,
              .sender = to.sender,
              .ticket = to.ticket,
              .state = report.state,
              .code = report.code,
              .incarnation = incarnation_,
              .window = registry_.CurrentWindow(Now())});
  }

  claim_fault fault_;
  int time_steps_ = 0;
  int duplicates_ = 0;
  incarnation_id incarnation_ = 1;
  random_source random_{7};
  faulty_registry registry_;
  std::array<sender_state, kSenders> senders_;
  std::vector<message> in_flight_;
  std::vector<accepted_call> accepted_;
  std::map<claim_ticket, int> runs_;
};

class explorer {
 public:
  exploration_result Explore(int depth, claim_fault fault) {
    Visit(model_state(fault), depth);
    result_.states = seen_.size();
    return result_;
  }

 private:
  void Visit(const model_state& state, int steps_left) {
    // A known state is explored again only if more steps are left than before.
    const auto [seen, fresh] = seen_.emplace(state.Key(), steps_left);
    if (!fresh && seen->second >= steps_left) {
      return;
    }
    seen->second = steps_left;
    result_.violation = state.Violation();
    if (steps_left == 0) {
      return;
    }
    state.ForEachSuccessor([&](const model_state& next) {
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
