#include "soak/site_soak.h"

#include <spdlog/fmt/fmt.h>
#include <sys/resource.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "platform/store_stand_in.h"
#include "soak/loopback_proxy.h"
#include "soak/site_plan.h"
#include "soak/site_worker.h"
#include "soak/soak_addresses.h"
#include "trial/child_process.h"

namespace cuminferry::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests begin this long after the processes are started.
constexpr duration kLeadTime = seconds(8);
constexpr duration kHeartbeat = milliseconds(1'500);
constexpr duration kCheckPeriod = milliseconds(50);
constexpr duration kRestartDelay = milliseconds(300);
constexpr double kRepeatAllowance = 97.0;
constexpr double kLimitFactor = 1.6;
constexpr std::uint64_t kTableVersion = 3;

}  // namespace

class site_soak {
 public:
  explicit site_soak(const site_options& options)
      : options_(options),
        addresses_(options.block),
        ledger_(kRepeatAllowance),
        targets_(options.machines),
        plan_(PlanOf(options)),
        store_(loop_, addresses_.Store()),
        check_(loop_),
        heartbeat_(loop_) {
    std::filesystem::create_directories(options_.folder);
    layout_ = {
        .machines = options.machines,
        .threads = options.threads,
        .load = options.load,
        .begin = loop_.Now() + kLeadTime,
        .length = options.length,
        .backend_of =
            [this](std::size_t at) { return addresses_.Node(at, soak_addresses::kBackendPort); },
        .outbound_of =
            [this](std::size_t at) { return addresses_.Node(at, soak_addresses::kOutboundPort); },
        .targets = &targets_};
    for (std::size_t number = 0; number < options.machines; ++number) {
      nodes_.push_back(std::make_unique<node>());
      nodes_.back()->store_link =
          std::make_unique<loopback_proxy>(loop_, addresses_.StoreLink(number), addresses_.Store());
      WriteSettings(number);
    }
  }

