#include "trial/deployment_plan.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace cuminferry::trial {
namespace {

using json = nlohmann::json;

constexpr double kMicrosPerSecond = 1e6;

absl::StatusOr<std::string> ReadText(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return MakeStatus(result_code::kSettingsFileUnreadable, file);
  }
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string FolderOf(const std::string& file) {
  const std::size_t slash = file.rfind('/');
  return slash == std::string::npos ? "." : file.substr(0, slash);
}

void ScaleNumber(json& object, const char* key, double scale) {
  const auto found = object.find(key);
  if (found != object.end() && found->get<std::int64_t>() > 0) {
    *found = std::max<std::int64_t>(1, std::llround(found->get<double>() * scale));
  }
}

// Scales the slots, connections and limits of the operators' table, so that one machine can run
// the deployment.
std::string ScaleSlots(const std::string& table_text, double scale) {
  json table = json::parse(table_text, nullptr, true, true);
  for (json& service : table.at("services")) {
    ScaleNumber(service, "slots", scale);
    ScaleNumber(service, "connections", scale);
  }
  for (json& row : table.at("rows")) {
    ScaleNumber(row, "fleet_limit", scale);
    ScaleNumber(row, "target_limit", scale);
  }
  return table.dump(2);
}

const request_row* FindRow(const policy_table& table, const std::string& name) {
  for (const table_shard& shard : table.shards()) {
    for (const request_row& row : shard.rows) {
      if (row.name == name) {
        return &row;
      }
    }
  }
  return nullptr;
}

load::load_kind KindFrom(const json& text, const policy_table& table) {
  load::load_kind kind;
  kind.row = text.at("row");
  const request_row* row = FindRow(table, kind.row);
  if (row == nullptr) {
    throw json::other_error::create(501, "the table has no row " + kind.row, nullptr);
  }
  kind.weight = row->weight;
  kind.service = row->service;
  kind.method = row->method;
  kind.idempotent = row->idempotent;
  kind.deadline = row->deadline;
  kind.path = text.at("path");
  kind.arrival_share = text.at("share");
  kind.attempt_timeout =
      std::chrono::milliseconds(text.value("patience_ms", row->deadline.count()));
  kind.body_bytes = text.value("body_bytes", kind.body_bytes);
  return kind;
}

// Parses the kinds of a service, which have the same form as in a backend server's settings.
service_plan ServiceFrom(const json& text, double scale) {
  json settings = text;
  settings["service"] = text.at("name");
  settings["listen"] = "127.0.0.1:0";
  auto parsed = stand_ins::backend_settings::Parse(settings.dump());
  if (!parsed.ok()) {
    throw json::other_error::create(501, std::string(parsed.status().message()), nullptr);
  }
  for (stand_ins::request_kind& kind : parsed->kinds) {
    kind.service_time =
        duration(static_cast<std::int64_t>(static_cast<double>(kind.service_time.count()) * scale));
  }
  return {parsed->service, parsed->warm_up_time, std::move(parsed->kinds)};
}

deployment_plan PlanFrom(const json& text, const policy_table& table, std::string table_text) {
  deployment_plan plan;
  plan.name = text.at("name");
  plan.region = text.at("region");
  plan.service_time_scale = text.value("scale", 1.0);
  plan.slots_scale = text.value("slots_scale", 1.0);
  plan.table = table;
  plan.table_text = std::move(table_text);
  plan.bottleneck = text.at("bottleneck");
  for (const json& service : text.at("services")) {
    plan.services.push_back(ServiceFrom(service, plan.service_time_scale));
  }
  const json& load = text.at("load");
  plan.rate = load.at("rate");
  for (const json& kind : load.at("kinds")) {
    plan.kinds.push_back(KindFrom(kind, table));
  }
  return plan;
}

const stand_ins::request_kind* FindKind(const service_plan& service, std::string_view method,
                                        std::string_view path) {
  request_row row;
  for (const stand_ins::request_kind& kind : service.kinds) {
    row.method = kind.method;
    row.path_pattern = kind.path;
    if (row.Matches(method, path)) {
      return &kind;
    }
  }
  return nullptr;
}

// Demand that one call of (service, method, path) puts on the service `demanded_service`, nested
// calls included: seconds of service time, or the number of calls if `count_visits` is set.
double DemandOn(const deployment_plan& plan, std::string_view service, std::string_view method,
                std::string_view path, std::string_view demanded_service, bool count_visits) {
  const service_plan* found = plan.FindService(service);
  const stand_ins::request_kind* kind = found == nullptr ? nullptr : FindKind(*found, method, path);
  if (kind == nullptr) {
    return 0.0;
  }
  double sum = 0.0;
  if (service == demanded_service) {
    sum = count_visits ? 1.0 : static_cast<double>(kind->service_time.count()) / kMicrosPerSecond;
  }
  for (const stand_ins::outgoing_call& call : kind->calls) {
    sum += DemandOn(plan, call.service, call.method, call.path, demanded_service, count_visits);
  }
  return sum;
}

}  // namespace

std::vector<std::string> deployment_plan::Domains() const {
  std::vector<std::string> domains;
  for (const table_shard& shard : table.shards()) {
    for (const service_entry::domain_targets& one : shard.service.domains) {
      if (std::find(domains.begin(), domains.end(), one.failure_domain) == domains.end()) {
        domains.push_back(one.failure_domain);
      }
    }
  }
  return domains;
}

const service_plan* deployment_plan::FindService(std::string_view service) const {
  for (const service_plan& one : services) {
    if (one.name == service) {
      return &one;
    }
  }
  return nullptr;
}

double deployment_plan::VisitsOf(const load::load_kind& kind, std::string_view service) const {
  return DemandOn(*this, kind.service, kind.method, kind.path, service, true);
}

double deployment_plan::Capacity() const {
  const table_shard* shard = table.FindShard(bottleneck);
  double slots = 0.0;
  for (const service_entry::domain_targets& one : shard->service.domains) {
    slots += one.targets * shard->service.slots;
  }
  double shares = 0.0;
  double seconds = 0.0;
  for (const load::load_kind& kind : kinds) {
    const double needed = DemandOn(*this, kind.service, kind.method, kind.path, bottleneck, false);
    shares += needed > 0.0 ? kind.arrival_share : 0.0;
    seconds += kind.arrival_share * needed;
  }
  return seconds > 0.0 ? slots * shares / seconds : 0.0;
}

absl::StatusOr<deployment_plan> deployment_plan::Read(const std::string& file) {
  const absl::StatusOr<std::string> text = ReadText(file);
  if (!text.ok()) {
    return text.status();
  }
  try {
    const json value = json::parse(*text, nullptr, true, true);
    const std::string table_file = FolderOf(file) + "/" + value.at("table").get<std::string>();
    absl::StatusOr<std::string> table_text = ReadText(table_file);
    if (!table_text.ok()) {
      return table_text.status();
    }
    *table_text = ScaleSlots(*table_text, value.value("slots_scale", 1.0));
    const absl::StatusOr<policy_table> table = policy_table::Parse(*table_text);
    if (!table.ok()) {
      return table.status();
    }
    return PlanFrom(value, *table, *std::move(table_text));
  } catch (const json::exception& failure) {
    return MakeStatus(result_code::kSettingsNotJson, file + ": " + failure.what());
  }
}

}  // namespace cuminferry::trial
