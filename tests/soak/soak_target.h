#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_relay/cuminferry_relay.h"
#include "soak/soak_client.h"
#include "soak/soak_ledger.h"

namespace cuminferry::testing {

/** Faults of a backend server. All but work_factor are shares of its requests, 0 to 1. */
struct target_fault {
  /** Multiplies the duration of its work. */
  double work_factor = 1.0;
  /** The request is run, and the connection is reset without an answer. */
  double lost_answers = 0.0;
  /** The connection is reset after the first half of the answer. */
  double truncated_answers = 0.0;
  /** The answer is replaced by bytes that are not HTTP. */
  double invalid_answers = 0.0;
  /** The answer is sent a second time, 30 ms after the first. */
  double duplicate_answers = 0.0;
  /** The request is rejected without having run. */
  double rejections = 0.0;
  /** A rejection is sent a second time, where the next answer on its connection is expected. */
  double late_rejections = 0.0;
  /** A long request is rejected when half of its body has arrived. */
  double early_rejections = 0.0;
  /** The answer has no end, in its head or in its body. */
  double endless_answers = 0.0;
  /** The request is run and never answered. */
  double mute_answers = 0.0;
  /** A request whose call was refused is answered with the status of the call. */
  double passed_on_refusals = 0.0;
  /** A connection that was idle for longer is reset by its next request; 0: none. */
  duration forgotten_after{};
};

/** A call that a run makes. */
struct target_call {
  std::string row;
  std::string service;
  duration timeout{};
};

/** What one run of a request takes. */
struct target_work {
  duration time = std::chrono::milliseconds(20);
  /** Made one after the other, before the work. */
  std::vector<target_call> calls;
};

/** A backend server of the soak with slots, a queue, cancellation, calls to another
    service and injected faults. */
class soak_target {
 public:
  struct options {
    endpoint listen_address;
    /** Address at which its node accepts the calls of this backend server. */
    endpoint node;
    std::string id;
    /** Unique among all backend servers of one soak. */
    std::size_t number = 0;
    std::size_t node_number = 0;
    std::string service;
    /** Returns what a run of a request with this path takes. */
    std::function<target_work(std::string_view path)> work_of = [](std::string_view) {
      return target_work{};
    };
    std::uint32_t slots = 20;
    /** Number of requests that wait for slots; others are rejected. */
    std::size_t queue = 40;
    /** Called when a request that crashes the backend server has run for 10 ms. */
    std::function<void()> on_crash = {};
    /** Number of starts of its node's process so far. */
    std::function<int()> node_incarnation = [] { return 0; };
  };
  /** A request whose path contains this crashes the backend server that runs it. */
  static constexpr std::string_view kCrashPathPart = "crash";
  /** Header field of a request with the number of bytes in its body. */
  static constexpr std::string_view kBodyBytesField = "Soak-Body-Bytes";
  static constexpr std::string_view kHealthPath = "/healthz";

  soak_target(event_loop& loop, options options, soak_ledger& ledger, random_source& random);
  /** Resets all connections, as the end of a killed process does. */
  ~soak_target();
  soak_target(const soak_target&) = delete;
  soak_target& operator=(const soak_target&) = delete;

  void SetFault(const target_fault& fault) { fault_ = fault; }
  /** All later answers, also rejections, declare this rate; nothing: none. */
  void DeclareRate(const std::optional<double>& rate) { declared_rate_ = rate; }
  /** All later answers, also rejections, declare that the backend server leaves. */
  void DeclareLeaving() { declares_leaving_ = true; }
  /** All later answers carry "Connection: close", and health checks get status 503. */
  void StartDraining() { draining_ = true; }

 private:
  class session;

  void StartNext();

  event_loop& loop_;
  options options_;
  soak_ledger& ledger_;
  random_source& random_;
  target_fault fault_;
  bool draining_ = false;
  std::optional<double> declared_rate_;
  bool declares_leaving_ = false;
  std::uint32_t running_ = 0;
  std::uint64_t calls_made_ = 0;
  soak_client caller_;
  std::unique_ptr<tcp_listener> listener_;
  std::set<std::shared_ptr<session>> sessions_;
  std::deque<std::weak_ptr<session>> queue_;
};

}  // namespace cuminferry::testing
