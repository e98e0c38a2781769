#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/site_plan.h"
#include "soak/site_shape.h"
#include "soak/soak_client.h"
#include "soak/soak_ledger.h"
#include "soak/soak_target.h"

namespace cuminferry::testing {

/** Addresses and sizes that all parts of a site soak share. */
struct site_layout {
  std::size_t machines = 0;
  std::size_t threads = 1;
  double load = 1.0;
  /** When requests begin, and for how long they are sent. */
  instant begin{};
  duration length{};
  /** Address of a machine's backend server, and of its node for clients. */
  std::function<endpoint(std::size_t machine)> backend_of;
  std::function<endpoint(std::size_t machine)> outbound_of;
  /** Number of the backend server of each machine; 0 while it has none. */
  std::vector<std::atomic<std::size_t>>* targets = nullptr;
};

/** Backend servers and clients of some of the machines, on the thread that calls Run(). */
class site_worker {
 public:
  /** Machines whose number gives this remainder belong to the worker. */
  site_worker(const site_layout& layout, std::size_t number, const std::vector<site_event>& plan,
              std::uint64_t seed, soak_ledger& ledger);
  ~site_worker();
  site_worker(const site_worker&) = delete;
  site_worker& operator=(const site_worker&) = delete;

  static std::string TargetId(std::size_t target) { return "i-" + std::to_string(target); }
  static std::string KeyOf(int customer) { return "key-" + std::to_string(customer); }
  /** Part of the requests that a customer sends. */
  static double ShareOf(int customer);

  /** Returns when the soak is over. */
  void Run();

 private:
  struct machine;
  struct retry {
    instant due{};
    machine* at = nullptr;
    const site_row* row = nullptr;
  };

  target_work WorkOf(std::string_view path);
  void StartTarget(machine& at);
  void OnTick();
  void ApplyFaults(machine& at, duration now);
  void SendDue(machine& at, duration now);
  void Send(machine& at, const site_row& row, bool is_retry);
  int DrawCustomer();
  double FactorOf(site_event::kind what, double otherwise, duration now) const;

  const site_layout& layout_;
  const std::vector<site_event>& plan_;
  soak_ledger& ledger_;
  random_source random_;
  event_loop loop_;
  loop_timer tick_;
  std::vector<std::unique_ptr<machine>> machines_;
  std::vector<retry> retries_;
  std::size_t number_;
  std::uint64_t requests_sent_ = 0;
  instant ticked_at_{};
};

}  // namespace cuminferry::testing
