#include "cuminferry_relay/path/peer_headers.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace cuminferry {
namespace {

constexpr double kMilli = 1000.0;
// Encodes an unknown share.
constexpr int kUnknownShare = -1;
// Encodes the validity time of a request without a key.
constexpr std::int64_t kNoKey = -1;

constexpr std::array<std::pair<relay_outcome, std::string_view>, 16> kOutcomes{{
    {relay_outcome::kFull, "full"},
    {relay_outcome::kOverRate, "over-rate"},
    {relay_outcome::kLeaving, "leaving"},
    {relay_outcome::kDown, "down"},
    {relay_outcome::kStaleKey, "stale-key"},
    {relay_outcome::kNoRepeats, "no-repeats"},
    {relay_outcome::kTurnedAway, "turned-away"},
    {relay_outcome::kOtherInstance, "other-instance"},
    {relay_outcome::kUnconfirmed, "unconfirmed"},
    {relay_outcome::kLost, "lost"},
    {relay_outcome::kEnded, "ended"},
    {relay_outcome::kEndedAlone, "ended-alone"},
    {relay_outcome::kBlocked, "blocked"},
    {relay_outcome::kDamaged, "damaged"},
    {relay_outcome::kTimedOut, "timed-out"},
    {relay_outcome::kFailed, "failed"},
}};

// Parses the leading integers of a comma-separated list; returns false if one is missing or not
// an integer.
bool ParseNumbers(std::string_view text, std::span<std::int64_t> values) {
  const std::vector<std::string_view> parts = SplitText(text, ',');
  if (parts.size() < values.size()) {
    return false;
  }
  for (std::size_t i = 0; i < values.size(); ++i) {
    const auto number = ParseInteger<std::int64_t>(parts[i]);
    if (!number) {
      return false;
    }
    values[i] = *number;
  }
  return true;
}

std::optional<double> ShareOf(std::int64_t number) {
  return number < 0 ? std::nullopt : std::optional<double>(static_cast<double>(number) / kMilli);
}

}  // namespace

std::string call_header::ToText() const {
  return fmt::format("{},{},{},{},{},{},{},{},{},{},{},{},{},{},{},{}", priority,
                     static_cast<int>(repeat), nested ? 1 : 0, objective.count(),
                     objective_left.count(), static_cast<int>(repeat_probability * kMilli),
                     awaits_release ? 1 : 0, static_cast<int>(framing), body_length,
                     may_be_repeat ? 1 : 0, age.count(), static_cast<int>(stands_for * kMilli),
                     is_already_counted ? 1 : 0,
                     admitted_share ? static_cast<int>(*admitted_share * kMilli) : kUnknownShare,
                     key_valid_for ? key_valid_for->count() : kNoKey, row);
}

std::optional<call_header> call_header::Parse(std::string_view text) {
  std::array<std::int64_t, 15> numbers{};
  if (!ParseNumbers(text, numbers) || numbers[0] < 0 || numbers[1] < 0 ||
      numbers[1] > static_cast<int>(repeat_rule::kUpload) || numbers[7] < 0 ||
      numbers[7] > static_cast<int>(body_framing::kUntilClose) || numbers[8] < 0 ||
      numbers[10] < 0 || numbers[11] < 0) {
    return std::nullopt;
  }
  constexpr std::size_t kPartCount = numbers.size() + 1;
  const std::vector<std::string_view> parts = SplitText(text, ',', kPartCount);
  if (parts.size() != kPartCount) {
    return std::nullopt;
  }
  return call_header{.row = std::string(parts.back()),
                     .priority = static_cast<std::uint32_t>(numbers[0]),
                     .repeat = static_cast<repeat_rule>(numbers[1]),
                     .nested = numbers[2] != 0,
                     .objective = duration(numbers[3]),
                     .objective_left = duration(numbers[4]),
                     .age = duration(numbers[10]),
                     .may_be_repeat = numbers[9] != 0,
                     .repeat_probability = static_cast<double>(numbers[5]) / kMilli,
                     .stands_for = static_cast<double>(numbers[11]) / kMilli,
                     .admitted_share = ShareOf(numbers[13]),
                     .is_already_counted = numbers[12] != 0,
                     .key_valid_for = numbers[14] < 0
                                          ? std::nullopt
                                          : std::optional<duration>(duration(numbers[14])),
                     .awaits_release = numbers[6] != 0,
                     .framing = static_cast<body_framing>(numbers[7]),
                     .body_length = static_cast<std::uint64_t>(numbers[8])};
}

