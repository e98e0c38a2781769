// Runs random schedules of the claim code, with or without deliberate faults, or explores all
// interleavings of a small model. Prints the violations found and the cases covered.

#include <malloc.h>

#include <atomic>
#include <cstdio>
#include <cxxopts.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "claims/claim_exploration.h"
#include "claims/claim_schedule.h"
#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

struct play_result {
  schedule_counts counts;
  std::uint64_t failed_seed = 0;
  std::string violation;
};

play_result PlayInParallel(std::uint64_t first, std::uint64_t count, unsigned threads,
                           claim_fault fault) {
  play_result total;
  std::mutex mutex;
  std::atomic<std::uint64_t> next = 0;
  std::atomic<bool> failed = false;
  std::vector<std::thread> workers;
  for (unsigned worker = 0; worker < threads; ++worker) {
    workers.emplace_back([&] {
      schedule_counts counts;
      for (std::uint64_t at = next++; at < count && !failed; at = next++) {
        const std::string violation = PlayClaimSchedule(first + at, fault, counts);
        if (!violation.empty()) {
          const std::lock_guard lock(mutex);
          failed = true;
          total.failed_seed = first + at;
          total.violation = violation;
        }
      }
      const std::lock_guard lock(mutex);
      total.counts.Add(counts);
    });
  }
  for (std::thread& each : workers) {
    each.join();
  }
  return total;
}

int PlaySchedules(std::uint64_t seed, std::uint64_t count, unsigned threads) {
  const play_result total = PlayInParallel(seed, count, threads, claim_fault::kNone);
  std::printf("%s\n", total.counts.ToString().c_str());
  if (total.violation.empty()) {
    std::printf("violations: none\n");
    return 0;
  }
  std::printf("violation at seed %llu: %s\n", static_cast<unsigned long long>(total.failed_seed),
              total.violation.c_str());
  return 1;
}

int PlayFaults(std::uint64_t seed, std::uint64_t count, unsigned threads) {
  int missed = 0;
  for (const claim_fault_name& each : kClaimFaults) {
    const play_result total = PlayInParallel(seed, count, threads, each.fault);
    const bool caught = !total.violation.empty();
    missed += !caught;
    std::printf("%-6s %-50s after %8llu schedules  %s\n", caught ? "caught" : "MISSED",
                std::string(each.name).c_str(),
                static_cast<unsigned long long>(total.counts.schedules), total.violation.c_str());
  }
  return missed == 0 ? 0 : 1;
}

int Explore(int depth, bool with_faults) {
  for (const claim_fault_name& each : kClaimFaults) {
    if (!with_faults || each.fault >= claim_fault::kBlindResend) {
      break;
    }
    const exploration_result found = ExploreClaims(depth, each.fault);
    std::printf("%-6s %-50s after %8llu states  %s\n", found.violation.empty() ? "-" : "caught",
                std::string(each.name).c_str(), static_cast<unsigned long long>(found.states),
                found.violation.c_str());
  }
  const exploration_result found = ExploreClaims(depth, claim_fault::kNone);
  std::printf("depth %d: %llu states, %llu steps, violations: %s\n", depth,
              static_cast<unsigned long long>(found.states),
              static_cast<unsigned long long>(found.steps),
              found.violation.empty() ? "none" : found.violation.c_str());
  return found.violation.empty() ? 0 : 1;
}

std::uint64_t BytesInUse() {
  const struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

/** Prints memory and processing time per ticket at its home instance, with and without answers. */
int MeasureCost(std::uint64_t tickets, bool refused, std::size_t answer_bytes) {
  const std::uint64_t before = BytesInUse();
  const instant start = boot_clock::Now();
  claim_registry registry({.incarnation = 1, .max_tickets = tickets}, start);
  random_source random(1);
  std::vector<claim_id> claims(tickets);
  for (claim_id& each : claims) {
    each = MintTicket({{}, 1, registry.CurrentWindow(start)}, 2, random).id;
  }
  const std::uint64_t with_list = BytesInUse();
  const instant begun = boot_clock::Now();
  for (const claim_id& each : claims) {
    if (refused) {
      registry.Refuse(each, result_code::kRefusedOverload, start);
      continue;
    }
    registry.Begin(each, start);
    registry.HandOver(each, start);
    registry.Complete(each, std::string(answer_bytes, 'a'), start);
  }
  const auto spent = std::chrono::duration<double, std::nano>(boot_clock::Now() - begun);
  const std::uint64_t list = with_list - before;
  const std::uint64_t book_bytes = BytesInUse() - before - list;
  const double per_ticket = static_cast<double>(book_bytes) / static_cast<double>(tickets);
  std::printf("%7llu tickets, %s, answers of %3zu bytes: %4.0f bytes and %5.0f ns a ticket\n",
              static_cast<unsigned long long>(tickets), refused ? "refused" : "run", answer_bytes,
              per_ticket, spent.count() / static_cast<double>(tickets));
  return 0;
}

}  // namespace
}  // namespace cuminferry::testing

int main(int count, char** arguments) {
  cxxopts::Options options("claims_explore",
                           "Searches for event orders in which the claim code runs a call twice.");
  options.add_options()("schedules", "number of random schedules to run",
                        cxxopts::value<std::uint64_t>()->default_value("100000"))(
      "seed", "seed of the first schedule", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "threads", "number of threads", cxxopts::value<unsigned>()->default_value("1"))(
      "cost", "measure memory and time per ticket at its home instance")(
      "depth", "explore all interleavings of a small model up to this number of steps instead",
      cxxopts::value<int>())("faults", "run each deliberate fault until it is detected")(
      "help", "print this help");
  try {
    const cxxopts::ParseResult parsed = options.parse(count, arguments);
    if (parsed.count("help") > 0) {
      std::printf("%s", options.help().c_str());
      return 0;
    }
    if (parsed.count("cost") > 0) {
      for (const std::uint64_t tickets : {1'000, 10'000, 50'000, 200'000}) {
        cuminferry::testing::MeasureCost(tickets, true, 0);
        cuminferry::testing::MeasureCost(tickets, false, 0);
        cuminferry::testing::MeasureCost(tickets, false, 512);
      }
      return 0;
    }
    const bool faults = parsed.count("faults") > 0;
    if (parsed.count("depth") > 0) {
      return cuminferry::testing::Explore(parsed["depth"].as<int>(), faults);
    }
    const auto play = faults ? cuminferry::testing::PlayFaults : cuminferry::testing::PlaySchedules;
    return play(parsed["seed"].as<std::uint64_t>(), parsed["schedules"].as<std::uint64_t>(),
                parsed["threads"].as<unsigned>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
