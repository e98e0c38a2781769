// Starts fleets of node processes on the loopback interface with a stand-in for the platform.
// Measures how long edits of the table take to propagate and which resources the nodes use.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "fleet_bench/bench_fleet.h"
#include "fleet_bench/bench_node.h"

namespace cuminferry::fleet_bench {
namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds kStartTimeout{60};
constexpr std::chrono::seconds kEditTimeout{30};

struct bench_plan {
  fleet_shape shape;
  int edits = 100;
  std::chrono::milliseconds between_edits{500};
  std::chrono::seconds idle{10};
  bool whole_table = false;
};

double QuantileMillis(std::vector<duration> times, double quantile) {
  if (times.empty()) {
    return 0.0;
  }
  std::sort(times.begin(), times.end());
  const auto last = static_cast<double>(times.size() - 1);
  return static_cast<double>(
             times[static_cast<std::size_t>(std::lround(last * quantile))].count()) /
         1000.0;
}

json ToJson(const node_usage& usage) {
  return {{"cpu_percent_of_a_core", usage.cpu_percent},
          {"cpu_percent_of_the_busiest", usage.largest_cpu_percent},
          {"bytes_per_second", usage.bytes_per_second},
          {"platform_reads_per_second_of_the_fleet", usage.fleet_platform_reads_per_second},
          {"resident_kb", usage.resident_kilobytes},
          {"private_kb", usage.private_kilobytes},
          {"private_kb_of_the_largest", usage.largest_private_kilobytes},
          {"peers", usage.peers}};
}

void PrintUsage(const char* when, const node_usage& usage) {
  std::printf(
      "  %-7s cpu %6.3f%% (busiest %6.3f%%)  %7.0f B/s  platform %6.1f reads/s of the fleet  "
      "%5.1f MB resident, %5.1f MB private  %4.0f peers\n",
      when, usage.cpu_percent, usage.largest_cpu_percent, usage.bytes_per_second,
      usage.fleet_platform_reads_per_second, usage.resident_kilobytes / 1024.0,
      usage.private_kilobytes / 1024.0, usage.peers);
}

// Measures one fleet: its start, an idle phase, and edits. Returns null if the fleet did not start.
json Measure(const bench_plan& plan) {
  bench_fleet fleet(plan.shape);
  if (!fleet.Start(kStartTimeout)) {
    std::printf("%zu nodes: not all had their tables after a minute\n", plan.shape.nodes);
    return {};
  }
  const double start_millis = QuantileMillis(fleet.propagation_times(), 1.0);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  fleet.MeasureUsage();
  std::this_thread::sleep_for(plan.idle);
  const node_usage idle = fleet.MeasureUsage();
  const std::size_t before = fleet.propagation_times().size();
  std::vector<duration> on_all;
  int missed = 0;
  for (int edit = 0; edit < plan.edits; ++edit) {
    const auto service = static_cast<std::size_t>(edit) % plan.shape.services;
    fleet.Edit(plan.whole_table ? std::nullopt : std::optional(service));
    const std::optional<duration> elapsed = fleet.AwaitInForce(kEditTimeout);
    missed += elapsed.has_value() ? 0 : 1;
    on_all.push_back(elapsed.value_or(kEditTimeout));
    std::this_thread::sleep_for(plan.between_edits);
  }
  const node_usage busy = fleet.MeasureUsage();
  const std::vector<duration> each(
      fleet.propagation_times().begin() + static_cast<std::ptrdiff_t>(before),
      fleet.propagation_times().end());
  std::printf("%zu nodes, %zu services, %zu followed, %zu rows: started in %.0f ms\n",
              plan.shape.nodes, plan.shape.services, plan.shape.called_services + 1,
              plan.shape.rows, start_millis);
  std::printf(
      "  edit in force on all: p50 %.0f ms, p99 %.0f ms, max %.0f ms over %d edits, "
      "%d missed; on one node p99 %.0f ms\n",
      QuantileMillis(on_all, 0.5), QuantileMillis(on_all, 0.99), QuantileMillis(on_all, 1.0),
      plan.edits, missed, QuantileMillis(each, 0.99));
  PrintUsage("idle", idle);
  PrintUsage("edits", busy);
  return {{"nodes", plan.shape.nodes},
          {"services", plan.shape.services},
          {"follows", plan.shape.called_services},
          {"rows", plan.shape.rows},
          {"index_only", plan.shape.index_only},
          {"start_ms", start_millis},
          {"edits", plan.edits},
          {"edits_missed", missed},
          {"edit_on_all_ms",
           {{"p50", QuantileMillis(on_all, 0.5)},
            {"p99", QuantileMillis(on_all, 0.99)},
            {"max", QuantileMillis(on_all, 1.0)}}},
          {"edit_on_one_p99_ms", QuantileMillis(each, 0.99)},
          {"idle", ToJson(idle)},
          {"during_edits", ToJson(busy)}};
}

endpoint ParseEndpoint(const std::string& text) {
  endpoint at;
  if (!endpoint::Parse(text, at)) {
    throw std::invalid_argument("not an address and port: " + text);
  }
  return at;
}

int RunNode(const cxxopts::ParseResult& parsed) {
  bench_node_settings settings;
  settings.node.instance = parsed["instance"].as<std::string>();
  settings.node.service = parsed["service"].as<std::string>();
  settings.node.failure_domain = parsed["domain"].as<std::string>();
  settings.node.region = parsed["region"].as<std::string>();
  settings.node.peer = ParseEndpoint(parsed["peer"].as<std::string>());
  settings.node.platform = {ParseEndpoint(parsed["platform"].as<std::string>())};
  settings.node.seeds = {ParseEndpoint(parsed["seed"].as<std::string>())};
  settings.followed_services = parsed["follow"].as<std::vector<std::string>>();
  const absl::Status status = bench_node(std::move(settings)).Run();
  if (!status.ok()) {
    std::cerr << status << "\n";
  }
  return status.ok() ? 0 : 1;
}

int RunBench(const cxxopts::ParseResult& parsed) {
  json results = json::array();
  for (const std::size_t nodes : parsed["nodes"].as<std::vector<std::size_t>>()) {
    bench_plan plan;
    plan.shape.nodes = nodes;
    plan.shape.services = parsed["services"].as<std::size_t>();
    plan.shape.domains = parsed["domains"].as<std::size_t>();
    plan.shape.regions = parsed["regions"].as<std::size_t>();
    plan.shape.called_services = parsed["follows"].as<std::size_t>();
    plan.shape.rows = parsed["rows"].as<std::size_t>();
    plan.shape.index_only = parsed["index-only"].as<std::size_t>();
    plan.edits = parsed["edits"].as<int>();
    plan.between_edits = std::chrono::milliseconds(parsed["between-ms"].as<int>());
    plan.idle = std::chrono::seconds(parsed["idle-s"].as<int>());
    plan.whole_table = parsed.count("whole-table") > 0;
    results.push_back(Measure(plan));
    std::fflush(stdout);
  }
  if (parsed.count("json") > 0) {
    std::ofstream(parsed["json"].as<std::string>()) << results.dump(2) << "\n";
  }
  return std::any_of(results.begin(), results.end(), [](const json& one) { return one.is_null(); })
             ? 1
             : 0;
}

int Main(int count, char** words) {
  using cxxopts::value;
  cxxopts::Options options("cuminferry-fleet-bench",
                           "Measures how edits of the table spread over a fleet of processes");
  options.add_options()("help", "print this")(
      "nodes", "fleets to start, by nodes", value<std::vector<std::size_t>>()->default_value("8"))(
      "services", "services", value<std::size_t>()->default_value("4"))(
      "domains", "failure domains", value<std::size_t>()->default_value("4"))(
      "regions", "regions", value<std::size_t>()->default_value("1"))(
      "follows", "services that each node calls", value<std::size_t>()->default_value("1"))(
      "rows", "rows of each service", value<std::size_t>()->default_value("5"))(
      "index-only", "further services that the index lists",
      value<std::size_t>()->default_value("0"))(
      "edits", "edits", value<int>()->default_value("100"))("between-ms", "pause after each edit",
                                                            value<int>()->default_value("500"))(
      "idle-s", "length of the idle phase", value<int>()->default_value("10"))(
      "whole-table", "each edit changes all services")("json", "file for the figures",
                                                       value<std::string>());
  options.add_options("one node")("node", "be one node")("instance", "", value<std::string>())(
      "service", "", value<std::string>())("domain", "", value<std::string>())(
      "region", "", value<std::string>())("peer", "", value<std::string>())(
      "platform", "", value<std::string>())("seed", "", value<std::string>())(
      "follow", "", value<std::vector<std::string>>());
  const cxxopts::ParseResult parsed = options.parse(count, words);
  if (parsed.count("help") > 0) {
    std::cout << options.help({""});
    return 0;
  }
  return parsed.count("node") > 0 ? RunNode(parsed) : RunBench(parsed);
}

}  // namespace
}  // namespace cuminferry::fleet_bench

int main(int count, char** words) {
  try {
    return cuminferry::fleet_bench::Main(count, words);
  } catch (const std::exception& failure) {
    std::cerr << "CF206: " << failure.what() << "\n";
    return 2;
  }
}
