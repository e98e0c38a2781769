#include "cuminferry_table/settings/node_settings.h"

#include <array>
#include <optional>

#include "cuminferry_table/reading/object_reader.h"

namespace cuminferry {
namespace {

using enum presence;

constexpr std::size_t kMostAddresses = 64;
constexpr std::uint64_t kMostSlots = 100'000;
constexpr std::uint64_t kMostTargets = 10'000;
constexpr std::uint64_t kLargestSampling = 1'000'000;
constexpr std::uint64_t kLongestDrainReport = 86'400;
/** Port 0 lets the system choose; it is of use in tests only. */
constexpr std::uint16_t kAnyPort = 0;
constexpr std::uint16_t kKnownPort = 1;

const std::array<std::string, 3> kAcceptedControls = {"full", "static", "none"};

void ReadIdentity(object_reader& reader, node_settings& into) {
  constexpr text_rule kInstance{.longest = 128, .others = "-_./:"};
  reader.Text("instance", into.instance, kRequired, kInstance);
  reader.Text("service", into.service, kRequired);
  reader.Text("failure_domain", into.failure_domain, kRequired);
  reader.Text("region", into.region, kRequired);
  reader.Number("target_slot", into.target_slot, 0, kMostTargets - 1, kRequired);
}

void ReadAddresses(object_reader& reader, node_settings& into) {
  reader.Address("front", into.front, kRequired, kAnyPort);
  reader.Address("egress", into.egress, kRequired, kAnyPort);
  reader.Address("peer", into.peer, kRequired, kAnyPort);
  reader.Address("admin", into.admin, kRequired, kAnyPort);
  reader.Address("backend", into.backend, kRequired, kKnownPort);
  reader.Addresses("platform", into.platform, kRequired, kMostAddresses);
  reader.Addresses("seeds", into.seeds, kOptional, kMostAddresses);
}

void ReadNumbers(object_reader& reader, node_settings& into) {
  reader.Number("backend_slots", into.backend_slots, 1, kMostSlots, kRequired);
  reader.Number("backend_connections", into.backend_connections, 1, kMostSlots, kRequired);
  reader.Choice("control", into.control, kOptional, kAcceptedControls);
  reader.Number("sample_every", into.sample_every, 1, kLargestSampling, kOptional);
  std::uint64_t drain_report = static_cast<std::uint64_t>(into.drain_report.count());
  reader.Number("drain_report", drain_report, 1, kLongestDrainReport, kOptional);
  into.drain_report = std::chrono::seconds(drain_report);
}

struct named_address {
  std::string_view key;
  endpoint at;
};

/** Two listeners on one address: the second to start would fail at run time. */
void CheckAddresses(const node_settings& settings, problem_list& problems) {
  const std::array<named_address, 5> addresses = {{{"front", settings.front},
                                                   {"egress", settings.egress},
                                                   {"peer", settings.peer},
                                                   {"admin", settings.admin},
                                                   {"backend", settings.backend}}};
  for (std::size_t at = 0; at < addresses.size(); ++at) {
    for (std::size_t earlier = 0; earlier < at; ++earlier) {
      if (addresses[at].at.port != 0 && addresses[at].at == addresses[earlier].at) {
        problems.Add(result_code::kSettingsOutOfRange, PlaceOfMember("", addresses[at].key),
                     addresses[at].at.ToString() + " is the address of \"" +
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
