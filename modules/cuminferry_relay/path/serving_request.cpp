#include "cuminferry_relay/path/serving_request.h"

#include <algorithm>
#include <chrono>

namespace cuminferry {
namespace {

std::string TextOf(const http_head& head, std::string_view name) {
  const std::string* field = head.Find(name);
  return field == nullptr ? std::string() : *field;
}

}  // namespace

serving_request serving_request::ReadFrom(const http_head& head, const relay_header_names& names) {
  serving_request request{.id = TextOf(head, names.request_id),
                          .expected_instance = TextOf(head, names.expected_instance),
                          .caller_service = TextOf(head, names.caller_service),
                          .customer = TextOf(head, names.customer),
                          .has_turn = head.Find(kNoTurnField) == nullptr};
  if (const std::string* field = head.Find(names.deadline)) {
    request.time_left = ParseTime(*field, std::chrono::milliseconds(1)).value_or(duration::zero());
  }
  if (const std::string* field = head.Find(kTargetsField)) {
    request.known_targets = ParseInteger<std::size_t>(*field).value_or(0);
  }
  if (const std::string* field = head.Find(kRateField)) {
    request.rate = rate_request::Parse(*field);
  }
  if (const std::string* field = head.Find(kUnlistedField)) {
    request.unlisted = unlisted_notice::Parse(*field);
  }
  if (const std::string* field = head.Find(kSuspectField)) {
    request.suspect_digest = request_digest::Parse(*field);
  }
  return request;
}

http_head HeadForBackend(const http_head& from_node, const call_header& header, duration time_left,
                         const relay_header_names& names) {
  http_head head = from_node;
  head.RemoveConnectionFields();
  head.Remove(kCallField);
  head.Remove(kNoTurnField);
  head.Remove(kTargetsField);
  head.Remove(kSuspectField);
  head.Remove(kRateField);
  head.Remove(kUnlistedField);
  if (header.awaits_release) {
    head.framing = header.framing;
    head.length = header.body_length;
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  head.Set(names.deadline, std::to_string(std::max<std::int64_t>(1, left.count())));
  return head;
}

}  // namespace cuminferry
