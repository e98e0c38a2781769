#include "cuminferry_relay/path/outbound_record.h"

#include <utility>

namespace cuminferry {

void outbound_record::LogFailedPlacement(decision_log& log, relay_outcome why) const {
  if (!log.TryReserveLine(decision_log::line_kind::kNotable)) {
    return;
  }
  nlohmann::ordered_json detail{{"id", request_id},
                                {"row", row},
                                {"service", service},
                                {"target", target_id},
                                {"why", ToText(why)},
                                {"placements", placements},
                                {"reached", backend_placements}};
  AddDeclared(detail);
  AddUnlisted(detail);
  log.LogRequest("request.turned_away", std::move(detail));
}

void outbound_record::AddDeclared(nlohmann::ordered_json& detail) const {
  if (declared) {
    detail["declared_rate"] = RoundForLog(declared->rate);
    detail["declared_age_us"] = declared->age.count();
  }
}

void outbound_record::AddUnlisted(nlohmann::ordered_json& detail) const {
  if (unlisted_for) {
    detail["unlisted_us"] = unlisted_for->count();
  }
}

void outbound_record::LogResult(decision_log& log, std::string_view result, duration took) const {
  nlohmann::ordered_json detail{{"id", request_id}, {"result", result}, {"us", took.count()}};
  if (!row.empty()) {
    detail["row"] = row;
    detail["table"] = table_version;
    detail["service"] = service;
    detail["target"] = target_id;
    detail["placements"] = placements;
    detail["nested"] = nested;
    AddDeclared(detail);
    AddUnlisted(detail);
  }
  if (!customer.empty()) {
    detail["customer"] = customer;
  }
  if (limit_share) {
    detail["limit_share"] = RoundForLog(*limit_share);
    detail["limit_alone"] = used_equal_share;
  }
  if (customer_share) {
    detail["customer_share"] = RoundForLog(*customer_share);
  }
  if (replica_age) {
    detail["copy_age_us"] = replica_age->count();
  }
  if (!suspect_digest.empty()) {
    detail["suspect"] = suspect_digest;
  }
  if (!reason.empty()) {
    detail["why"] = reason;
  }
  if (!trail.empty()) {
    detail["trail"] = trail.ToJson();
  }
  if (level) {
    detail["level"] = RoundForLog(*level);
  }
  if (!limited_by.empty()) {
    detail["limited_by"] = limited_by;
  }
  log.LogRequest("request.end", std::move(detail));
}

}  // namespace cuminferry
