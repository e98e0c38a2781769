#include "cuminferry_table/rows/table_checks.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>
#include <vector>

#include "cuminferry_table/reading/json_text.h"
#include "cuminferry_table/reading/near_miss.h"
#include "cuminferry_table/rows/path_pattern.h"

namespace cuminferry {
namespace {

using enum result_code;

/** Notes every item whose name an earlier one has. */
template <typename Item>
void CheckNames(std::span<const Item> items, problem_list& problems) {
  absl::flat_hash_map<std::string_view, std::string_view> places;
  for (const Item& item : items) {
    if (item.value.name.empty()) {
      continue;
    }
    const auto [earlier, added] = places.emplace(item.value.name, item.place);
    if (!added) {
      problems.Add(kTableDuplicateRow, item.place,
                   "the name \"" + item.value.name + "\" is taken by " +
                       std::string(earlier->second) + "; names are unique");
    }
  }
}

/** The rows of one service in their order, with the service where it is declared. */
struct service_rows {
  const service_entry* service = nullptr;
  std::vector<const read_row*> rows;
};

void CheckPaths(const service_rows& group, problem_list& problems) {
  std::vector<request_row> rows;
  rows.reserve(group.rows.size());
  for (const read_row* row : group.rows) {
    rows.push_back(row->value);
  }
  const row_index index(rows);
  for (std::uint32_t at = 0; at < rows.size(); ++at) {
    const auto shadowing = index.FindShadowing(at);
    if (!shadowing.has_value()) {
      continue;
    }
    const read_row& earlier = *group.rows[*shadowing];
    const std::string where = "\"" + earlier.value.name + "\" (" + earlier.place + ")";
    if (SamePaths(earlier.value.path_pattern, rows[at].path_pattern)) {
      problems.Add(kTableDuplicateRow, group.rows[at]->place,
                   "the same service, method and path as " + where + "; once is accepted");
    } else {
      problems.Add(kTableUnreachableRow, group.rows[at]->place,
                   "never taken: " + where + " matches all its requests first (" +
                       earlier.value.path_pattern + " before " + rows[at].path_pattern +
                       "); accepted: the narrower path before the wider one");
    }
  }
}

void CheckFleetLimit(const service_entry& service, const read_row& row, problem_list& problems) {
  const std::uint32_t limit = row.value.fleet_limit;
  const std::string place = PlaceOfMember(row.place, "fleet_limit");
  if (limit < service.domains.size()) {
    problems.Add(kTableUnreachableRow, place,
                 std::to_string(limit) + " running in " + std::to_string(service.domains.size()) +
                     " failure domains: at least one could run none; accepted: " +
                     std::to_string(service.domains.size()) + " or more, or 0 for no limit");
  }
  const std::uint64_t most = std::uint64_t{service.TotalTargets()} * service.slots;
  if (limit > most) {
    problems.Add(kTableContradictoryLimits, place,
                 std::to_string(limit) + " is more than the " + std::to_string(most) +
                     " slots of all targets of \"" + service.name +
                     "\"; accepted: that or less, or 0 for no limit");
  }
}

void CheckTargetLimit(const service_entry& service, const read_row& row, problem_list& problems) {
  const std::uint32_t limit = row.value.target_limit;
  const std::string place = PlaceOfMember(row.place, "target_limit");
  if (limit > service.slots) {
    problems.Add(kTableContradictoryLimits, place,
                 std::to_string(limit) + " is more than the " + std::to_string(service.slots) +
                     " slots of a target of \"" + service.name +
                     "\"; accepted: that or less, or 0 for no limit");
  }
  if (row.value.fleet_limit != 0 && limit > row.value.fleet_limit) {
    problems.Add(kTableContradictoryLimits, place,
                 std::to_string(limit) + " at one target is more than the fleet_limit of " +
                     std::to_string(row.value.fleet_limit) + "; accepted: that or less");
  }
}

void CheckService(const read_service& service, problem_list& problems) {
  if (service.value.connections < service.value.slots) {
    problems.Add(kTableContradictoryLimits, PlaceOfMember(service.place, "connections"),
                 std::to_string(service.value.connections) + " connections cannot keep " +
                     std::to_string(service.value.slots) +
                     " slots busy; accepted: " + std::to_string(service.value.slots) + " or more");
  }
}

std::vector<std::string> NamesOf(std::span<const read_service> services) {
  std::vector<std::string> names;
  names.reserve(services.size());
  for (const read_service& service : services) {
    names.push_back(service.value.name);
  }
  return names;
}

void ReportUnknownService(const read_row& row, std::span<const std::string> names,
                          problem_list& problems) {
  constexpr std::size_t kMostListed = 12;
  std::string detail = "\"" + row.value.service + "\" is not declared under services";
  const std::string near = DidYouMean(row.value.service, names);
  detail += near;
  if (names.size() <= kMostListed && !names.empty()) {
    detail += (near.empty() ? "; accepted: " : " Accepted: ") + JoinWords(names);
  }
  problems.Add(kTableUnknownService, PlaceOfMember(row.place, "service"), std::move(detail));
}

}  // namespace

void CheckTable(std::span<const read_service> services, std::span<const read_row> rows,
                problem_list& problems) {
  CheckNames(services, problems);
  CheckNames(rows, problems);
  const std::vector<std::string> names = NamesOf(services);
  absl::flat_hash_map<std::string_view, service_rows> groups;
  for (const read_service& service : services) {
    groups[service.value.name].service = service.whole ? &service.value : nullptr;
    if (service.whole) {
      CheckService(service, problems);
    }
  }
  std::vector<std::string_view> order;
  for (const read_row& row : rows) {
    const auto group = groups.find(row.value.service);
    if (group == groups.end() && !row.value.service.empty()) {
      ReportUnknownService(row, names, problems);
    } else if (group != groups.end() && row.whole) {
      if (group->second.rows.empty()) {
        order.push_back(group->first);
      }
      group->second.rows.push_back(&row);
    }
  }
  for (const std::string_view name : order) {
    const service_rows& group = groups[name];
    CheckPaths(group, problems);
    for (const read_row* row : group.rows) {
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