  site_result Run() {
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < options_.threads; ++number) {
      threads.emplace_back([this, number] {
        site_worker(layout_, number, plan_, options_.seed, ledger_).Run();
        ++workers_ended_;
      });
    }
    for (std::size_t i = 0; i < options_.busy_threads; ++i) {
      threads.emplace_back([this] {
        while (workers_ended_ < options_.threads) {
        }
      });
    }
    store_.Put("op/config", Table().dump());
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      StartProcess(number);
    }
    for (const site_event& event : plan_) {
      After(layout_.begin + event.start - loop_.Now(), [this, &event] { Apply(event); });
    }
    heartbeat_.StartPeriodic(kHeartbeat, [this] { PublishTargets(); });
    check_.StartPeriodic(kCheckPeriod, [this] { Check(); });
    loop_.Run();
    for (std::thread& thread : threads) {
      thread.join();
    }
    const double largest_memory_mb = LargestMemory();
    nodes_.clear();
    rusage used{};
    ::getrusage(RUSAGE_CHILDREN, &used);
    const auto time_of = [](const timeval& spent) {
      return seconds(spent.tv_sec) + std::chrono::microseconds(spent.tv_usec);
    };
    return {.breaches = ledger_.CheckAtMostOnce(),
            .violations = ledger_.Recorded(),
            .summary = ledger_.CountOutcomes(),
            .processor_time = time_of(used.ru_utime) + time_of(used.ru_stime),
            .largest_memory_mb = largest_memory_mb};
  }

 private:
  struct node {
    std::optional<trial::child_process> process;
    instant start_at{};
    bool stopping = false;
    std::unique_ptr<loopback_proxy> store_link;
  };

  static std::vector<site_event> PlanOf(const site_options& options) {
    std::vector<site_event> plan;
    if (!options.without_plan) {
      plan = DrawSitePlan(options.seed, options.machines, options.length);
    }
    plan.push_back({.what = site_event::kind::kTargets,
                    .span = options.length,
                    .machines = {},
                    .fault = options.fault});
    return plan;
  }

  // The largest peak of the processes that run now, in MB. What a child's resource usage reports
  // covers the memory of this process before the exec.
  double LargestMemory() const {
    constexpr double kKilobytesPerMegabyte = 1024.0;
    constexpr std::string_view kPeakField = "VmHWM:";
    double largest = 0.0;
    for (const auto& each : nodes_) {
      if (!each->process) {
        continue;
      }
      std::ifstream status(fmt::format("/proc/{}/status", each->process->id()));
      for (std::string line; std::getline(status, line);) {
        if (line.starts_with(kPeakField)) {
          largest = std::max(largest, std::stod(line.substr(kPeakField.size())));
        }
      }
    }
    return largest / kKilobytesPerMegabyte;
  }

  std::string SettingsFile(std::size_t number) const {
    return fmt::format("{}/node-{}.json", options_.folder, number);
  }
  static std::string DomainOf(std::size_t number) {
    return fmt::format("domain-{}", number % site_shape::kDomains);
  }

  void WriteSettings(std::size_t number) const {
    json settings = addresses_.SettingsOf(
        number, site_shape::ServiceOfMachine(number, options_.machines).name, DomainOf(number),
        addresses_.Node(number, soak_addresses::kBackendPort));
    settings.update({{"repeat_ratio", 0.2},
                     {"repeat_allowance", kRepeatAllowance},
                     {"repeat_window_s", 10},
                     {"withdrawal_strict", true},
                     {"withdrawal_s", 5},
                     {"limit_window_s", 5},
                     {"limit_excess", 0.25},
                     {"limit_allowance", 20},
                     {"drain_s", 2.5},
                     {"queue_order", "importance"},
                     {"grace_s", 6}});
    std::ofstream(SettingsFile(number)) << settings.dump(2);
  }

  json Table() const {
    json resources = json::array();
    const auto add = [&resources](const char* type, std::string_view name, json spec) {
      resources.push_back(
          {{"type", type}, {"metadata", {{"name", name}}}, {"spec", std::move(spec)}});
    };
    for (const site_row& row : site_shape::Rows()) {
      add("routes", row.name,
          {{"host", "soak.example"},
           {"prefix", fmt::format("/{}/", row.name)},
           {"service", row.service},
           {"kind", row.kind},
           {"attempts", 3},
           {"timeout_ms", row.timeout.count() / 1000},
           {"slo_ms", row.objective.count() / 1000},
           {"priority", row.priority},
           {"public", row.share == 0.0}});
    }
    for (const site_service& service : site_shape::Services()) {
      add("services", service.name, {{"health_path", "/healthz"}, {"max_conns", 700}});
    }
    const double all =
        site_shape::kRequestsPerMachine * options_.load * static_cast<double>(options_.machines);
    for (int customer = 0; customer < site_shape::kCustomers; ++customer) {
      const double rate = kLimitFactor * all * site_worker::ShareOf(customer);
      add("tenants", fmt::format("customer-{}", customer),
          {{"rate_per_s", rate},
           {"burst", rate},
           {"api_keys", json::array({site_worker::KeyOf(customer)})}});
    }
    add("limits", "limits",
        {{"header_bytes", 16'384},
         {"body_bytes", 1'000'000},
         {"header_ms", 3'000},
         {"idle_ms", 5'000}});
    return {{"version", fmt::format("{:08x}", kTableVersion)}, {"resources", resources}};
  }

  void PublishTargets() {
    for (std::size_t number = 0; number < targets_.size(); ++number) {
      const std::size_t target = targets_[number];
      if (target == 0) {
        continue;
      }
      const site_service& service = site_shape::ServiceOfMachine(number, options_.machines);
      store_.PutFor("servers/" + site_worker::TargetId(target),
                    json{{"service", service.name},
                         {"addr", addresses_.Node(number, soak_addresses::kBackendPort).ToString()},
                         {"zone", DomainOf(number)},
                         {"version", "v1"},
                         {"capacity", service.slots},
                         {"state", "ready"},
                         {"warmup_left_ms", 0},
                         {"sequence", ++heartbeats_}}
                        .dump(),
                    3 * kHeartbeat);
    }
  }

  void StartProcess(std::size_t number) {
    node& at = *nodes_[number];
    const bool runs_other = !options_.other_program.empty() && number % 2 == 1;
    auto started =
        trial::child_process::Start({runs_other ? options_.other_program : options_.program,
                                     "--settings", SettingsFile(number)},
                                    fmt::format("{}/node-{}.log", options_.folder, number));
    if (!started.ok()) {
      ledger_.OnViolation(std::string(started.status().message()));
      return;
    }
    at.process.emplace(std::move(*started));
    at.stopping = false;
  }

  void Check() {
    const instant now = loop_.Now();
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      node& at = *nodes_[number];
      int exit_code = 0;
      if (at.process && at.process->WaitForExit({}, exit_code)) {
        if (!at.stopping || exit_code != 0) {
          ledger_.OnViolation(
              fmt::format("node {} ended unexpectedly with exit code {}", number, exit_code));
        }
        at.process.reset();
        at.start_at = now + kRestartDelay;
      }
      if (!at.process && now >= at.start_at) {
        StartProcess(number);
      }
    }
    if (workers_ended_ == options_.threads) {
      loop_.Stop();
    }
  }

  void After(duration delay, std::function<void()> action) {
    timers_.push_back(std::make_unique<loop_timer>(loop_));
    timers_.back()->StartOnce(std::max(delay, duration::zero()), std::move(action));
  }

  void ForAffected(const site_event& event, const std::function<void(node&)>& action) {
    for (const std::size_t number : event.machines) {
      action(*nodes_[number]);
    }
  }

  void Apply(const site_event& event) {
    fmt::print("  {:6.2f} s {} for {:.2f} s, {} machines\n", ToSeconds(event.start),
               ToText(event.what), ToSeconds(event.span), event.machines.size());
    switch (event.what) {
      case site_event::kind::kNodeKill:
        ForAffected(event, [&](node& at) {
          at.process.reset();
          at.start_at = loop_.Now() + event.span;
        });
        break;
      case site_event::kind::kNodeStop:
        ForAffected(event, [](node& at) {
          if (at.process) {
            at.stopping = true;
            at.process->Signal(SIGTERM);
          }
        });
        break;
      case site_event::kind::kNodeFreeze:
        Signal(event, SIGSTOP);
        After(event.span, [this, &event] { Signal(event, SIGCONT); });
        break;
      case site_event::kind::kStoreRefuses:
      case site_event::kind::kStoreSilent:
        HarmStoreLinks(event);
        break;
      default:
        // The workers apply the rest.
        break;
    }
  }

  void Signal(const site_event& event, int number) {
    ForAffected(event, [number](node& at) {
      if (at.process) {
        at.process->Signal(number);
      }
    });
  }

  void HarmStoreLinks(const site_event& event) {
    const bool refuses = event.what == site_event::kind::kStoreRefuses;
    ForAffected(event, [refuses](node& at) {
      at.store_link->SetFault(refuses ? link_fault{.resets_new = true}
                                      : link_fault{.cut_to_server = true, .cut_to_client = true});
      if (refuses) {
        at.store_link->ResetOpen();
      }
    });
    After(event.span,
          [this, &event] { ForAffected(event, [](node& at) { at.store_link->SetFault({}); }); });
  }

  site_options options_;
  soak_addresses addresses_;
  soak_ledger ledger_;
  std::vector<std::atomic<std::size_t>> targets_;
  std::vector<site_event> plan_;
  event_loop loop_;
  store_stand_in store_;
  site_layout layout_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
  loop_timer check_;
  loop_timer heartbeat_;
  std::atomic<std::size_t> workers_ended_ = 0;
  std::uint64_t heartbeats_ = 0;
};

site_result RunSiteSoak(const site_options& options) { return site_soak(options).Run(); }

}  // namespace cuminferry::testing