std::string load_header::ToText() const {
  const row_limit reported = limit.value_or(row_limit{});
  return fmt::format(
      "{},{},{},{},{},{},{},{},{},{},{}", report.running, report.waiting, report.limit,
      report.service_time.count(), static_cast<int>(report.success_ratio * kMilli),
      limit ? static_cast<int>(reported.share * kMilli) : kUnknownShare, from_clients ? 1 : 0,
      items_revision, report.stopping ? 1 : 0, reported.cost.count(), reported.service);
}

std::optional<load_header> load_header::Parse(std::string_view text) {
  std::array<std::int64_t, 10> numbers{};
  constexpr std::size_t kPartCount = numbers.size() + 1;
  const std::vector<std::string_view> parts = SplitText(text, ',', kPartCount);
  if (!ParseNumbers(text, numbers) || parts.size() != kPartCount) {
    return std::nullopt;
  }
  load_header load{
      .report = {.running = static_cast<std::uint32_t>(numbers[0]),
                 .waiting = static_cast<std::uint32_t>(numbers[1]),
                 .limit = static_cast<std::uint32_t>(std::max<std::int64_t>(1, numbers[2])),
                 .service_time = duration(numbers[3]),
                 .success_ratio = static_cast<double>(numbers[4]) / kMilli,
                 .stopping = numbers[8] != 0},
      .limit = std::nullopt,
      .from_clients = numbers[6] != 0,
      .items_revision = static_cast<std::uint64_t>(numbers[7])};
  if (const auto share = ShareOf(numbers[5])) {
    load.limit = row_limit{
        .share = *share, .cost = duration(numbers[9]), .service = std::string(parts.back())};
  }
  return load;
}

std::string repeat_report::ToText() const {
  return fmt::format("{},{}", static_cast<int>(repeated_share * kMilli), callee_shortage ? 1 : 0);
}

std::optional<repeat_report> repeat_report::Parse(std::string_view text) {
  std::array<std::int64_t, 2> numbers{};
  if (!ParseNumbers(text, numbers)) {
    return std::nullopt;
  }
  return repeat_report{.repeated_share = static_cast<double>(numbers[0]) / kMilli,
                       .callee_shortage = numbers[1] != 0};
}

std::string_view ToText(relay_outcome outcome) {
  const auto* found = std::find_if(kOutcomes.begin(), kOutcomes.end(),
                                   [outcome](const auto& known) { return known.first == outcome; });
  return found->second;
}

std::optional<relay_outcome> ParseOutcome(std::string_view text) {
  const auto* found = std::find_if(kOutcomes.begin(), kOutcomes.end(),
                                   [text](const auto& known) { return known.second == text; });
  return found == kOutcomes.end() ? std::nullopt : std::optional<relay_outcome>(found->first);
}

bool IsCertainlyNotRun(relay_outcome outcome) {
  return outcome == relay_outcome::kTurnedAway || outcome == relay_outcome::kOtherInstance ||
         !ReachedBackend(outcome);
}

bool WasCounted(relay_outcome outcome) {
  return outcome != relay_outcome::kLeaving && outcome != relay_outcome::kOverRate &&
         outcome != relay_outcome::kDown && outcome != relay_outcome::kUnconfirmed &&
         outcome != relay_outcome::kBlocked;
}

bool ReachedBackend(relay_outcome outcome) {
  return outcome != relay_outcome::kFull && outcome != relay_outcome::kOverRate &&
         outcome != relay_outcome::kLeaving && outcome != relay_outcome::kDown &&
         outcome != relay_outcome::kUnconfirmed && outcome != relay_outcome::kNoRepeats &&
         outcome != relay_outcome::kStaleKey && outcome != relay_outcome::kBlocked;
}

}  // namespace cuminferry
