#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "ctl/commands/commands.h"
#include "ctl/fleet/node_client.h"
#include "ctl/fleet/node_list.h"
#include "ctl/output/text_grid.h"

namespace cuminferry::ctl {
namespace {

using json = nlohmann::ordered_json;

/** The table of one service that is in force on one node. */
struct table_in_force {
  std::string service;
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
};

/** Status as one node reports it. Missing keys give default values, so that nodes of
    other versions can be read. */
struct node_status {
  endpoint address;
  std::string instance;
  std::string service;
  std::string failure_domain;
  bool draining = false;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
  std::uint64_t limit = 0;
  std::vector<table_in_force> tables;
};

template <typename Value>
Value ValueOr(const nlohmann::json& object, const char* key, Value default_value) {
  const auto found = object.is_object() ? object.find(key) : object.end();
  if (!object.is_object() || found == object.end()) {
    return default_value;
  }
  try {
    return found->get<Value>();
  } catch (const nlohmann::json::exception&) {
    return default_value;
  }
}

node_status StatusFrom(endpoint address, const nlohmann::json& value) {
  node_status status{.address = address};
  status.instance = ValueOr<std::string>(value, "instance", "?");
  status.service = ValueOr<std::string>(value, "service", "?");
  status.failure_domain = ValueOr<std::string>(value, "failure_domain", "?");
  status.draining = ValueOr(value, "draining", false);
  status.running = ValueOr<std::uint64_t>(value, "running", 0);
  status.queued = ValueOr<std::uint64_t>(value, "queued", 0);
  status.limit = ValueOr<std::uint64_t>(value, "limit", 0);
  for (const nlohmann::json& table : ValueOr(value, "tables", nlohmann::json::array())) {
    status.tables.push_back({ValueOr<std::string>(table, "service", "?"),
                             ValueOr<std::uint64_t>(table, "version", 0),
                             ValueOr<std::uint64_t>(table, "digest", 0)});
  }
  return status;
}

//==============================================================================
/** The contents of one service's table that are in force, and the instances of each. */
struct service_agreement {
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<std::string>> nodes_by_content;
  /** Version that the platform publishes; 0 if it was not queried. */
  std::uint64_t published = 0;

  std::size_t NodeCount() const {
    std::size_t nodes = 0;
    for (const auto& [content, instances] : nodes_by_content) {
      nodes += instances.size();
    }
    return nodes;
  }

  std::uint64_t HighestVersion() const {
    return nodes_by_content.empty() ? 0 : nodes_by_content.rbegin()->first.first;
  }

  bool IsAgreed() const {
    return nodes_by_content.size() <= 1 && (published == 0 || published <= HighestVersion());
  }

