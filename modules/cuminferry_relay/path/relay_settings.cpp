#include "cuminferry_relay/path/relay_settings.h"

#include <array>
#include <chrono>

#include "cuminferry_table/reading/object_reader.h"

namespace cuminferry {
namespace {

using enum presence;

constexpr std::size_t kMaxSeeds = 64;
constexpr std::uint16_t kMinListenPort = 0;
constexpr std::uint16_t kMinConnectPort = 1;
constexpr double kMaxAllowance = 1'000'000.0;
constexpr double kMaxExcess = 10.0;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 600.0;

void ReadIdentity(object_reader& reader, relay_settings& output) {
  constexpr text_rule kName{.max_length = 128, .other_characters = "-_./:"};
  reader.Text("instance", output.instance, kRequired, kName);
  reader.Text("service", output.service, kRequired, kName);
  reader.Text("failure_domain", output.failure_domain, kRequired, kName);
  reader.Text("ready_path", output.ready_path, kRequired, kName);
  reader.Text("metrics_path", output.metrics_path, kRequired, kName);
}

void ReadAddresses(object_reader& reader, relay_settings& output) {
  reader.Address("outbound", output.outbound, kRequired, kMinListenPort);
  reader.Address("ready", output.ready, kRequired, kMinListenPort);
  reader.Address("peer", output.peer, kRequired, kMinListenPort);
  reader.Address("seed", output.seed, kRequired, kMinListenPort);
  reader.Address("metrics", output.metrics, kRequired, kMinListenPort);
  reader.Address("backend", output.backend, kRequired, kMinConnectPort);
  reader.Address("platform", output.platform, kRequired, kMinConnectPort);
  reader.Addresses("seeds", output.seeds, kOptional, kMaxSeeds);
}

void ReadSeconds(object_reader& reader, std::string_view key, duration& output) {
  double seconds = ToSeconds(output);
  reader.Decimal(key, seconds, kMinSeconds, kMaxSeconds, kOptional);
  output = std::chrono::round<duration>(std::chrono::duration<double>(seconds));
}

void ReadBounds(object_reader& reader, relay_settings& output) {
  reader.Decimal("repeat_ratio", output.repeat_ratio, 0.0, 1.0, kOptional);
  reader.Decimal("repeat_allowance", output.repeat_allowance, 0.0, kMaxAllowance, kOptional);
  ReadSeconds(reader, "repeat_window_s", output.repeat_window);
  ReadSeconds(reader, "grace_s", output.grace);
  ReadSeconds(reader, "drain_s", output.drain);
}

void ReadQueueOrder(object_reader& reader, relay_settings& output) {
  const std::array<std::string, 2> accepted{"deadline", "importance"};
  std::string order = accepted.front();
  reader.Choice("queue_order", order, kOptional, accepted);
  output.order = order == accepted.back() ? queue_order::kImportance : queue_order::kDeadline;
}

void ReadCustomerBounds(object_reader& reader, relay_settings& output) {
  reader.Flag("withdrawal_strict", output.customers.withdrawal_strict, kOptional);
  ReadSeconds(reader, "withdrawal_s", output.customers.withdrawal_time);
  ReadSeconds(reader, "limit_window_s", output.customers.limits.window);
  reader.Decimal("limit_excess", output.customers.limits.excess, 0.0, kMaxExcess, kOptional);
  reader.Decimal("limit_allowance", output.customers.limits.allowance, 0.0, kMaxAllowance,
                 kOptional);
  reader.Flag("customer_shares", output.customer_shares, kOptional);
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
    ReadQueueOrder(reader, settings);
    ReadCustomerBounds(reader, settings);
  });
  if (!read.ok()) {
    return read;
  }
  return settings;
}

}  // namespace cuminferry
