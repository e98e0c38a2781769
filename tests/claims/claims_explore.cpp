// Plays random schedules of the claim code, each fault of the list, or explores
// all interleavings of a small case. Prints what was found and reached.

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

struct played {
  schedule_counts counts;
  std::uint64_t failed_seed = 0;
  std::string violation;
};

played PlayMany(std::uint64_t first, std::uint64_t count, unsigned threads, claim_fault fault) {
  played all;
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
          all.failed_seed = first + at;
          all.violation = violation;
        }
      }
      const std::lock_guard lock(mutex);
      all.counts.Add(counts);
    });
  }
  for (std::thread& each : workers) {
    each.join();
  }
  return all;
}

int PlaySchedules(std::uint64_t seed, std::uint64_t count, unsigned threads) {
  const played all = PlayMany(seed, count, threads, claim_fault::kNone);
  std::printf("%s\n", all.counts.ToString().c_str());
  if (all.violation.empty()) {
    std::printf("violations: none\n");
    return 0;
  }
  std::printf("violation at seed %llu: %s\n", static_cast<unsigned long long>(all.failed_seed),
              all.violation.c_str());
  return 1;
}

int PlayFaults(std::uint64_t seed, std::uint64_t count, unsigned threads) {
  int missed = 0;
  for (const claim_fault_name& each : kClaimFaults) {
    const played all = PlayMany(seed, count, threads, each.fault);
    const bool caught = !all.violation.empty();
    missed += !caught;
    std::printf("%-6s %-50s after %8llu schedules  %s\n", caught ? "caught" : "MISSED",
                std::string(each.name).c_str(),
                static_cast<unsigned long long>(all.counts.schedules), all.violation.c_str());
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

/** What a ticket costs its home, with answers of a usual size and without. */
int MeasureCost(std::uint64_t tickets, bool refused, std::size_t answer_bytes) {
  const std::uint64_t before = BytesInUse();
  const instant start = boot_clock::Now();
  claim_book book({.incarnation = 1, .ticket_bound = tickets}, start);
  random_source random(1);
  std::vector<claim_id> claims(tickets);
  for (claim_id& each : claims) {
    each = MintTicket({{}, 1, book.Window(start)}, 2, random).id;
  }
  const std::uint64_t with_list = BytesInUse();
  const instant begun = boot_clock::Now();
  for (const claim_id& each : claims) {
    if (refused) {
      book.Refuse(each, result_code::kRefusedOverload, start);
      continue;
    }
    book.Begin(each, start);
    book.HandOver(each, start);
    book.Complete(each, std::string(answer_bytes, 'a'), start);
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

int main(int count, char** words) {
  cxxopts::Options options("claims_explore", "Tries to make the claim code run something twice.");
  options.add_options()("schedules", "random schedules to play",
                        cxxopts::value<std::uint64_t>()->default_value("100000"))(
      "seed", "number of the first schedule", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "threads", "threads to play on", cxxopts::value<unsigned>()->default_value("1"))(
      "cost", "measure what a ticket costs its home")(
      "depth", "explore all interleavings of a small case to so many steps instead",
      cxxopts::value<int>())("faults", "play each deliberate fault until it is caught")(
      "help", "print this");
  try {
    const cxxopts::ParseResult chosen = options.parse(count, words);
    if (chosen.count("help") > 0) {
      std::printf("%s", options.help().c_str());
      return 0;
    }
    if (chosen.count("cost") > 0) {
      for (const std::uint64_t tickets : {1'000, 10'000, 50'000, 200'000}) {
        cuminferry::testing::MeasureCost(tickets, true, 0);
        cuminferry::testing::MeasureCost(tickets, false, 0);
        cuminferry::testing::MeasureCost(tickets, false, 512);
      }
      return 0;
    }
    const bool faults = chosen.count("faults") > 0;
    if (chosen.count("depth") > 0) {
      return cuminferry::testing::Explore(chosen["depth"].as<int>(), faults);
    }
    const auto play = faults ? cuminferry::testing::PlayFaults : cuminferry::testing::PlaySchedules;
    return play(chosen["seed"].as<std::uint64_t>(), chosen["schedules"].as<std::uint64_t>(),
                chosen["threads"].as<unsigned>());
  } catch (const cxxopts::exceptions::exception& problem) {
    std::fprintf(stderr, "%s\n", problem.what());
    return 2;
  }
}