  /** Whether one version has two contents: it was published twice with the same number. */
  bool HasConflict() const {
    std::set<std::uint64_t> versions;
    return std::ranges::any_of(nodes_by_content, [&](const auto& entry) {
      return !versions.insert(entry.first.first).second;
    });
  }
};

using agreements = std::map<std::string, service_agreement>;

agreements AgreementsOf(std::span<const node_status> nodes) {
  agreements found;
  for (const node_status& node : nodes) {
    for (const table_in_force& table : node.tables) {
      found[table.service].nodes_by_content[{table.version, table.digest}].push_back(node.instance);
    }
  }
  return found;
}

std::string DescribeAgreement(const service_agreement& agreement) {
  constexpr std::size_t kMaxListedInstances = 4;
  std::string text;
  for (auto entry = agreement.nodes_by_content.rbegin(); entry != agreement.nodes_by_content.rend();
       ++entry) {
    const auto& [content, instances] = *entry;
    text += text.empty() ? "" : "; ";
    text += "version " + std::to_string(content.first) + " on " + std::to_string(instances.size()) +
            " of " + std::to_string(agreement.NodeCount());
    if (entry != agreement.nodes_by_content.rbegin()) {
      for (std::size_t at = 0; at < std::min(instances.size(), kMaxListedInstances); ++at) {
        text += (at == 0 ? " (" : ", ") + instances[at];
      }
      text += instances.size() > kMaxListedInstances ? ", ...)" : ")";
    }
  }
  if (agreement.published > agreement.HighestVersion()) {
    text += (text.empty() ? "" : "; ") + std::string("published: version ") +
            std::to_string(agreement.published);
  }
  return text + (agreement.HasConflict() ? "; CF111: one version, several contents" : "");
}

//==============================================================================
void PrintNodes(std::span<const node_status> nodes, std::ostream& out) {
  text_grid grid;
  grid.AddHeading(
      {"INSTANCE", "SERVICE", "FAILURE DOMAIN", "STATE", "RUNNING", "QUEUED", "LIMIT", "ADMIN"});
  for (const node_status& node : nodes) {
    grid.AddRow({node.instance, node.service, node.failure_domain,
                 node.draining ? "draining" : "serving", std::to_string(node.running),
                 std::to_string(node.queued), std::to_string(node.limit), node.address.ToString()});
  }
  grid.Print(out);
}

void PrintAgreements(const agreements& services, std::ostream& out) {
  text_grid grid;
  grid.AddHeading({"TABLE OF", "IN FORCE"});
  for (const auto& [service, agreement] : services) {
    grid.AddRow({service, DescribeAgreement(agreement)});
  }
  grid.Print(out);
}

json ToJson(std::span<const node_status> nodes, std::span<const node_answer> answers,
            const agreements& services) {
  json document = {{"nodes", json::array()}, {"silent", json::array()}, {"tables", json::array()}};
  for (const node_status& node : nodes) {
    document["nodes"].push_back({{"admin", node.address.ToString()},
                                 {"instance", node.instance},
                                 {"service", node.service},
                                 {"failure_domain", node.failure_domain},
                                 {"draining", node.draining},
                                 {"running", node.running},
                                 {"queued", node.queued},
                                 {"limit", node.limit}});
  }
  for (const node_answer& answer : answers) {
    if (!answer.json.ok()) {
      document["silent"].push_back({{"admin", answer.address.ToString()},
                                    {"why", std::string(answer.json.status().message())}});
    }
  }
  for (const auto& [service, agreement] : services) {
    json contents = json::array();
    for (const auto& [content, instances] : agreement.nodes_by_content) {
      contents.push_back(
          {{"version", content.first}, {"digest", content.second}, {"instances", instances}});
    }
    document["tables"].push_back({{"service", service},
                                  {"agreed", agreement.IsAgreed()},
                                  {"published", agreement.published},
                                  {"in_force", contents}});
  }
  return document;
}

//==============================================================================
/** Adds the versions that the platform publishes; false if they could not be read. */
bool AddPublished(const cxxopts::ParseResult& parsed, streams output, agreements& services) {
  endpoint platform;
  if (!ParseAddress(parsed["platform"].as<std::string>(), output, platform)) {
    return false;
  }
  const auto answer =
      Get(platform, std::string("/v1/kv/") + kIndexKey + "?raw", ReadTimeout(parsed));
  if (!answer.ok() || answer->status != 200) {
    PrintError(output, result_code::kPlatformUnreachable,
               answer.ok() ? "HTTP status " + std::to_string(answer->status)
                           : std::string(answer.status().message()));
    return false;
  }
  const auto index = published_index::Parse(answer->body);
  if (!index.ok()) {
    output.err << index.status().message() << "\n";
    return false;
  }
  for (const published_shard& shard : index->shards) {
    services[shard.service].published = shard.version;
  }
  return true;
}

exit_code ExitCodeFor(std::span<const node_status> nodes, std::span<const node_answer> answers,
                      const agreements& services) {
  if (!answers.empty() && nodes.empty()) {
    return exit_code::kNoNodeAnswered;
  }
  const bool agreed =
      std::ranges::all_of(services, [](const auto& entry) { return entry.second.IsAgreed(); });
  if (!agreed && !answers.empty()) {
    return exit_code::kNodesDiffer;
  }
  return nodes.size() < answers.size() ? exit_code::kSomeNodesSilent : exit_code::kDone;
}

exit_code ShowStatus(const cxxopts::ParseResult& parsed, streams output) {
  std::vector<endpoint> addresses;
  const exit_code read = ReadNodes(parsed, output, addresses);
  if (read != exit_code::kDone) {
    return read;
  }
  if (addresses.empty() && parsed.count("platform") == 0) {
    PrintError(output, result_code::kCommandLineInvalid,
               "nobody to ask; accepted: --nodes, --from-settings or --platform");
    return exit_code::kBadCommandLine;
  }
  const std::vector<node_answer> answers =
      GetJsonFromAll(addresses, "/status", ReadTimeout(parsed));
  std::vector<node_status> nodes;
  for (const node_answer& answer : answers) {
    if (answer.json.ok()) {
      nodes.push_back(StatusFrom(answer.address, *answer.json));
    }
  }
  agreements services = AgreementsOf(nodes);
  bool platform_answered = true;
  if (parsed.count("platform") > 0) {
    platform_answered = AddPublished(parsed, output, services);
  }
  if (parsed.count("json") > 0) {
    output.out << ToJson(nodes, answers, services).dump(2) << "\n";
  } else {
    PrintNodes(nodes, output.out);
    for (const node_answer& answer : answers) {
      if (!answer.json.ok()) {
        output.out << "silent: " << answer.json.status().message() << "\n";
      }
    }
    output.out << "\n";
    PrintAgreements(services, output.out);
  }
  const exit_code code = ExitCodeFor(nodes, answers, services);
  return code == exit_code::kDone && !platform_answered ? exit_code::kSomeNodesSilent : code;
}

}  // namespace

command StatusCommand() {
  return {.name = "status",
          .arguments = "",
          .summary = "the nodes, and which table version is in force where",
          .examples =
              "examples:\n"
              "  cuminferry-ctl status --nodes 127.0.0.1:8083,127.0.0.1:8183\n"
              "  cuminferry-ctl status --from-settings settings/ --platform 127.0.0.1:8500\n"
              "with --platform, tables that are published and not in force are shown too\n",
          .declare =
              [](cxxopts::Options& options) {
                DeclareNodeOptions(options);
                options.add_options()("platform", "compare with what the platform publishes",
                                      cxxopts::value<std::string>(),
                                      "IP:PORT")("json", "machine-readable output");
              },
          .run = ShowStatus};
}

}  // namespace cuminferry::ctl
