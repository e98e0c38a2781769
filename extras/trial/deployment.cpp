#include "trial/deployment.h"

#include <stdlib.h>
#include <time.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "trial/port_finder.h"

namespace cuminferry::trial {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr duration kStartTimeout = std::chrono::seconds(20);
constexpr timespec kPollInterval{0, 20'000'000};
constexpr milliseconds kRequestTimeout{2000};
constexpr int kHttpOk = 200;

std::string FileNameFor(std::string instance) {
  std::replace(instance.begin(), instance.end(), '/', '_');
  return instance;
}

void WriteText(const std::string& file, const std::string& text) { std::ofstream(file) << text; }

// Whether a node's status shows this table version or a later one, the shard of its own service
// in force, and no newer shard that the node is still waiting for.
bool IsInForce(const json& status, const std::string& service, std::uint64_t version) {
  if (!status.is_object() || status.value("table_version", std::uint64_t(0)) < version ||
      status.value("contents_wanted", 0) > 0) {
    return false;
  }
  const json tables = status.value("tables", json::array());
  return std::any_of(tables.begin(), tables.end(),
                     [&](const json& one) { return one.value("service", "") == service; });
}

}  // namespace

class deployment::state {
 public:
  state(const deployment_plan& plan, options start_options)
      : plan_(plan), options_(std::move(start_options)) {}

  ~state() {
    for (running_target& target : targets_) {
      target.node_process.reset();
      target.backend_process.reset();
    }
    platform_process_.reset();
    if (!options_.keep_files && !folder_.empty()) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
  }

  absl::Status Start() {
    absl::Status status = MakeFolder();
    if (status.ok()) {
      PlanTargets();
      status = StartPlatform();
    }
    for (std::size_t at = 0; status.ok() && at < targets_.size(); ++at) {
      status = StartBackend(targets_[at]);
    }
    for (std::size_t at = 0; status.ok() && at < targets_.size(); ++at) {
      status = SpawnNode(targets_[at]);
    }
    if (status.ok() && !WaitForTable(plan_.table.version(), kStartTimeout)) {
      status = MakeStatus(result_code::kNoTableYet,
                          "nodes have no table after " +
                              std::to_string(kStartTimeout / std::chrono::seconds(1)) +
                              " s; logs in " + folder_);
      options_.keep_files = true;
    }
    return status;
  }

  //============================================================================
  absl::Status PublishTable(const std::string& text) {
    const auto client = MakeClient(platform_);
    const httplib::Result answer = client->Put("/stand-in/table", text, "application/json");
    if (!answer || answer->status != kHttpOk) {
      return MakeStatus(result_code::kTableNotJson,
                        answer ? answer->body : std::string("the platform doesn't answer"));
    }
    return absl::OkStatus();
  }

  bool WaitForTable(std::uint64_t version, duration timeout) {
    const instant until = boot_clock::Now() + timeout;
    for (running_target& target : targets_) {
      while (target.node_process != nullptr && !HasTable(target, version)) {
        if (boot_clock::Now() >= until) {
          return false;
        }
        ::nanosleep(&kPollInterval, nullptr);
      }
    }
    return true;
  }

  absl::Status StartNode(running_target& target) {
    const absl::Status status = SpawnNode(target);
    if (!status.ok()) {
      return status;
    }
    const instant until = boot_clock::Now() + kStartTimeout;
    while (!HasTable(target, 1)) {
      if (boot_clock::Now() >= until) {
        return MakeStatus(result_code::kNoTableYet, target.instance);
      }
      ::nanosleep(&kPollInterval, nullptr);
    }
    return absl::OkStatus();
  }

  absl::Status StartBackend(running_target& target) {
    const service_plan* service = plan_.FindService(target.service);
    const service_entry& entry = plan_.table.FindShard(target.service)->service;
    stand_ins::backend_settings settings;
    settings.service = target.service;
    settings.instance = target.instance;
    settings.listen = target.backend;
    settings.egress = target.egress;
    settings.slots = entry.slots;
    settings.max_connections = entry.connections;
    settings.max_queued_requests = entry.connections - entry.slots;
    settings.seed = options_.seed * 1000 + ++backends_started_;
    settings.journal_file = JournalFileOf(target);
    settings.honors_deadlines = options_.honors_deadlines;
    stand_ins::ParseHealthReport(options_.health, settings.health);
    if (service != nullptr) {
      settings.warm_up_time = service->warm_up_time;
      settings.kinds = service->kinds;
    }
    const std::string file = folder_ + "/backend-" + FileNameFor(target.instance) + ".json";
    WriteText(file, settings.ToJson());
    return Spawn({options_.program_folder + "/extras/stand_ins/cuminferry-backend-stand-in",
                  "--settings", file},
                 "backend-" + FileNameFor(target.instance), target.backend_process);
  }

