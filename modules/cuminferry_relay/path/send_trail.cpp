#include "cuminferry_relay/path/send_trail.h"

#include <nlohmann/json.hpp>

namespace cuminferry {

void send_trail::OnSend(std::string_view target, const connection_use& connection,
                        duration since_start) {
  sends_.push_back({.target = std::string(target),
                    .since_start = since_start,
                    .connection = connection,
                    .word = {},
                    .by = source::kNode,
                    .status = 0,
                    .since_send = {}});
}

void send_trail::OnWord(std::string_view word, source by, int status, duration since_send) {
  if (sends_.empty()) {
    return;
  }
  send& latest = sends_.back();
  latest.word = word;
  latest.by = by;
  latest.status = status;
  latest.since_send = since_send;
}

nlohmann::ordered_json send_trail::ToJson() const {
  nlohmann::ordered_json trail = nlohmann::ordered_json::array();
  for (const send& each : sends_) {
    nlohmann::ordered_json entry;
    if (!each.target.empty()) {
      entry["target"] = each.target;
    }
    entry["at_us"] = each.since_start.count();
    entry["connection"] = each.connection.number;
    entry["carried"] = each.connection.requests_before;
    entry["idle_us"] = each.connection.idle.count();
    if (!each.word.empty()) {
      entry["word"] = each.word;
      entry["by"] = each.by == source::kAnswer ? "answer" : "node";
      entry["age_us"] = each.since_send.count();
    }
    if (each.status != 0) {
      entry["status"] = each.status;
    }
    trail.push_back(std::move(entry));
  }
  return trail;
}

}  // namespace cuminferry
