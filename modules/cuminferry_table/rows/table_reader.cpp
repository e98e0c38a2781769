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

constexpr std::size_t kMostDomains = 64;
constexpr std::uint64_t kMostTargets = 10'000;
constexpr std::uint64_t kMostSlots = 100'000;
constexpr std::uint64_t kMostConnections = 100'000;
constexpr std::uint64_t kLargestWeight = 10'000;
constexpr std::uint64_t kLargestLimit = 100'000'000;
constexpr std::uint64_t kLongestDeadlineMs = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t kLargestAllowance = 10;
/** Answers are kept whole in memory between nodes and fit one frame. */
constexpr std::uint64_t kLargestAnswer = 16 << 20;

const std::array<std::string, 7> kAcceptedMethods = {"GET",   "HEAD",   "POST",   "PUT",
                                                     "PATCH", "DELETE", "OPTIONS"};

bool IsReadMethod(std::string_view method) { return method == "GET" || method == "HEAD"; }

bool ReadDomain(const json& value, std::string place, service_entry::domain_targets& into,
                problem_list& problems) {
  object_reader reader(value, std::move(place), kTableCodes, problems);
  const bool named = reader.Text("failure_domain", into.failure_domain, kRequired);
  const bool counted = reader.Number("targets", into.targets, 1, kMostTargets, kRequired);
  reader.RefuseOtherKeys();
  return named && counted;
}

void ReadDomains(object_reader& reader, service_entry& service, problem_list& problems) {
  const json* list = reader.List("domains", kRequired, kMostDomains);
  if (list == nullptr) {
    return;
  }
  const std::string place = reader.PlaceOf("domains");
  if (list->empty()) {
    problems.Add(result_code::kTableOutOfRange, place,
                 "no failure domain; accepted: 1 to " + std::to_string(kMostDomains));
  }
  for (std::size_t at = 0; at < list->size(); ++at) {
    service_entry::domain_targets domain;
    if (!ReadDomain((*list)[at], PlaceOfItem(place, at), domain, problems)) {
      continue;
    }
    if (std::ranges::find(service.domains, domain.failure_domain,
                          &service_entry::domain_targets::failure_domain) !=
        service.domains.end()) {
      problems.Add(result_code::kTableDuplicateRow, PlaceOfItem(place, at),
                   "the failure domain \"" + domain.failure_domain + "\" stands twice");
    }
    service.domains.push_back(std::move(domain));
  }
  // Shares of limits follow the order; an edit that only moves lines must not
  // move shares.
  std::ranges::sort(service.domains, {}, &service_entry::domain_targets::failure_domain);
}

/** A row whose author forgot the word must not run twice: methods that change
    something have to say it. */
void ReadIdempotent(object_reader& reader, request_row& row, problem_list& problems) {
  const bool may_be_left_out = row.method.empty() || IsReadMethod(row.method);
  if (!may_be_left_out && !reader.Has("idempotent")) {
    problems.Add(result_code::kTableMissingKey, reader.place(),
                 "the key \"idempotent\" is required for " + row.method +
                     "; false where running it twice does harm");
  }
  reader.Flag("idempotent", row.idempotent, kOptional);
}

void ReadPath(object_reader& reader, request_row& row, problem_list& problems) {
  // The pattern has an error code of its own, so its characters are checked there.
  constexpr text_rule kAnyPath{.longest = kLongestPattern,
                               .others = "/{}*-._~!$&'()+,;=:@% ?#[]|\\^"};
  if (!reader.Text("path", row.path_pattern, kRequired, kAnyPath)) {
    return;
  }
  const std::string fault = FaultOfPattern(row.path_pattern);
  if (!fault.empty()) {
    problems.Add(result_code::kTableBadPattern, reader.PlaceOf("path"),
                 "\"" + row.path_pattern + "\": " + fault);
  }
}

}  // namespace

read_service ReadService(const json& value, std::string place, problem_list& problems) {
  std::vector<table_problem> own;
  problem_list own_list(own);
  read_service read{{}, place, false};
  object_reader reader(value, std::move(place), kTableCodes, own_list);
  reader.Text("name", read.value.name, kRequired);
  ReadDomains(reader, read.value, own_list);
  reader.Number("slots", read.value.slots, 1, kMostSlots, kRequired);
  reader.Number("connections", read.value.connections, 1, kMostConnections, kRequired);
  reader.RefuseOtherKeys();
  read.whole = own.empty();
  problems.AddAll(own);
  return read;
}

read_row ReadRow(const json& value, std::string place, problem_list& problems) {
  std::vector<table_problem> own;
  problem_list own_list(own);
  read_row read{{}, place, false};
  request_row& row = read.value;
  object_reader reader(value, std::move(place), kTableCodes, own_list);
  reader.Text("name", row.name, kRequired);
  reader.Text("service", row.service, kRequired);
  reader.Choice("method", row.method, kRequired, kAcceptedMethods);
  ReadPath(reader, row, own_list);
  reader.Number("weight", row.weight, 0, kLargestWeight, kRequired);
  reader.Number("fleet_limit", row.fleet_limit, 0, kLargestLimit, kOptional);
  reader.Number("target_limit", row.target_limit, 0, kMostSlots, kOptional);
  std::uint64_t deadline_ms = static_cast<std::uint64_t>(row.deadline.count());
  reader.Number("deadline_ms", deadline_ms, 1, kLongestDeadlineMs, kOptional);
  row.deadline = std::chrono::milliseconds(deadline_ms);
  ReadIdempotent(reader, row, own_list);
  reader.Number("retry_allowance", row.retry_allowance, 0, kLargestAllowance, kOptional);
  reader.Number("largest_answer_bytes", row.largest_answer, 1, kLargestAnswer, kOptional);
  reader.RefuseOtherKeys();
  read.whole = own.empty();
  problems.AddAll(own);
  return read;
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
          {"largest_answer_bytes", row.largest_answer}};
}

}  // namespace cuminferry
