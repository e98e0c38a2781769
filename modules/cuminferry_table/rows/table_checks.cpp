#include "cuminferry_table/rows/table_checks.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>
#include <vector>

#include "cuminferry_table/reading/json_text.h"
#include "cuminferry_table/reading/word_suggestion.h"
#include "cuminferry_table/rows/path_pattern.h"

namespace cuminferry {
namespace {

using enum result_code;

/** Reports every item that has the name of an earlier one. */
template <typename Item>
void CheckNames(std::span<const Item> items, problem_list& problems) {
  absl::flat_hash_map<std::string_view, std::string_view> locations;
  for (const Item& item : items) {
    if (item.value.name.empty()) {
      continue;
    }
    const auto [earlier, added] = locations.emplace(item.value.name, item.location);
    if (!added) {
      problems.Add(kTableDuplicateRow, item.location,
                   "the name \"" + item.value.name + "\" is taken by " +
                       std::string(earlier->second) + "; names are unique");
    }
  }
}

/** The valid rows of one service in their order, with the service; nullptr where the declaration of
    the service has problems. */
struct service_rows {
  const service_entry* service = nullptr;
  std::vector<const parsed_row*> rows;
};

void CheckPaths(const service_rows& group, problem_list& problems) {
  std::vector<request_row> rows;
  rows.reserve(group.rows.size());
  for (const parsed_row* row : group.rows) {
    rows.push_back(row->value);
  }
  const row_index rows_index(rows);
  for (std::uint32_t index = 0; index < rows.size(); ++index) {
    const auto shadowing = rows_index.FindShadowing(index);
    if (!shadowing.has_value()) {
      continue;
    }
    const parsed_row& earlier = *group.rows[*shadowing];
    const std::string earlier_row = "\"" + earlier.value.name + "\" (" + earlier.location + ")";
    if (MatchSamePaths(earlier.value.path_pattern, rows[index].path_pattern)) {
      problems.Add(kTableDuplicateRow, group.rows[index]->location,
                   "the same service, method and path as " + earlier_row + "; once is accepted");
    } else {
      problems.Add(kTableUnreachableRow, group.rows[index]->location,
                   "never taken: " + earlier_row + " matches all its requests first (" +
                       earlier.value.path_pattern + " before " + rows[index].path_pattern +
                       "); accepted: the narrower path before the wider one");
    }
  }
}

void CheckFleetLimit(const service_entry& service, const parsed_row& row, problem_list& problems) {
  const std::uint32_t limit = row.value.fleet_limit;
  const std::string location = PointerToMember(row.location, "fleet_limit");
  if (limit < service.domains.size()) {
    problems.Add(kTableUnreachableRow, location,
                 std::to_string(limit) + " running in " + std::to_string(service.domains.size()) +
                     " failure domains: at least one could run none; accepted: " +
                     std::to_string(service.domains.size()) + " or more, or 0 for no limit");
  }
  const std::uint64_t total_slots = std::uint64_t{service.TotalTargets()} * service.slots;
  if (limit > total_slots) {
    problems.Add(kTableContradictoryLimits, location,
                 std::to_string(limit) + " is more than the " + std::to_string(total_slots) +
                     " slots of all targets of \"" + service.name +
                     "\"; accepted: that or less, or 0 for no limit");
  }
}

void CheckTargetLimit(const service_entry& service, const parsed_row& row, problem_list& problems) {
  const std::uint32_t limit = row.value.target_limit;
  const std::string location = PointerToMember(row.location, "target_limit");
  if (limit > service.slots) {
    problems.Add(kTableContradictoryLimits, location,
                 std::to_string(limit) + " is more than the " + std::to_string(service.slots) +
                     " slots of a target of \"" + service.name +
                     "\"; accepted: that or less, or 0 for no limit");
  }
  if (row.value.fleet_limit != 0 && limit > row.value.fleet_limit) {
    problems.Add(kTableContradictoryLimits, location,
                 std::to_string(limit) + " at one target is more than the fleet_limit of " +
                     std::to_string(row.value.fleet_limit) + "; accepted: that or less");
  }
}

void CheckService(const parsed_service& service, problem_list& problems) {
  if (service.value.connections < service.value.slots) {
    problems.Add(kTableContradictoryLimits, PointerToMember(service.location, "connections"),
                 std::to_string(service.value.connections) + " connections cannot keep " +
                     std::to_string(service.value.slots) +
                     " slots busy; accepted: " + std::to_string(service.value.slots) + " or more");
  }
}

std::vector<std::string> NamesOf(std::span<const parsed_service> services) {
  std::vector<std::string> names;
  names.reserve(services.size());
  for (const parsed_service& service : services) {
    names.push_back(service.value.name);
  }
  return names;
}

void ReportUnknownService(const parsed_row& row, std::span<const std::string> names,
                          problem_list& problems) {
  constexpr std::size_t kMaxListedNames = 12;
  std::string detail = "\"" + row.value.service + "\" is not declared under services";
  const std::string suggestion = DidYouMean(row.value.service, names);
  detail += suggestion;
  if (names.size() <= kMaxListedNames && !names.empty()) {
    detail += (suggestion.empty() ? "; accepted: " : " Accepted: ") + JoinWords(names);
  }
  problems.Add(kTableUnknownService, PointerToMember(row.location, "service"), std::move(detail));
}

}  // namespace

void CheckTable(std::span<const parsed_service> services, std::span<const parsed_row> rows,
                problem_list& problems) {
  CheckNames(services, problems);
  CheckNames(rows, problems);
  const std::vector<std::string> names = NamesOf(services);
  absl::flat_hash_map<std::string_view, service_rows> groups;
  for (const parsed_service& service : services) {
    groups[service.value.name].service = service.is_valid ? &service.value : nullptr;
    if (service.is_valid) {
      CheckService(service, problems);
    }
  }
  std::vector<std::string_view> order;
  for (const parsed_row& row : rows) {
    const auto group = groups.find(row.value.service);
    if (group == groups.end() && !row.value.service.empty()) {
      ReportUnknownService(row, names, problems);
    } else if (group != groups.end() && row.is_valid) {
      if (group->second.rows.empty()) {
        order.push_back(group->first);
      }
      group->second.rows.push_back(&row);
    }
  }
  for (const std::string_view name : order) {
    const service_rows& group = groups[name];
    CheckPaths(group, problems);
    for (const parsed_row* row : group.rows) {
      if (group.service != nullptr && row->value.fleet_limit != 0) {
        CheckFleetLimit(*group.service, *row, problems);
      }
      if (group.service != nullptr && row->value.target_limit != 0) {
        CheckTargetLimit(*group.service, *row, problems);
      }
    }
  }
}

}  // namespace cuminferry
