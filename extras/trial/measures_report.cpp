#include <cstdarg>
#include <cstdio>

#include "trial/measures.h"

namespace cuminferry::trial {
namespace {

using nlohmann::json;

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

__attribute__((format(printf, 2, 3))) void Print(std::string& text, const char* format, ...) {
  char line[256];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(line, sizeof(line), format, arguments);
  va_end(arguments);
  text += line;
}

}  // namespace

std::string ToText(const trial_measures& measures) {
  std::string text;
  Print(text, "control %s, seed %llu\n", measures.control.c_str(),
        static_cast<unsigned long long>(measures.seed));
  Print(text, "%-18s %6s %-6s %8s %8s %7s %7s %7s %7s %7s %8s %8s\n", "row", "weight", "phase",
        "offered", "good/s", "good%", "well%", "fail%", "notrun%", "unkn%", "p50 ms", "p99 ms");
  for (const row_measure& row : measures.rows) {
    Print(text, "%-18s %6u %-6s %8llu %8.1f %7.1f %7.1f %7.1f %7.1f %7.1f %8.0f %8.0f\n",
          row.row.c_str(), row.weight, row.phase.c_str(),
          static_cast<unsigned long long>(row.offered), row.goodput(),
          100 * Ratio(row.in_time, row.offered), 100 * row.completed_share(),
          100 * Ratio(row.failed, row.offered), 100 * Ratio(row.not_run, row.offered),
          100 * Ratio(row.unknown, row.offered), row.p50_ms, row.p99_ms);
  }
  Print(text,
        "goodput before %.1f/s, in the surge %.1f/s; over the bottleneck %.1f of %.1f/s (%.0f%%)\n",
        measures.before_goodput, measures.surge_goodput, measures.surge_bottleneck_goodput,
        measures.capacity,
        measures.capacity > 0 ? 100 * measures.surge_bottleneck_goodput / measures.capacity : 0.0);
  if (measures.recovery_seconds < 0) {
    Print(text, "recovery: not within the trial\n");
  } else {
    Print(text, "recovery: %.1f s\n", measures.recovery_seconds);
  }
  Print(text,
        "filings %llu: doubles %llu, unknown %llu; false not_run %llu, foreign or partial %llu\n",
        static_cast<unsigned long long>(measures.filings),
        static_cast<unsigned long long>(measures.doubles),
        static_cast<unsigned long long>(measures.unknown_filings),
        static_cast<unsigned long long>(measures.false_not_run),
        static_cast<unsigned long long>(measures.foreign));
  Print(text, "attempts that did not go well:");
  for (const code_count& count : measures.codes) {
    Print(text, " %s CF%d %llu,", count.outcome.c_str(), static_cast<int>(count.code),
          static_cast<unsigned long long>(count.attempts));
  }
  Print(text,
        "\nwork wasted %.1f%%, attempts per call %.3f, runs per call %.3f, refused out of order "
        "%llu of %llu\n",
        100 * measures.wasted_share, measures.call_amplification, measures.run_amplification,
        static_cast<unsigned long long>(measures.out_of_order),
        static_cast<unsigned long long>(measures.refusals_above_lowest));
  for (const node_cost& cost : measures.costs) {
    Print(text,
          "a node, %s: %.1f%% of a core, %.0f calls/s served, %.0f us a call, largest %.1f MB\n",
          cost.phase.c_str(), cost.processor_percent, cost.served_per_second, cost.micros_per_call,
          cost.largest_private_mb);
  }
  Print(text,
        "load tool: worst lag %.0f ms, arrivals not sent %llu, unreadable journal lines %llu\n",
        measures.worst_lag_ms, static_cast<unsigned long long>(measures.not_sent),
        static_cast<unsigned long long>(measures.unreadable_lines));
  return text;
}

json CostsToJson(std::span<const node_cost> costs) {
  json list = json::array();
  for (const node_cost& cost : costs) {
    list.push_back({{"phase", cost.phase},
                    {"processor_percent", cost.processor_percent},
                    {"served_per_second", cost.served_per_second},
                    {"micros_per_call", cost.micros_per_call},
                    {"largest_private_mb", cost.largest_private_mb}});
  }
  return list;
}

json trial_measures::ToJson() const {
  json all = json::array();
  for (const row_measure& row : rows) {
    all.push_back({{"row", row.row},
                   {"weight", row.weight},
                   {"phase", row.phase},
                   {"offered", row.offered},
                   {"well", row.well},
                   {"in_time", row.in_time},
                   {"failed", row.failed},
                   {"not_run", row.not_run},
                   {"unknown", row.unknown},
                   {"foreign", row.foreign},
                   {"goodput", row.goodput()},
                   {"p50_ms", row.p50_ms},
                   {"p99_ms", row.p99_ms}});
  }
  return {{"control", control},
          {"seed", seed},
          {"rows", all},
          {"before_goodput", before_goodput},
          {"surge_goodput", surge_goodput},
          {"surge_bottleneck_goodput", surge_bottleneck_goodput},
          {"capacity", capacity},
          {"recovery_seconds", recovery_seconds},
          {"filings", filings},
          {"doubles", doubles},
          {"unknown_filings", unknown_filings},
          {"false_not_run", false_not_run},
          {"foreign", foreign},
          {"wasted_share", wasted_share},
          {"run_amplification", run_amplification},
          {"call_amplification", call_amplification},
          {"node_costs", CostsToJson(costs)},
          {"out_of_order", out_of_order},
          {"refusals_above_lowest", refusals_above_lowest},
          {"not_sent", not_sent},
          {"worst_lag_ms", worst_lag_ms},
          {"arrived_each_second", arrived_each_second},
          {"well_each_second", well_each_second},
          {"unreadable_lines", unreadable_lines}};
}

}  // namespace cuminferry::trial
