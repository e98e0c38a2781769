#include "cuminferry_table/rows/table_reader.h"

#include <algorithm>
#include <array>
#include <utility>

#include "cuminferry_table/reading/object_reader.h"
#include "cuminferry_table/rows/path_pattern.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;
using enum presence;

constexpr std::size_t kMaxDomains = 64;
constexpr std::uint64_t kMaxTargets = 10'000;
constexpr std::uint64_t kMaxSlots = 100'000;
constexpr std::uint64_t kMaxConnections = 100'000;
constexpr std::uint64_t kMaxWeight = 10'000;
constexpr std::uint64_t kMaxFleetLimit = 100'000'000;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t kMaxRetryAllowance = 10;
/** Nodes hold a whole answer in memory and send it in one frame. */
constexpr std::uint64_t kMaxAnswerBytes = 16 << 20;

const std::array<std::string, 7> kAcceptedMethods = {"GET",   "HEAD",   "POST",   "PUT",
                                                     "PATCH", "DELETE", "OPTIONS"};

bool IsReadOnlyMethod(std::string_view method) { return method == "GET" || method == "HEAD"; }

bool ReadDomain(const json& value, std::string location, service_entry::domain_targets& destination,
                problem_list& problems) {
  object_reader reader(value, std::move(location), kTableCodes, problems);
  const bool has_name = reader.Text("failure_domain", destination.failure_domain, kRequired);
  const bool has_targets = reader.Number("targets", destination.targets, 1, kMaxTargets, kRequired);
  reader.ReportUnknownKeys();
  return has_name && has_targets;
}

void ReadDomains(object_reader& reader, service_entry& service, problem_list& problems) {
  const json* list = reader.List("domains", kRequired, kMaxDomains);
  if (list == nullptr) {
    return;
  }
  const std::string location = reader.LocationOf("domains");
  if (list->empty()) {
    problems.Add(result_code::kTableOutOfRange, location,
                 "no failure domain; accepted: 1 to " + std::to_string(kMaxDomains));
  }
  for (std::size_t index = 0; index < list->size(); ++index) {
    service_entry::domain_targets domain;
    if (!ReadDomain((*list)[index], PointerToItem(location, index), domain, problems)) {
      continue;
    }
    if (std::ranges::find(service.domains, domain.failure_domain,
                          &service_entry::domain_targets::failure_domain) !=
        service.domains.end()) {
      problems.Add(result_code::kTableDuplicateRow, PointerToItem(location, index),
                   "the failure domain \"" + domain.failure_domain + "\" stands twice");
    }
    service.domains.push_back(std::move(domain));
  }
  // The shares of limits depend on the order of the domains. Sorting them keeps the shares
  // unchanged when an edit only reorders lines.
  std::ranges::sort(service.domains, {}, &service_entry::domain_targets::failure_domain);
}

/** Reads "idempotent", which is required for methods that change something: a default of true would
    let such a request run twice where the author forgot the key. */
void ReadIdempotent(object_reader& reader, request_row& row, problem_list& problems) {
  const bool is_optional = row.method.empty() || IsReadOnlyMethod(row.method);
  if (!is_optional && !reader.HasKey("idempotent")) {
    problems.Add(result_code::kTableMissingKey, reader.location(),
                 "the key \"idempotent\" is required for " + row.method +
                     "; false where running it twice does harm");
  }
  reader.Flag("idempotent", row.idempotent, kOptional);
}

void ReadPath(object_reader& reader, request_row& row, problem_list& problems) {
  // This rule accepts every character that a mistyped pattern is likely to contain, as an invalid
  // pattern has an error code of its own.
  constexpr text_rule kPathRule{.max_length = kMaxPatternLength,
                                .other_characters = "/{}*-._~!$&'()+,;=:@% ?#[]|\\^"};
  if (!reader.Text("path", row.path_pattern, kRequired, kPathRule)) {
    return;
  }
  const std::string error = DescribePatternError(row.path_pattern);
  if (!error.empty()) {
    problems.Add(result_code::kTableBadPattern, reader.LocationOf("path"),
                 "\"" + row.path_pattern + "\": " + error);
  }
}

}  // namespace

parsed_service ReadService(const json& value, std::string location, problem_list& problems) {
  std::vector<table_problem> own_problems;
  problem_list own_list(own_problems);
  parsed_service result{{}, location, false};
  object_reader reader(value, std::move(location), kTableCodes, own_list);
  reader.Text("name", result.value.name, kRequired);
  ReadDomains(reader, result.value, own_list);
  reader.Number("slots", result.value.slots, 1, kMaxSlots, kRequired);
  reader.Number("connections", result.value.connections, 1, kMaxConnections, kRequired);
  reader.ReportUnknownKeys();
  result.is_valid = own_problems.empty();
  problems.AddAll(own_problems);
  return result;
}

parsed_row ReadRow(const json& value, std::string location, problem_list& problems) {
  std::vector<table_problem> own_problems;
  problem_list own_list(own_problems);
  parsed_row result{{}, location, false};
  request_row& row = result.value;
  object_reader reader(value, std::move(location), kTableCodes, own_list);
  reader.Text("name", row.name, kRequired);
  reader.Text("service", row.service, kRequired);
  reader.Choice("method", row.method, kRequired, kAcceptedMethods);
  ReadPath(reader, row, own_list);
  reader.Number("weight", row.weight, 0, kMaxWeight, kRequired);
  reader.Number("fleet_limit", row.fleet_limit, 0, kMaxFleetLimit, kOptional);
  reader.Number("target_limit", row.target_limit, 0, kMaxSlots, kOptional);
  std::uint64_t deadline_ms = static_cast<std::uint64_t>(row.deadline.count());
  reader.Number("deadline_ms", deadline_ms, 1, kMaxDeadlineMs, kOptional);
  row.deadline = std::chrono::milliseconds(deadline_ms);
  ReadIdempotent(reader, row, own_list);
  reader.Number("retry_allowance", row.retry_allowance, 0, kMaxRetryAllowance, kOptional);
  reader.Number("largest_answer_bytes", row.max_answer_bytes, 1, kMaxAnswerBytes, kOptional);
  reader.ReportUnknownKeys();
  result.is_valid = own_problems.empty();
  problems.AddAll(own_problems);
  return result;
}

json ServiceToJson(const service_entry& service) {
  json domains = json::array();
  for (const service_entry::domain_targets& domain : service.domains) {
    domains.push_back({{"failure_domain", domain.failure_domain}, {"targets", domain.targets}});
  }
  return {{"name", service.name},
          {"domains", std::move(domains)},
          {"slots", service.slots},
          {"connections", service.connections}};
}

json RowToJson(const request_row& row) {
  return {{"name", row.name},
          {"service", row.service},
          {"method", row.method},
          {"path", row.path_pattern},
          {"weight", row.weight},
          {"fleet_limit", row.fleet_limit},
          {"target_limit", row.target_limit},
          {"deadline_ms", row.deadline.count()},
          {"idempotent", row.idempotent},
          {"retry_allowance", row.retry_allowance},
          {"largest_answer_bytes", row.max_answer_bytes}};
}

}  // namespace cuminferry
