#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_policy/cuminferry_policy.h"
#include "support/event_queue.h"

namespace cuminferry::testing {

/** Simulates a random fleet in virtual time: machines, each with a node and a backend server, the
    platform's store, and callers that list the instances. Machines lose the store, backend servers
    leave and crash, nodes and callers restart, messages are lost and health responses are wrong.
    Records each request that reaches a backend server that leaves, and the times in which a caller
    has no target of a service. */
class registration_world {
 public:
  /** What decides about instances whose entries were removed. */
  enum class retention_mode : std::uint8_t {
    /** departure_check and retention by confirmation. */
    kConfirmed,
    /** They are dropped at once. */
    kNone,
    /** They are retained for 10 s, and no node is queried. */
    kBlanket,
  };

  struct options {
    std::uint64_t seed = 1;
    retention_mode mode = retention_mode::kConfirmed;
    /** Whether a wrong health response of a backend server that leaves also doesn't announce that
        the connection is closed. The platform's facts include no such response. */
    bool false_health_hides_close = false;
    /** Whether a node responds to a query after the probe that is due then. */
    bool query_waits_for_probe = true;
  };

  struct figures {
    int requests = 0;
    int served = 0;
    int silent_leavers = 0;
    /** Requests that reached silent leavers after their entry was removed, and the time of the
        latest one as a part of the drain time. */
    int after_removal = 0;
    double latest_part = 0.0;
    /** Requests that reached a leaving backend server after more than the drain time. */
    int too_late = 0;
    /** Requests that reached a silent leaver after 0.8 of the drain time. */
    int late_to_silent = 0;
    /** Times in which a caller had no serving target of a service while at least a tenth of its
        backend servers served and could be reached. */
    int gaps = 0;
    duration without_target{};
    duration longest_gap{};
    int queries = 0;
    int probes = 0;

    bool keeps_requirements() const { return too_late == 0 && late_to_silent == 0 && gaps == 0; }
  };

  explicit registration_world(const options& chosen);
  ~registration_world();
  registration_world(const registration_world&) = delete;
  registration_world& operator=(const registration_world&) = delete;

  /** Runs the fleet for kSimulatedTime. */
  const figures& Run();
  /** What happened at the first violations; empty if there was none. */
  const std::string& violations() const { return violations_; }

  static constexpr duration kSimulatedTime = std::chrono::seconds(24);

 private:
  enum class outcome : std::uint8_t { kServed, kUnconfirmed, kLeaving, kOther, kUnreachable };
  struct backend_run;
  struct machine;
  struct caller;
  struct stored_entry;
  struct logged_change;
  using shared_run = std::shared_ptr<backend_run>;
  /** Gets the outcome and the run that the node confirms, if any. */
  using reply_function = std::function<void(outcome, std::optional<std::int64_t>)>;

  //============================================================================
  bool Draw(double share) { return random_.Fraction() < share; }
  std::size_t DrawIndex(std::size_t count) {
    return static_cast<std::size_t>(random_.Below(count));
  }
  duration Between(duration least, duration most);
  void After(duration span, std::function<void()> act) {
    events_.ScheduleAfter(span, std::move(act));
  }
  instant now() const { return events_.now(); }
  bool HasCheck() const { return chosen_.mode == retention_mode::kConfirmed; }
  machine& MachineOf(const service_instance& instance);
  void Violate(const std::string& text);

  // Faults.
  void ScheduleFaults();
  void StartBackend(machine& on, const std::string& service, const std::string& id);
  void EndBackend(machine& on);
  void Leave(machine& on, bool is_silent);
  void RestartNode(machine& on, duration outage);
  void RestartCaller(caller& of, duration outage);

  // The store, and its news.
  void Renew(machine& on, const shared_run& run);
  void Write(machine& on, const shared_run& run);
  void Remove(const std::string& id);
  void ExpireEntries();
  void Publish(instance_change change);
  void Advance(machine& at, std::size_t revision);
  void Advance(caller& at, std::size_t revision);
  void ShowListed(machine& at);
  void ApplyAt(caller& at, std::vector<instance_change> changes);
  void RefreshTargets(caller& at);

  // Queries, probes and requests.
  void Probe(machine& at, std::function<void()> on_end);
  void Query(caller& from);
  void SendQuery(caller& from, const service_instance& target, instant unlisted);
  void SendRequests(caller& from, const std::string& service, duration interval);
  void SendRequest(caller& from, const std::string& service, std::vector<std::string> tried);
  void ArriveAtNode(machine& at, const std::string& id, std::int64_t started_millis,
                    std::optional<instant> unlisted, const reply_function& reply);
  void ArriveAtBackend(machine& at, const std::string& id, const reply_function& reply);
  void OnReply(caller& from, const std::string& id, outcome result,
               std::optional<std::int64_t> confirmed);
  void RecordArrival(const backend_run& run);

  void Tick();
  void CheckTargets();
  bool IsExpected(const machine& of, const service_instance& instance) const;

  options chosen_;
  random_source random_;
  event_queue events_;
  figures figures_;
  std::string violations_;
  duration drain_{};
  double loss_ = 0.0;
  double false_health_ = 0.0;
  double stray_close_ = 0.0;
  std::vector<std::string> services_;
  std::vector<std::unique_ptr<machine>> machines_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::map<std::string, stored_entry> store_;
  // All changes of the store; the revision of a change is its place in the log.
  std::vector<logged_change> log_;
  int last_id_ = 0;
  std::int64_t last_started_ = 0;
};

}  // namespace cuminferry::testing
