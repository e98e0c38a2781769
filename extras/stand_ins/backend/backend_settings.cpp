#include "stand_ins/backend/backend_settings.h"

#include <array>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

namespace cuminferry::stand_ins {
namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 3> kSpreads = {"fixed", "uniform", "exponential"};
constexpr std::array<std::string_view, 4> kReports = {"honest", "idle", "full", "frozen"};
constexpr double kMicrosPerMilli = 1000.0;

std::size_t IndexOf(std::span<const std::string_view> names, std::string_view name) {
  for (std::size_t at = 0; at < names.size(); ++at) {
    if (names[at] == name) {
      return at;
    }
  }
  throw json::other_error::create(501, "no such name: " + std::string(name), nullptr);
}

endpoint EndpointFrom(const std::string& text) {
  endpoint at;
  if (!endpoint::Parse(text, at)) {
    throw json::other_error::create(501, "not an address and port: " + text, nullptr);
  }
  return at;
}

outgoing_call CallFrom(const json& text) {
  return {text.at("service"), text.value("method", "GET"), text.at("path")};
}

json ToJsonValue(const outgoing_call& call) {
  return {{"service", call.service}, {"method", call.method}, {"path", call.path}};
}

request_kind KindFrom(const json& text) {
  request_kind kind;
  kind.method = text.at("method");
  kind.path = text.at("path");
  kind.service_time =
      duration(static_cast<duration::rep>(text.at("service_ms").get<double>() * kMicrosPerMilli));
  kind.distribution = static_cast<service_time_distribution>(
      IndexOf(kSpreads, text.value("spread", std::string("uniform"))));
  for (const json& call : text.value("calls", json::array())) {
    kind.calls.push_back(CallFrom(call));
  }
  kind.calls_in_parallel = text.value("parallel", false);
  kind.answer_bytes = text.value("answer_bytes", kind.answer_bytes);
  return kind;
}

json ToJsonValue(const request_kind& kind) {
  json calls = json::array();
  for (const outgoing_call& call : kind.calls) {
    calls.push_back(ToJsonValue(call));
  }
  return {{"method", kind.method},
          {"path", kind.path},
          {"service_ms", static_cast<double>(kind.service_time.count()) / kMicrosPerMilli},
          {"spread", kSpreads[static_cast<std::size_t>(kind.distribution)]},
          {"calls", calls},
          {"parallel", kind.calls_in_parallel},
          {"answer_bytes", kind.answer_bytes}};
}

}  // namespace

bool ParseHealthReport(std::string_view name, health_report& into) {
  for (std::size_t at = 0; at < kReports.size(); ++at) {
    if (kReports[at] == name) {
      into = static_cast<health_report>(at);
      return true;
    }
  }
  return false;
}

absl::StatusOr<backend_settings> backend_settings::Parse(std::string_view text) {
  try {
    const json value = json::parse(text, nullptr, true, true);
    backend_settings made;
    made.service = value.at("service");
    made.instance = value.value("instance", made.service);
    made.listen = EndpointFrom(value.at("listen"));
    made.egress = EndpointFrom(value.value("egress", "127.0.0.1:0"));
    made.slots = value.value("slots", made.slots);
    made.max_queued_requests = value.value("queue", made.max_queued_requests);
    made.max_connections = value.value("connections", made.max_connections);
    made.warm_up_time = std::chrono::milliseconds(value.value("cold_ms", 0));
    made.warm_up_factor = value.value("cold_factor", made.warm_up_factor);
    made.honors_deadlines = value.value("heeds_deadlines", true);
    made.health =
        static_cast<health_report>(IndexOf(kReports, value.value("health", std::string("honest"))));
    made.seed = value.value("seed", made.seed);
    made.max_journal_lines = value.value("journal_bound", made.max_journal_lines);
    made.journal_file = value.value("journal_file", "");
    for (const json& kind : value.at("kinds")) {
      made.kinds.push_back(KindFrom(kind));
    }
    return made;
  } catch (const json::exception& failure) {
    return MakeStatus(result_code::kSettingsNotJson, failure.what());
  }
}

std::string backend_settings::ToJson() const {
  json all = json::array();
  for (const request_kind& kind : kinds) {
    all.push_back(ToJsonValue(kind));
  }
  const json value{{"service", service},
                   {"instance", instance},
                   {"listen", listen.ToString()},
                   {"egress", egress.ToString()},
                   {"slots", slots},
                   {"queue", max_queued_requests},
                   {"connections", max_connections},
                   {"cold_ms", warm_up_time.count()},
                   {"cold_factor", warm_up_factor},
                   {"heeds_deadlines", honors_deadlines},
                   {"health", kReports[static_cast<std::size_t>(health)]},
                   {"seed", seed},
                   {"journal_bound", max_journal_lines},
                   {"journal_file", journal_file},
                   {"kinds", all}};
  return value.dump(2);
}

}  // namespace cuminferry::stand_ins
