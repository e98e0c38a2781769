#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

#include "ctl/commands/commands.h"
#include "ctl/fleet/node_client.h"
#include "ctl/fleet/node_list.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry::ctl {
namespace {

using json = nlohmann::ordered_json;

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

/** One event from a node's /timeline. */
struct fleet_event {
  hybrid_time when;
  std::string kind;
  int code = 0;
  std::string request;
  std::string subject;
  std::int64_t value = 0;
  std::string instance;
};

/** Selects events; an empty member matches every event. */
struct event_filter {
  std::string request;
  std::vector<std::string> instances;
  std::vector<std::string> kinds;
  std::int64_t since_micros = 0;

  bool Matches(const fleet_event& event) const {
    return event.when.wall_micros >= since_micros && event.request.starts_with(request) &&
           IsListedOrEmpty(instances, event.instance) && IsListedOrEmpty(kinds, event.kind);
  }

 private:
  static bool IsListedOrEmpty(const std::vector<std::string>& names, const std::string& name) {
    return names.empty() || std::ranges::find(names, name) != names.end();
  }
};

//==============================================================================
std::vector<std::string> AllKinds() {
  std::vector<std::string> kinds;
  for (int kind = 0; kind <= static_cast<int>(event_kind::kPlatformBack); ++kind) {
    kinds.emplace_back(NameOf(static_cast<event_kind>(kind)));
  }
  return kinds;
}

std::int64_t WallMicrosNow() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

/** Parses "2026-12-02T20:48:33", with or without a trailing Z, as UTC. Microseconds since the
    epoch; nothing if the text is invalid. */
std::optional<std::int64_t> ParseDate(const std::string& text) {
  std::tm calendar_time{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &calendar_time);
  if (end == nullptr || (*end != '\0' && std::string(end) != "Z")) {
    return std::nullopt;
  }
  return timegm(&calendar_time) * kMicrosPerSecond;
}

/** Parses an age such as "30s", "5m" or "2h". Returns the time that long ago, in microseconds
    since the epoch; nothing if the text is invalid. */
std::optional<std::int64_t> ParseAgo(const std::string& text) {
  if (text.size() < 2 || text.size() > 9 ||
      text.find_first_not_of("0123456789") != text.size() - 1) {
    return std::nullopt;
  }
  const std::int64_t count = std::stoll(text.substr(0, text.size() - 1));
  switch (text.back()) {
    case 's':
      return WallMicrosNow() - count * kMicrosPerSecond;
    case 'm':
      return WallMicrosNow() - count * 60 * kMicrosPerSecond;
    case 'h':
      return WallMicrosNow() - count * 3600 * kMicrosPerSecond;
    default:
      return std::nullopt;
  }
}

bool ReadSince(const cxxopts::ParseResult& parsed, streams output, event_filter& filter) {
  if (parsed.count("since") == 0) {
    return true;
  }
  const std::string text = parsed["since"].as<std::string>();
  const auto date = ParseDate(text);
  const auto since = date.has_value() ? date : ParseAgo(text);
  if (!since.has_value()) {
    PrintError(output, result_code::kCommandLineInvalid,
               "--since \"" + text + "\"; accepted: 30s, 5m, 2h or 2026-12-02T20:48:33 (UTC)");
    return false;
  }
  filter.since_micros = *since;
  return true;
}

bool ReadKinds(const cxxopts::ParseResult& parsed, streams output, event_filter& filter) {
  if (parsed.count("kind") == 0) {
    return true;
  }
  filter.kinds = parsed["kind"].as<std::vector<std::string>>();
  const std::vector<std::string> known = AllKinds();
  for (const std::string& kind : filter.kinds) {
    if (std::ranges::find(known, kind) == known.end()) {
      PrintError(
          output, result_code::kCommandLineInvalid,
          "--kind \"" + kind + "\"" + DidYouMean(kind, known) + " Kinds: " + JoinWords(known));
      return false;
    }
  }
  return true;
}

bool ReadFilter(const cxxopts::ParseResult& parsed, streams output, event_filter& filter) {
  if (parsed.count("request") > 0) {
    filter.request = parsed["request"].as<std::string>();
  }
  if (parsed.count("instance") > 0) {
    filter.instances = parsed["instance"].as<std::vector<std::string>>();
  }
  return ReadKinds(parsed, output, filter) && ReadSince(parsed, output, filter);
}

//==============================================================================
/** Reads an event; nothing if the value is not an event. */
std::optional<fleet_event> EventFrom(const nlohmann::json& value) {
  try {
    fleet_event event;
    event.when = {value.at("wall_micros").get<std::int64_t>(),
                  value.at("counter").get<std::uint32_t>()};
    event.kind = value.at("kind").get<std::string>();
    event.code = value.value("code", 0);
    event.request = value.value("request", "");
    event.subject = value.value("subject", "");
    event.value = value.value("value", std::int64_t{0});
    event.instance = value.value("instance", "?");
    return event;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::vector<fleet_event> MergeEvents(std::span<const node_answer> answers,
                                     const event_filter& filter) {
  std::vector<fleet_event> events;
  for (const node_answer& answer : answers) {
    if (!answer.json.ok() || !answer.json->is_array()) {
      continue;
    }
    for (const nlohmann::json& value : *answer.json) {
      std::optional<fleet_event> event = EventFrom(value);
      if (event.has_value() && filter.Matches(*event)) {
        events.push_back(*std::move(event));
      }
    }
  }
  std::ranges::stable_sort(events, {}, [](const fleet_event& event) {
    return std::tie(event.when.wall_micros, event.when.counter, event.instance);
  });
  return events;
}

std::string DateText(hybrid_time when) {
  const std::time_t seconds = when.wall_micros / kMicrosPerSecond;
  std::tm calendar_time{};
  gmtime_r(&seconds, &calendar_time);
  std::array<char, 64> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &calendar_time);
  std::snprintf(text.data() + length, text.size() - length, ".%06lldZ+%u",
                static_cast<long long>(when.wall_micros % kMicrosPerSecond), when.counter);
  return text.data();
}

bool HasRequest(const fleet_event& event) {
  return event.request.find_first_not_of('0') != std::string::npos;
}

std::string CodeText(int code) {
  const auto known =
      std::ranges::find(AllResultCodes(), static_cast<result_code>(code), &result_code_info::code);
  const std::string number = "CF" + std::to_string(code);
  return known == AllResultCodes().end() ? number : number + " " + std::string(known->name);
}

void PrintEvent(const fleet_event& event, std::ostream& out) {
  out << DateText(event.when) << "  " << event.instance << "  " << event.kind;
  if (!event.subject.empty()) {
    out << "  " << event.subject;
  }
  if (event.value != 0) {
    out << "  value=" << event.value;
  }
  if (event.code != 0) {
    out << "  " << CodeText(event.code);
  }
  if (HasRequest(event)) {
    out << "  request=" << event.request;
  }
  out << "\n";
}

void PrintJsonLine(const fleet_event& event, std::ostream& out) {
  out << json{{"wall_micros", event.when.wall_micros},
              {"counter", event.when.counter},
              {"instance", event.instance},
              {"kind", event.kind},
              {"code", event.code},
              {"request", event.request},
              {"subject", event.subject},
              {"value", event.value}}
             .dump()
      << "\n";
}

//==============================================================================
exit_code ShowTimeline(const cxxopts::ParseResult& parsed, streams output) {
  event_filter filter;
  std::vector<endpoint> addresses;
  if (!ReadFilter(parsed, output, filter)) {
    return exit_code::kBadCommandLine;
  }
  const exit_code read = ReadNodes(parsed, output, addresses);
  if (read != exit_code::kDone) {
    return read;
  }
  if (addresses.empty()) {
    PrintError(output, result_code::kCommandLineInvalid,
               "nobody to ask; accepted: --nodes or --from-settings");
    return exit_code::kBadCommandLine;
  }
  const std::vector<node_answer> answers =
      GetJsonFromAll(addresses, "/timeline", ReadTimeout(parsed));
  for (const fleet_event& event : MergeEvents(answers, filter)) {
    parsed.count("json") > 0 ? PrintJsonLine(event, output.out) : PrintEvent(event, output.out);
  }
  std::size_t silent = 0;
  for (const node_answer& answer : answers) {
    if (!answer.json.ok()) {
      output.err << "silent: " << answer.json.status().message() << "\n";
      ++silent;
    }
  }
  if (silent == answers.size()) {
    return exit_code::kNoNodeAnswered;
  }
  return silent > 0 ? exit_code::kSomeNodesSilent : exit_code::kDone;
}

}  // namespace

command TimelineCommand() {
  return {.name = "timeline",
          .arguments = "",
          .summary = "the events of all nodes in one order",
          .examples =
              "examples:\n"
              "  cuminferry-ctl timeline --from-settings settings/ --kind table_in_force\n"
              "  cuminferry-ctl timeline --nodes 127.0.0.1:8083,127.0.0.1:8183 --since 5m \\\n"
              "      --request 0123456789abcdef\n"
              "a request's id stands in the header Cuminferry-Request of its answer\n",
          .declare =
              [](cxxopts::Options& options) {
                DeclareNodeOptions(options);
                options.add_options()("request", "events of requests whose id begins so",
                                      cxxopts::value<std::string>(), "HEX")(
                    "instance", "events of these instances",
                    cxxopts::value<std::vector<std::string>>(), "NAME,...")(
                    "kind", "events of these kinds", cxxopts::value<std::vector<std::string>>(),
                    "KIND,...")("since", "events since then: 30s, 5m, 2h or a date in UTC",
                                cxxopts::value<std::string>(),
                                "TIME")("json", "one JSON object a line");
              },
          .run = ShowTimeline};
}

}  // namespace cuminferry::ctl
