#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** Simulates one service in virtual time, with parameters drawn from a seed. It has targets whose
    nodes each track and isolate suspects, requests that arrive at any node, and one request that
    crashes each target that runs it and is sent repeatedly. Events reach other nodes with
    delays, some of them a second late. */
class suspect_world {
 public:
  /** What crashes targets. */
  enum class crash_cause : std::uint8_t {
    /** One request, which is sent repeatedly. */
    kRequest,
    /** No request: every two seconds on average, a random target crashes. */
    kSpontaneous,
    /** As kSpontaneous, but up to half of the targets crash at the same time. */
    kSimultaneous,
  };

  explicit suspect_world(std::uint64_t seed, crash_cause cause = crash_cause::kRequest);
  ~suspect_world();

  /** Runs the simulation for kSimulatedSpan. */
  void Run();

  /** Number of crashes of targets. */
  int crashes() const { return crashes_; }
  /** Number of other requests that were refused as if they crashed targets. */
  int innocents_refused() const { return innocents_refused_; }
  int innocents_served() const { return innocents_served_; }

  static constexpr duration kSimulatedSpan = std::chrono::seconds(30);

 private:
  struct request;
  struct node;
  using shared_request = std::shared_ptr<request>;

  void ScheduleAt(instant when, std::function<void()> action);
  duration DrawDuration(duration shortest, duration longest);
  void ArriveInnocent();
  void ArriveCrashing();
  void CrashAtRandom();
  shared_request MakeRequest(std::uint64_t path_number);
  void Dispatch(const shared_request& run);
  void ArriveAtTarget(node& target, const shared_request& run);
  void Start(node& target, const shared_request& run);
  void Finish(node& target, const shared_request& run);
  void Crash(node& target);
  void Refuse(const request& run);
  void Announce(node& from, const std::vector<suspect_event>& events);
  void LeaveIsolation(node& target, const request& run);

  random_source random_;
  crash_cause cause_;
  instant now_ = FromMicros(1'000'000);
  std::multimap<instant, std::function<void()>> scheduled_;
  std::vector<std::unique_ptr<node>> nodes_;
  duration arrival_interval_{};
  duration crashing_interval_{};
  std::uint64_t path_count_ = 0;
  std::uint64_t last_id_ = 0;
  int crashes_ = 0;
  int innocents_refused_ = 0;
  int innocents_served_ = 0;
};

}  // namespace cuminferry::testing