  std::vector<running_target>& targets() { return targets_; }
  endpoint platform() const { return platform_; }
  link_fault_control& links() { return *links_; }
  const std::string& folder() const { return folder_; }
  std::string JournalFileOf(const running_target& target) const {
    return folder_ + "/journal-" + FileNameFor(target.instance);
  }

  static std::unique_ptr<checked_http_client> MakeClient(endpoint to) {
    return client_pool(to).Make(kRequestTimeout);
  }

 private:
  absl::Status MakeFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "cuminferry-trial-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
      return MakeStatus(result_code::kSettingsFileUnreadable, pattern);
    }
    folder_ = pattern;
    if (options_.link_faults) {
      links_ = std::make_unique<link_fault_control>(
          folder_ + "/link-faults",
          options_.program_folder + "/extras/trial/cuminferry_link_faults.so");
    }
    return absl::OkStatus();
  }

  void PlanTargets() {
    const std::vector<std::string> domains = plan_.Domains();
    const std::size_t count = options_.domain_count == 0
                                  ? domains.size()
                                  : std::min(options_.domain_count, domains.size());
    for (const table_shard& shard : plan_.table.shards()) {
      for (const service_entry::domain_targets& one : shard.service.domains) {
        const auto domain = static_cast<std::size_t>(
            std::find(domains.begin(), domains.end(), one.failure_domain) - domains.begin());
        for (std::uint32_t slot = 0; domain < count && slot < one.targets; ++slot) {
          PlanTarget(shard.service.name, one.failure_domain, domain, slot);
        }
      }
    }
  }

  void PlanTarget(const std::string& service, const std::string& domain, std::size_t domain_index,
                  std::uint32_t slot) {
    running_target target;
    target.instance = domain + "/" + service + "-" + std::to_string(slot + 1);
    target.service = service;
    target.failure_domain = domain;
    target.domain_index = domain_index;
    target.target_slot = slot;
    target.front = FreeEndpoint(kLoopback);
    target.egress = FreeEndpoint(kLoopback);
    target.admin = FreeEndpoint(kLoopback);
    target.backend = FreeEndpoint(kLoopback);
    target.peer = FreeEndpoint(AddressOfDomain(domain_index));
    targets_.push_back(std::move(target));
  }

  endpoint FreeEndpoint(std::uint32_t address) { return {address, ports_.Next(address)}; }

  //============================================================================
  absl::Status StartPlatform() {
    platform_ = FreeEndpoint(kLoopback);
    const absl::Status status =
        Spawn({options_.program_folder + "/extras/stand_ins/cuminferry-platform-stand-in",
               "--listen", platform_.ToString()},
              "platform", platform_process_);
    if (!status.ok()) {
      return status;
    }
    const instant until = boot_clock::Now() + kStartTimeout;
    while (SendRequest(platform_, "GET", "/stand-in/counters").empty()) {
      if (boot_clock::Now() >= until) {
        return MakeStatus(result_code::kPlatformUnreachable, platform_.ToString());
      }
      ::nanosleep(&kPollInterval, nullptr);
    }
    for (const table_shard& shard : plan_.table.shards()) {
      PublishInstances(shard.service.name);
    }
    return PublishTable(plan_.table_text);
  }

  void PublishInstances(const std::string& service) {
    published_instances list;
    list.service = service;
    list.version = 1;
    for (const running_target& target : targets_) {
      if (target.service == service) {
        list.instances.push_back({target.instance, target.failure_domain, plan_.region, target.peer,
                                  target.target_slot, false});
      }
    }
    SendRequest(platform_, "PUT", "/stand-in/instances/" + service, list.ToJson());
  }

  absl::Status SpawnNode(running_target& target) {
    const service_entry& entry = plan_.table.FindShard(target.service)->service;
    const json settings{{"instance", target.instance},
                        {"service", target.service},
                        {"failure_domain", target.failure_domain},
                        {"region", plan_.region},
                        {"target_slot", target.target_slot},
                        {"front", target.front.ToString()},
                        {"egress", target.egress.ToString()},
                        {"peer", target.peer.ToString()},
                        {"admin", target.admin.ToString()},
                        {"backend", target.backend.ToString()},
                        {"backend_slots", entry.slots},
                        {"backend_connections", entry.connections},
                        {"platform", {platform_.ToString()}},
                        {"seeds", SeedsFor(target)},
                        {"control", options_.control}};
    const std::string file = folder_ + "/node-" + FileNameFor(target.instance) + ".json";
    WriteText(file, settings.dump(2));
    return Spawn({options_.program_folder + "/extras/node/cuminferry-node", "--settings", file},
                 "node-" + FileNameFor(target.instance), target.node_process,
                 links_ == nullptr ? std::vector<std::string>{}
                                   : links_->EnvironmentFor(target.domain_index));
  }

  // All other instances of the service serve as seeds, so that a node can also start while the
  // platform is down.
  json SeedsFor(const running_target& target) const {
    json seeds = json::array();
    for (const running_target& other : targets_) {
      if (other.service == target.service && other.instance != target.instance) {
        seeds.push_back(other.peer.ToString());
      }
    }
    return seeds;
  }

  absl::Status Spawn(const std::vector<std::string>& command, const std::string& name,
                     std::unique_ptr<child_process>& process,
                     const std::vector<std::string>& environment = {}) {
    process.reset();
    absl::StatusOr<child_process> started =
        child_process::Start(command, folder_ + "/" + name + ".log", environment);
    if (!started.ok()) {
      return started.status();
    }
    process = std::make_unique<child_process>(*std::move(started));
    return absl::OkStatus();
  }

  static bool HasTable(const running_target& target, std::uint64_t version) {
    const std::string text = SendRequest(target.admin, "GET", "/status");
    return IsInForce(json::parse(text, nullptr, false), target.service, version);
  }

  const deployment_plan& plan_;
  options options_;
  std::string folder_;
  std::unique_ptr<link_fault_control> links_;
  port_finder ports_;
  endpoint platform_;
  std::unique_ptr<child_process> platform_process_;
  std::vector<running_target> targets_;
  std::uint64_t backends_started_ = 0;
};

