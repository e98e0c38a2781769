#include <algorithm>
#include <nlohmann/json.hpp>

#include "ctl/commands/commands.h"
#include "ctl/fleet/node_list.h"
#include "ctl/output/text_grid.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry::ctl {
namespace {

using json = nlohmann::ordered_json;

void DeclareJson(cxxopts::Options& options) {
  options.add_options()("json", "machine-readable output");
}

json ProblemsToJson(std::span<const table_problem> problems) {
  json list = json::array();
  for (const table_problem& problem : problems) {
    list.push_back({{"code", static_cast<int>(problem.code)},
                    {"name", DescribeResultCode(problem.code).name},
                    {"place", problem.location},
                    {"detail", problem.detail}});
  }
  return list;
}

void PrintProblems(const std::string& file, std::span<const table_problem> problems,
                   std::ostream& out) {
  for (const table_problem& problem : problems) {
    out << file << ": " << DescribeProblem(problem) << "\n";
  }
}

/** Reads a table; prints its problems and fails if it is invalid. */
exit_code ReadTable(const std::string& file, streams output, policy_table& into) {
  std::string text;
  if (!ReadFile(file, output, text)) {
    return exit_code::kFileUnreadable;
  }
  std::vector<table_problem> problems;
  auto table = policy_table::Parse(text, problems);
  if (!table.ok()) {
    PrintProblems(file, problems, output.err);
    return exit_code::kFoundProblems;
  }
  into = *std::move(table);
  return exit_code::kDone;
}

std::size_t CountRows(const policy_table& table) {
  std::size_t rows = 0;
  for (const table_shard& shard : table.shards()) {
    rows += shard.rows.size();
  }
  return rows;
}

//==============================================================================
exit_code CheckTableFile(const cxxopts::ParseResult& parsed, streams output) {
  std::vector<std::string> arguments;
  if (!ReadArguments(parsed, 1, output, arguments)) {
    return exit_code::kBadCommandLine;
  }
  const std::string& file = arguments[0];
  std::string text;
  if (!ReadFile(file, output, text)) {
    return exit_code::kFileUnreadable;
  }
  std::vector<table_problem> problems;
  const auto table = policy_table::Parse(text, problems);
  if (parsed.count("json") > 0) {
    output.out << json{{"file", file},
                       {"accepted", table.ok()},
                       {"problems", ProblemsToJson(problems)}}
                      .dump(2)
               << "\n";
  } else if (table.ok()) {
    output.out << file << ": accepted: version " << table->version() << ", "
               << table->shards().size() << " services, " << CountRows(*table) << " rows\n";
  } else {
    PrintProblems(file, problems, output.out);
    output.out << file << ": " << problems.size() << " problems; no node would take it\n";
  }
  return table.ok() ? exit_code::kDone : exit_code::kFoundProblems;
}

//==============================================================================
json ChangesToJson(std::span<const table_change> changes) {
  json list = json::array();
  for (const table_change& change : changes) {
    const auto value = [](const std::string& text) {
      return text.empty() ? json() : json::parse(text);
    };
    list.push_back({{"service", change.service},
                    {"row", change.row},
                    {"field", change.field},
                    {"before", value(change.before)},
                    {"after", value(change.after)},
                    {"effect", change.effect}});
  }
  return list;
}

void PrintChanges(std::span<const table_change> changes, std::ostream& out) {
  std::string service;
  for (const table_change& change : changes) {
    if (change.service != service) {
      service = change.service;
      out << "service " << service << " (its nodes, and those that call it)\n";
    }
    out << "  " << (change.row.empty() ? change.field : change.row);
    const bool has_values = !change.before.empty() && !change.after.empty();
    if (has_values) {
      out << (change.row.empty() ? " " : ": " + change.field + " ") << change.before << " -> "
          << change.after;
    }
    out << ": " << change.effect << "\n";
  }
}

exit_code DiffTableFiles(const cxxopts::ParseResult& parsed, streams output) {
  std::vector<std::string> arguments;
  if (!ReadArguments(parsed, 2, output, arguments)) {
    return exit_code::kBadCommandLine;
  }
  policy_table before;
  policy_table after;
  for (const auto& [file, table] :
       {std::pair(arguments[0], &before), std::pair(arguments[1], &after)}) {
    const exit_code read = ReadTable(file, output, *table);
    if (read != exit_code::kDone) {
      return read;
    }
  }
  const std::vector<table_change> changes = DiffTables(before, after);
  const bool would_be_accepted = after.version() > before.version();
  if (parsed.count("json") > 0) {
    output.out << json{{"before_version", before.version()},
                       {"after_version", after.version()},
                       {"would_be_taken", would_be_accepted},
                       {"changes", ChangesToJson(changes)}}
                      .dump(2)
               << "\n";
  } else {
    output.out << "version " << before.version() << " -> " << after.version() << ": "
               << (changes.empty() ? std::string("no differences")
                                   : std::to_string(changes.size()) + " differences")
               << "\n";
    PrintChanges(changes, output.out);
  }
  if (!would_be_accepted && !changes.empty()) {
    PrintError(output, result_code::kTableVersionOlder,
               "nodes with version " + std::to_string(before.version()) +
                   " would not take version " + std::to_string(after.version()) +
                   "; raise it above");
    return exit_code::kFoundProblems;
  }
  return exit_code::kDone;
}

//==============================================================================
std::string LimitCell(std::uint32_t limit) { return limit == 0 ? "-" : std::to_string(limit); }

void PrintServices(const policy_table& table, std::ostream& out) {
  text_grid grid;
  grid.AddHeading({"SERVICE", "TARGETS", "SLOTS", "CONNECTIONS", "FAILURE DOMAINS"});
  for (const table_shard& shard : table.shards()) {
    std::string domains;
    for (const auto& domain : shard.service.domains) {
      domains += (domains.empty() ? "" : ", ") + domain.failure_domain + " " +
                 std::to_string(domain.targets);
    }
    grid.AddRow({shard.service.name, std::to_string(shard.service.TotalTargets()),
                 std::to_string(shard.service.slots), std::to_string(shard.service.connections),
                 domains});
  }
  grid.Print(out);
}

void PrintRows(const policy_table& table, bool by_weight, std::ostream& out) {
  std::vector<request_row> rows;
  for (const table_shard& shard : table.shards()) {
    rows.insert(rows.end(), shard.rows.begin(), shard.rows.end());
  }
  if (by_weight) {
    std::ranges::stable_sort(rows, std::greater<>(), &request_row::weight);
  }
  text_grid grid;
  grid.AddHeading({"ROW", "SERVICE", "REQUEST", "WEIGHT", "FLEET", "TARGET", "DEADLINE MS", "ONCE",
                   "RETRIES", "ANSWER BYTES"});
  for (const request_row& row : rows) {
    grid.AddRow({row.name, row.service, row.method + " " + row.path_pattern,
                 std::to_string(row.weight), LimitCell(row.fleet_limit),
                 LimitCell(row.target_limit), std::to_string(row.deadline.count()),
                 row.idempotent ? "-" : "yes", std::to_string(row.retry_allowance),
                 std::to_string(row.max_answer_bytes)});
  }
  grid.Print(out);
}

exit_code ShowTableFile(const cxxopts::ParseResult& parsed, streams output) {
  std::vector<std::string> arguments;
  if (!ReadArguments(parsed, 1, output, arguments)) {
    return exit_code::kBadCommandLine;
  }
  policy_table table;
  const exit_code read = ReadTable(arguments[0], output, table);
  if (read != exit_code::kDone) {
    return read;
  }
  if (parsed.count("json") > 0) {
    output.out << table.ToJson();
    return exit_code::kDone;
  }
  output.out << "version " << table.version() << "\n\n";
  PrintServices(table, output.out);
  output.out << "\n";
  PrintRows(table, parsed.count("by-weight") > 0, output.out);
  return exit_code::kDone;
}

}  // namespace

std::vector<command> TableCommands() {
  return {
      {.name = "table check",
       .arguments = "FILE",
       .summary = "check a table as every node would; all problems are listed",
       .examples = "example:\n  cuminferry-ctl table check examples/donauried.table.jsonc\n",
       .declare = DeclareJson,
       .run = CheckTableFile},
      {.name = "table diff",
       .arguments = "OLD NEW",
       .summary = "what an edit changes for whom, in words",
       .examples = "example:\n  cuminferry-ctl table diff table.before.jsonc table.jsonc\n",
       .declare = DeclareJson,
       .run = DiffTableFiles},
      {.name = "table show",
       .arguments = "FILE",
       .summary = "a table as a grid",
       .examples =
           "example:\n  cuminferry-ctl table show --by-weight examples/quebec.table.jsonc\n",
       .declare =
           [](cxxopts::Options& options) {
             DeclareJson(options);
             options.add_options()("by-weight", "the last to be refused first");
           },
       .run = ShowTableFile},
  };
}

}  // namespace cuminferry::ctl
