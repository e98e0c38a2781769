#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/load_record.h"
#include "trial/deployment_plan.h"
#include "trial/journal_reader.h"
#include "trial/process_cost.h"

namespace cuminferry::trial {

/** What became of one row's whole requests in one phase. Requests belong to the
    phase in which they arrived. */
struct row_measure {
  std::string row;
  std::uint16_t weight = 0;
  std::string phase;
  std::uint64_t offered = 0;
  std::uint64_t well = 0;
  /** Of these: within the row's deadline from the arrival. */
  std::uint64_t in_time = 0;
  std::uint64_t failed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t foreign = 0;
  double seconds = 0.0;
  /** Latency of those that went well, from arrival, in milliseconds. */
  double p50_ms = 0.0;
  double p99_ms = 0.0;

  /** Whole requests a second that went well in time. */
  double goodput() const { return seconds > 0 ? static_cast<double>(in_time) / seconds : 0.0; }
  double share_well() const {
    return offered > 0 ? static_cast<double>(well) / static_cast<double>(offered) : 0.0;
  }
};

/** What the nodes' own counters say after a run, summed. */
struct node_counters {
  /** Calls that backend servers asked for, and attempts that nodes made for them. */
  double called = 0.0;
  double attempts = 0.0;
};

/** How many attempts of callers ended with one code. */
struct code_count {
  std::string end;
  result_code code = result_code::kOk;
  std::uint64_t attempts = 0;
};

/** The measures of one run of a trial. */
struct trial_measures {
  std::string control;
  std::uint64_t seed = 0;
  /** By descending weight, then by phase. */
  std::vector<row_measure> rows;
  /** Whole requests a second that went well, and what the bottleneck could complete. */
  double surge_goodput = 0.0;
  double before_goodput = 0.0;
  /** Of those that cross the bottleneck only. */
  double surge_bottleneck_goodput = 0.0;
  double capacity = 0.0;
  /** Non-idempotent whole requests offered, and those that took effect twice or more. */
  std::uint64_t filings = 0;
  std::uint64_t doubles = 0;
  /** Attempts whose callers were told "not run" although they ran. */
  std::uint64_t false_not_run = 0;
  std::uint64_t foreign = 0;
  std::uint64_t unknown_filings = 0;
  /** Part of the backend servers' working time spent for attempts that did not go well. */
  double wasted_share = 0.0;
  /** Runs in backend servers over those that the call graph asks for. */
  double run_amplification = 0.0;
  /** Attempts between nodes over calls that backend servers asked for. */
  double call_amplification = 0.0;
  /** How callers' attempts ended that did not go well, the most frequent first. */
  std::vector<code_count> codes;
  /** Refusals for load of a row while a lower one of the same bottleneck was admitted,
      over all refusals of rows that have a lower one. */
  std::uint64_t out_of_order = 0;
  std::uint64_t refusals_above_lowest = 0;
  /** Seconds from the end of the surge until 95% of the former share of arrivals
      goes well again, as quickly as before, and goes on doing so; negative where
      that did not come. As quickly: within twice the p99 of its row before. */
  double recovery_seconds = -1.0;
  std::uint64_t not_sent = 0;
  double worst_lag_ms = 0.0;
  /** Whole requests arrived and gone well, by second of arrival. */
  std::vector<std::uint64_t> arrived_each_second;
  std::vector<std::uint64_t> well_each_second;
  std::uint64_t unreadable_lines = 0;
  /** What a node cost in each phase. */
  std::vector<node_cost> costs;

  nlohmann::json ToJson() const;
};

/** Works the measures out of what callers were told and what backend servers did.
    Phases are "before", "surge" and "after"; others are left out. */
trial_measures Measure(const deployment_plan& plan, const load::load_plan& load,
                       const load::load_result& result, const journal_text& journal,
                       const node_counters& counters);

/** The measures of one run as text for people. */
std::string ToText(const trial_measures& measures);

}  // namespace cuminferry::trial
