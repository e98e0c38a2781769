#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cuminferry_relay/cuminferry_relay.h"
#include "soak/soak_client.h"
#include "soak/soak_ledger.h"

namespace cuminferry::testing {

/** How a backend server misbehaves: shares of its requests, 0 to 1. */
struct target_fault {
  /** Times its usual work. */
  double slowness = 1.0;
  /** Runs the request, then resets the connection without an answer. */
  double loses = 0.0;
  /** Breaks the answer off in its middle. */
  double cuts = 0.0;
  /** Sends bytes that are no answer. */
  double damages = 0.0;
  /** Sends a second answer after the first, late. */
  double repeats = 0.0;
  /** Turns the request away unrun. */
  double sheds = 0.0;
};

/** A backend server of the soak: slots and a queue, cancellation, calls of its
    own, and ways to misbehave. */
class soak_target {
 public:
  struct options {
    endpoint at;
    /** Where its node takes its calls. */
    endpoint node;
    std::string id;
    /** Unique among all that a soak starts. */
    std::size_t number = 0;
    std::size_t node_number = 0;
    std::string service;
    /** A row that each of its runs calls once; none if empty. */
    std::string calls;
    duration work = std::chrono::milliseconds(20);
    std::uint32_t slots = 20;
    /** It runs a request that ends it. */
    std::function<void()> on_crash = {};
  };
  /** Paths with this are of requests that end whatever runs them. */
  static constexpr std::string_view kCrashMark = "crash";

  soak_target(event_loop& loop, options options, soak_ledger& ledger, random_source& random);
  /** Ends as a killed process does: connections are reset. */
  ~soak_target();
  soak_target(const soak_target&) = delete;
  soak_target& operator=(const soak_target&) = delete;

  void SetFault(const target_fault& fault) { fault_ = fault; }
  /** From now on its answers ask to close the connection. */
  void Leave() { leaving_ = true; }

 private:
  class session;

  void StartNext();

  event_loop& loop_;
  options options_;
  soak_ledger& ledger_;
  random_source& random_;
  target_fault fault_;
  bool leaving_ = false;
  std::uint32_t running_ = 0;
  std::uint64_t calls_made_ = 0;
  soak_client caller_;
  std::unique_ptr<tcp_listener> listener_;
  std::set<std::shared_ptr<session>> sessions_;
  std::deque<std::weak_ptr<session>> queue_;
};

}  // namespace cuminferry::testing
