#include "trial/fault.h"

#include <signal.h>

#include <array>
#include <chrono>
#include <iostream>
#include <thread>
#include <utility>

namespace cuminferry::trial {
namespace {

constexpr std::chrono::seconds kRestartDelay{2};
constexpr std::chrono::seconds kPauseLength{3};

constexpr std::array<std::pair<std::string_view, fault_kind>, 8> kFaultNames = {{
    {"slow-deep", fault_kind::kSlowDeep},
    {"kill-node", fault_kind::kKillNode},
    {"kill-instance", fault_kind::kKillInstance},
    {"pause", fault_kind::kPause},
    {"platform-down", fault_kind::kPlatformDown},
    {"drain", fault_kind::kDrain},
    {"silence", fault_kind::kSilence},
    {"cut-off", fault_kind::kCutOff},
}};

}  // namespace

absl::StatusOr<fault_kind> ParseFault(std::string_view name) {
  std::string known;
  for (const auto& [text, kind] : kFaultNames) {
    if (text == name) {
      return kind;
    }
    known += " " + std::string(text);
  }
  return MakeStatus(result_code::kCommandLineInvalid,
                    "unknown fault " + std::string(name) + "; known faults:" + known);
}

class fault_injector::state {
 public:
  state(deployment& running, const deployment_plan& plan) : running_(running), plan_(plan) {}

  ~state() {
    for (std::thread& one : threads_) {
      one.join();
    }
  }

  void Begin(const std::vector<fault_kind>& faults, duration length) {
    for (const fault_kind kind : faults) {
      threads_.emplace_back([this, kind, length] { Inject(kind, length); });
    }
  }

 private:
  void Inject(fault_kind kind, duration length) {
    switch (kind) {
      case fault_kind::kSlowDeep:
        running_.SetSlowdown(plan_.bottleneck, kSlowFactor);
        std::this_thread::sleep_for(length);
        running_.SetSlowdown(plan_.bottleneck, 1.0);
        break;
      case fault_kind::kKillNode:
        Restart(*running_.TargetsOf(plan_.bottleneck).front(), false);
        break;
      case fault_kind::kKillInstance:
        Restart(*running_.TargetsOf(plan_.kinds.front().service).front(), true);
        break;
      case fault_kind::kPause:
        Pause();
        break;
      case fault_kind::kPlatformDown:
        running_.SetPlatformMode("down");
        std::this_thread::sleep_for(length);
        running_.SetPlatformMode("up");
        break;
      case fault_kind::kDrain:
        SignalOneOfEach(SIGTERM);
        break;
      case fault_kind::kSilence:
        running_.links().SilenceOpenConnections();
        break;
      case fault_kind::kCutOff:
        running_.links().SetCutOff(0, true);
        std::this_thread::sleep_for(length);
        running_.links().SetCutOff(0, false);
        break;
    }
  }

  void Restart(running_target& target, bool with_backend) {
    target.node_process->Kill();
    if (with_backend) {
      target.backend_process->Kill();
    }
    std::this_thread::sleep_for(kRestartDelay);
    absl::Status status = with_backend ? running_.StartBackend(target) : absl::OkStatus();
    if (status.ok()) {
      status = running_.StartNode(target);
    }
    if (!status.ok()) {
      std::cerr << target.instance << " did not restart: " << status.message() << "\n";
    }
  }

  void Pause() {
    SignalOneOfEach(SIGSTOP);
    std::this_thread::sleep_for(kPauseLength);
    SignalOneOfEach(SIGCONT);
  }

  void SignalOneOfEach(int number) {
    for (const service_plan& service : plan_.services) {
      running_.TargetsOf(service.name).back()->node_process->Signal(number);
    }
  }

  deployment& running_;
  const deployment_plan& plan_;
  std::vector<std::thread> threads_;
};

fault_injector::fault_injector(deployment& running, const deployment_plan& plan)
    : state_(std::make_unique<state>(running, plan)) {}

fault_injector::~fault_injector() = default;

void fault_injector::Begin(const std::vector<fault_kind>& faults, duration length) {
  state_->Begin(faults, length);
}

}  // namespace cuminferry::trial
