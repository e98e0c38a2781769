#include "cuminferry_caller/call/answer_reader.h"

#include <charconv>
#include <optional>
#include <utility>

namespace cuminferry {
namespace {

std::optional<int> ParseNumber(std::string_view text) {
  int number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  return is_number && number >= 0 ? std::optional(number) : std::nullopt;
}

result_code CodeFrom(const transport_answer& answer, result_code fallback) {
  const std::optional<int> number = ParseNumber(answer.Header(header_names::kCode));
  for (const result_code_info& info : AllResultCodes()) {
    if (static_cast<int>(info.code) == number) {
      return info.code;
    }
  }
  return fallback;
}

std::chrono::milliseconds RetryAfterFrom(const transport_answer& answer) {
  if (const auto millis = ParseNumber(answer.Header(header_names::kRetryAfter))) {
    return std::chrono::milliseconds(*millis);
  }
  if (const auto seconds = ParseNumber(answer.Header("Retry-After"))) {
    return std::chrono::seconds(*seconds);
  }
  return std::chrono::milliseconds(0);
}

call_result ResultFrom(transport_answer& answer, const std::string& ticket) {
  const std::string_view outcome = answer.Header(header_names::kOutcome);
  if (outcome == "not_run") {
    return call_not_run{CodeFrom(answer, result_code::kRefusedOverload), RetryAfterFrom(answer)};
  }
  if (outcome == "unknown") {
    return call_unknown{CodeFrom(answer, result_code::kConnectionLost), ticket};
  }
  return completed_call{answer.http_status, std::move(answer.body)};
}

}  // namespace

attempt_outcome ReadOutcome(transport_answer answer) {
  switch (answer.outcome) {
    case transport_outcome::kNotConnected:
      return {call_not_run{result_code::kNoTarget, std::chrono::milliseconds(0)}, {}};
    case transport_outcome::kNoAnswer:
      return {call_unknown{result_code::kConnectionLost, {}}, {}};
    case transport_outcome::kAnswered:
      break;
  }
  std::string ticket(answer.Header(header_names::kTicket));
  call_result result = ResultFrom(answer, ticket);
  return {std::move(result), std::move(ticket)};
}

}  // namespace cuminferry
