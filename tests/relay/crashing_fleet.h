#pragma once

#include <memory>
#include <string>
#include <vector>

#include "relay/relay_fleet.h"

namespace cuminferry::testing {

/** A fleet whose backend servers end when they have run a request whose path or body holds
    kMark for kEndsAfter, with all that they run, and start again after some time. */
class crashing_fleet {
 public:
  static constexpr char kMark[] = "crash";
  static constexpr duration kRunTime = std::chrono::milliseconds(40);
  static constexpr duration kEndsAfter = std::chrono::milliseconds(30);

  /** @param away  time until a backend server that ended is there again */
  crashing_fleet(int nodes, int domains, duration away);

  relay_fleet& fleet() { return fleet_; }
  /** Backend servers that ended so far. */
  int ends() const { return ends_; }
  /** Requests whose path holds this are answered with 500 from now on. */
  void Fail(std::string mark) { fails_ = std::move(mark); }
  /** Ends a backend server now, whatever it runs. */
  void End(int node);

 private:
  void Equip(int node);
  void OnRequest(int node, scripted_target::conversation& now);
  loop_timer& NewTimer();

  relay_fleet fleet_;
  duration away_;
  std::string fails_;
  int ends_ = 0;
  // Counts the starts of each backend server: what an earlier one ran is gone.
  std::vector<int> starts_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
};

}  // namespace cuminferry::testing