deployment::deployment(std::unique_ptr<state> initial_state) : state_(std::move(initial_state)) {}
deployment::~deployment() = default;

absl::StatusOr<std::unique_ptr<deployment>> deployment::Start(const deployment_plan& plan,
                                                              options start_options) {
  auto initial_state = std::make_unique<state>(plan, std::move(start_options));
  const absl::Status status = initial_state->Start();
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<deployment>(new deployment(std::move(initial_state)));
}

absl::Status deployment::PublishTable(const std::string& text) {
  return state_->PublishTable(text);
}

bool deployment::WaitForTable(std::uint64_t version, duration timeout) {
  return state_->WaitForTable(version, timeout);
}

void deployment::SetPlatformMode(std::string_view mode) {
  SendRequest(platform(), "POST", "/stand-in/mode?mode=" + std::string(mode));
}

void deployment::SetSlowdown(std::string_view service, double factor) {
  for (const running_target* target : TargetsOf(service)) {
    SendRequest(target->backend, "POST", "/stand-in/slow?factor=" + std::to_string(factor));
  }
}

absl::Status deployment::StartNode(running_target& target) { return state_->StartNode(target); }

absl::Status deployment::StartBackend(running_target& target) {
  return state_->StartBackend(target);
}

std::string deployment::SendRequest(endpoint at, std::string_view method, const std::string& path,
                                    const std::string& body) {
  const auto client = state::MakeClient(at);
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  const httplib::Result answer = client->send(request);
  return answer && answer->status == kHttpOk ? answer->body : std::string();
}

std::vector<running_target>& deployment::targets() { return state_->targets(); }

std::vector<running_target*> deployment::TargetsOf(std::string_view service) {
  std::vector<running_target*> found;
  for (running_target& target : targets()) {
    if (target.service == service) {
      found.push_back(&target);
    }
  }
  return found;
}

std::vector<endpoint> deployment::FrontsOf(std::string_view service) {
  std::vector<endpoint> fronts;
  for (const running_target* target : TargetsOf(service)) {
    fronts.push_back(target->front);
  }
  return fronts;
}

link_fault_control& deployment::links() { return state_->links(); }

endpoint deployment::platform() const { return state_->platform(); }

const std::string& deployment::folder() const { return state_->folder(); }

std::string deployment::JournalFileOf(const running_target& target) const {
  return state_->JournalFileOf(target);
}

}  // namespace cuminferry::trial
