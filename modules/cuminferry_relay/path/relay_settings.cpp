#include "cuminferry_relay/path/relay_settings.h"

#include <cmath>
#include <optional>

#include "cuminferry_table/reading/object_reader.h"

namespace cuminferry {
namespace {

using enum presence;

constexpr std::size_t kMostSeeds = 64;
constexpr std::uint16_t kAnyPort = 0;
constexpr std::uint16_t kKnownPort = 1;
constexpr std::uint64_t kMostRepeats = 1'000'000;
constexpr std::uint64_t kMostMillis = 600'000;

void ReadIdentity(object_reader& reader, relay_settings& into) {
  constexpr text_rule kName{.longest = 128, .others = "-_./:"};
  reader.Text("instance", into.instance, kRequired, kName);
  reader.Text("service", into.service, kRequired, kName);
  reader.Text("failure_domain", into.failure_domain, kRequired, kName);
  reader.Text("ready_path", into.ready_path, kRequired, kName);
  reader.Text("metrics_path", into.metrics_path, kRequired, kName);
}

void ReadAddresses(object_reader& reader, relay_settings& into) {
  reader.Address("outbound", into.outbound, kRequired, kAnyPort);
  reader.Address("ready", into.ready, kRequired, kAnyPort);
  reader.Address("peer", into.peer, kRequired, kAnyPort);
  reader.Address("seed", into.seed, kRequired, kAnyPort);
  reader.Address("metrics", into.metrics, kRequired, kAnyPort);
  reader.Address("backend", into.backend, kRequired, kKnownPort);
  reader.Address("platform", into.platform, kRequired, kKnownPort);
  reader.Addresses("seeds", into.seeds, kOptional, kMostSeeds);
}

void ReadMillis(object_reader& reader, std::string_view key, duration& into) {
  std::uint64_t millis = static_cast<std::uint64_t>(into.count() / 1000);
  reader.Number(key, millis, 1, kMostMillis, kOptional);
  into = std::chrono::milliseconds(millis);
}

void ReadBounds(object_reader& reader, relay_settings& into) {
  // A fraction; the reader's numbers are whole.
  std::uint64_t percent = static_cast<std::uint64_t>(std::lround(into.repeat_ratio * 100.0));
  reader.Number("repeat_percent", percent, 0, 100, kOptional);
  into.repeat_ratio = static_cast<double>(percent) / 100.0;
  std::uint64_t allowance = static_cast<std::uint64_t>(into.repeat_allowance);
  reader.Number("repeat_allowance", allowance, 0, kMostRepeats, kOptional);
  into.repeat_allowance = static_cast<double>(allowance);
  ReadMillis(reader, "repeat_window_ms", into.repeat_window);
  ReadMillis(reader, "grace_ms", into.grace);
}

}  // namespace

absl::StatusOr<relay_settings> relay_settings::Parse(std::string_view json,
                                                     std::vector<table_problem>& problems) {
  problem_list list(problems);
  relay_settings settings;
  const absl::Status read = ReadSettingsText(json, list, [&](object_reader& reader) {
    ReadIdentity(reader, settings);
    ReadAddresses(reader, settings);
    ReadBounds(reader, settings);
  });
  if (!read.ok()) {
    return read;
  }
  return settings;
}

}  // namespace cuminferry
