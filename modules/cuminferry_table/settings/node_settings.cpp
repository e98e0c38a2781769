#include "cuminferry_table/settings/node_settings.h"

#include <array>
#include <optional>

#include "cuminferry_table/reading/object_reader.h"

namespace cuminferry {
namespace {

using enum presence;

constexpr std::size_t kMaxAddresses = 64;
constexpr std::uint64_t kMaxSlots = 100'000;
constexpr std::uint64_t kMaxTargets = 10'000;
constexpr std::uint64_t kMaxSampleEvery = 1'000'000;
constexpr std::uint64_t kMaxDrainReportSeconds = 86'400;
/** Port 0 lets the operating system choose a port. Only tests need this. */
constexpr std::uint16_t kMinListenPort = 0;
constexpr std::uint16_t kMinBackendPort = 1;

const std::array<std::string, 3> kAcceptedControls = {"full", "static", "none"};

void ReadIdentity(object_reader& reader, node_settings& settings) {
  constexpr text_rule kInstance{.max_length = 128, .other_characters = "-_./:"};
  reader.Text("instance", settings.instance, kRequired, kInstance);
  reader.Text("service", settings.service, kRequired);
  reader.Text("failure_domain", settings.failure_domain, kRequired);
  reader.Text("region", settings.region, kRequired);
  reader.Number("target_slot", settings.target_slot, 0, kMaxTargets - 1, kRequired);
}

void ReadAddresses(object_reader& reader, node_settings& settings) {
  reader.Address("front", settings.front, kRequired, kMinListenPort);
  reader.Address("egress", settings.egress, kRequired, kMinListenPort);
  reader.Address("peer", settings.peer, kRequired, kMinListenPort);
  reader.Address("admin", settings.admin, kRequired, kMinListenPort);
  reader.Address("backend", settings.backend, kRequired, kMinBackendPort);
  reader.Addresses("platform", settings.platform, kRequired, kMaxAddresses);
  reader.Addresses("seeds", settings.seeds, kOptional, kMaxAddresses);
}

void ReadNumbers(object_reader& reader, node_settings& settings) {
  reader.Number("backend_slots", settings.backend_slots, 1, kMaxSlots, kRequired);
  reader.Number("backend_connections", settings.backend_connections, 1, kMaxSlots, kRequired);
  reader.Choice("control", settings.control, kOptional, kAcceptedControls);
  reader.Number("sample_every", settings.sample_every, 1, kMaxSampleEvery, kOptional);
  std::uint64_t drain_report = static_cast<std::uint64_t>(settings.drain_report.count());
  reader.Number("drain_report", drain_report, 1, kMaxDrainReportSeconds, kOptional);
  settings.drain_report = std::chrono::seconds(drain_report);
}

struct named_address {
  std::string_view key;
  endpoint address;
};

/** Reports addresses that two keys share: the second listener on an address fails at start. */
void CheckAddresses(const node_settings& settings, problem_list& problems) {
  const std::array<named_address, 5> addresses = {{{"front", settings.front},
                                                   {"egress", settings.egress},
                                                   {"peer", settings.peer},
                                                   {"admin", settings.admin},
                                                   {"backend", settings.backend}}};
  for (std::size_t address = 0; address < addresses.size(); ++address) {
    for (std::size_t earlier = 0; earlier < address; ++earlier) {
      if (addresses[address].address.port != 0 &&
          addresses[address].address == addresses[earlier].address) {
        problems.Add(result_code::kSettingsOutOfRange, PointerToMember("", addresses[address].key),
                     addresses[address].address.ToString() + " is the address of \"" +
                         std::string(addresses[earlier].key) +
                         "\" too; accepted: one that no other key has");
      }
    }
  }
}

void CheckConnections(const node_settings& settings, problem_list& problems) {
  if (settings.backend_connections < settings.backend_slots) {
    problems.Add(result_code::kSettingsOutOfRange, "/backend_connections",
                 std::to_string(settings.backend_connections) + " connections cannot keep " +
                     std::to_string(settings.backend_slots) + " slots busy; accepted: " +
                     std::to_string(settings.backend_slots) + " or more");
  }
}

}  // namespace

absl::StatusOr<node_settings> node_settings::Parse(std::string_view json,
                                                   std::vector<table_problem>& problems) {
  problem_list list(problems);
  node_settings settings;
  static_cast<void>(ReadSettingsText(json, list, [&](object_reader& reader) {
    ReadIdentity(reader, settings);
    ReadAddresses(reader, settings);
    ReadNumbers(reader, settings);
  }));
  if (list.empty()) {
    CheckAddresses(settings, list);
    CheckConnections(settings, list);
  }
  if (!list.empty()) {
    return list.AsStatus();
  }
  return settings;
}

absl::StatusOr<node_settings> node_settings::Parse(std::string_view json) {
  std::vector<table_problem> problems;
  return Parse(json, problems);
}

}  // namespace cuminferry
