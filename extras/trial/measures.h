#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/load_record.h"
#include "trial/deployment_plan.h"
#include "trial/journal_reader.h"
#include "trial/process_cost.h"

namespace cuminferry::trial {

/** Outcomes of one row's whole requests in one phase. A request belongs to the phase in which it
    arrived. */
struct row_measure {
  std::string row;
  std::uint16_t weight = 0;
  std::string phase;
  std::uint64_t offered = 0;
  /** Requests that completed with the full answer. */
  std::uint64_t well = 0;
  /** Those of `well` that completed within the row's deadline, counted from their arrival. */
  std::uint64_t in_time = 0;
  std::uint64_t failed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /** Requests with a partial answer or with the answer to another request. */
  std::uint64_t foreign = 0;
  /** Length of the phase. */
  double seconds = 0.0;
  /** Latency of the requests in `well`, counted from their arrival, in milliseconds. */
  double p50_ms = 0.0;
  double p99_ms = 0.0;

  /** Whole requests per second that completed within their deadline. */
  double goodput() const { return seconds > 0 ? static_cast<double>(in_time) / seconds : 0.0; }
  double completed_share() const {
    return offered > 0 ? static_cast<double>(well) / static_cast<double>(offered) : 0.0;
  }
};

/** Counters of all nodes after a run, summed. */
struct node_counters {
  /** Calls that backend servers requested. */
  double called = 0.0;
  /** Attempts that nodes made for these calls. */
  double attempts = 0.0;
};

/** Number of callers' attempts with one outcome and result code. */
struct code_count {
  std::string outcome;
  result_code code = result_code::kOk;
  std::uint64_t attempts = 0;
};

/** The measures of one run of a trial. */
struct trial_measures {
  std::string control;
  std::uint64_t seed = 0;
  /** By descending weight, then by phase. */
  std::vector<row_measure> rows;
  /** Whole requests per second that completed within their deadline, by the time of their
      answer. */
  double surge_goodput = 0.0;
  double before_goodput = 0.0;
  /** The part of surge_goodput that needs the bottleneck. */
  double surge_bottleneck_goodput = 0.0;
  /** Whole requests per second that the bottleneck can complete. */
  double capacity = 0.0;
  /** Non-idempotent whole requests offered. */
  std::uint64_t filings = 0;
  /** Those of `filings` that took effect twice or more. */
  std::uint64_t doubles = 0;
  /** Attempts that were reported to the caller as not run although they ran. */
  std::uint64_t false_not_run = 0;
  std::uint64_t foreign = 0;
  /** Those of `filings` whose outcome is unknown to the caller. */
  std::uint64_t unknown_filings = 0;
  /** Share of the backend servers' working time spent on attempts that did not complete. */
  double wasted_share = 0.0;
  /** Runs in backend servers divided by the runs that the call graph requires. */
  double run_amplification = 0.0;
  /** Attempts between nodes divided by the calls that backend servers requested. */
  double call_amplification = 0.0;
  /** Outcomes and result codes of callers' attempts that did not complete, the most frequent
      first. */
  std::vector<code_count> codes;
  /** Refusals of a row because of load while a row of lower weight that needs the same bottleneck
      was admitted. */
  std::uint64_t out_of_order = 0;
  /** All refusals because of load, except those of the rows of the lowest weight. */
  std::uint64_t refusals_above_lowest = 0;
  /** Seconds from the end of the surge until the share of arrivals that complete promptly is
      again, and stays, at 95% of the share before the surge. A request completes promptly if its
      latency is at most twice its row's p99 before the surge. Negative if there was no recovery
      within the trial. */
  double recovery_seconds = -1.0;
  /** Arrivals that the load tool could not send because no caller was free. */
  std::uint64_t not_sent = 0;
  /** Longest time between an arrival and its first attempt. */
  double worst_lag_ms = 0.0;
  /** Whole requests that arrived, and those that completed within their deadline, by second of
      arrival. */
  std::vector<std::uint64_t> arrived_each_second;
  std::vector<std::uint64_t> well_each_second;
  /** Lines of the backend servers' journals that could not be parsed. */
  std::uint64_t unreadable_lines = 0;
  /** Average resource usage of a node in each phase. */
  std::vector<node_cost> costs;

  nlohmann::json ToJson() const;
};

/** Computes the measures from the outcomes that callers received and the journals of backend
    servers. Only the phases "before", "surge" and "after" are evaluated. */
trial_measures Measure(const deployment_plan& plan, const load::load_plan& load,
                       const load::load_result& result, const journal_contents& journal,
                       const node_counters& counters);

/** Formats the measures of one run as a readable table. */
std::string ToText(const trial_measures& measures);

}  // namespace cuminferry::trial
