#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "ctl/commands/commands.h"

namespace cuminferry::ctl {
namespace {

using nlohmann::json;

/** One line of a node's log about the request. */
struct log_entry {
  /** The node's wall clock in microseconds; the clocks of nodes differ slightly. */
  std::int64_t wall_micros = 0;
  std::string instance;
  std::string event;
  /** True for the request itself, false for a call that its backend server likely made. */
  bool is_own = true;
  json line;
};

std::string TextOf(const json& line, const char* key) {
  const auto found = line.find(key);
  if (found == line.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string MillisOf(const json& line, const char* key) {
  const auto found = line.find(key);
  if (found == line.end() || !found->is_number()) {
    return "?";
  }
  std::ostringstream text;
  text.precision(1);
  text << std::fixed << found->get<double>() / 1000.0 << " ms";
  return text.str();
}

/** Decides whether an entry is shown; may change the entry. */
using entry_filter = std::function<bool(log_entry&)>;

/** Parses a log line that contains `part`. Text before the JSON object is skipped. */
std::optional<log_entry> ToEntry(const std::string& text, const std::string& part) {
  const auto begin = text.find('{');
  if (begin == std::string::npos || text.find(part) == std::string::npos) {
    return std::nullopt;
  }
  json line =
      json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
  if (!line.is_object()) {
    return std::nullopt;
  }
  log_entry entry;
  entry.wall_micros = line.value("time_us", std::int64_t{0});
  entry.instance = TextOf(line, "instance");
  entry.event = TextOf(line, "event");
  entry.line = std::move(line);
  return entry;
}

bool ReadLog(const std::filesystem::path& file, const std::string& part,
             const entry_filter& is_shown, std::vector<log_entry>& into) {
  std::ifstream stream(file);
  if (!stream) {
    return false;
  }
  std::string text;
  while (std::getline(stream, text)) {
    auto entry = ToEntry(text, part);
    if (entry && is_shown(*entry)) {
      into.push_back(std::move(*entry));
    }
  }
  return true;
}

bool ReadLogs(const std::vector<std::string>& paths, const std::string& part,
              const entry_filter& is_shown, std::vector<log_entry>& into, std::string& unreadable) {
  for (const std::string& path : paths) {
    std::error_code error;
    bool all = true;
    if (!std::filesystem::is_directory(path, error)) {
      all = ReadLog(path, part, is_shown, into);
    } else {
      for (const auto& file : std::filesystem::directory_iterator(path, error)) {
        all = ReadLog(file.path(), part, is_shown, into) && all;
      }
    }
    if (!all || error) {
      unreadable = path;
      return false;
    }
  }
  return true;
}

// Calls whose id starts with the request's id and a dot are shown as likely made by it. This is
// a heuristic: nothing guarantees such ids.
entry_filter MatchRequestId(const std::string& id) {
  return [id](log_entry& entry) {
    const std::string found = TextOf(entry.line, "id");
    entry.is_own = found == id;
    return entry.is_own || found.starts_with(id + ".");
  };
}

// Adds the crashes of backend servers that led to the block of a request, and the earliest entry
// of a node that blocks it.
void AddCrashes(const std::vector<std::string>& paths, std::vector<log_entry>& entries) {
  std::set<std::string> suspects;
  for (const log_entry& entry : entries) {
    if (entry.line.contains("suspect")) {
      suspects.insert(TextOf(entry.line, "suspect"));
    }
  }
  const std::size_t known = entries.size();
  std::vector<log_entry> found;
  for (const std::string& suspect : suspects) {
    std::string unreadable;
    ReadLogs(
        paths, suspect, [](const log_entry& entry) { return entry.event.starts_with("suspect."); },
        found, unreadable);
  }
  std::ranges::stable_sort(found, {}, &log_entry::wall_micros);
  bool blocked = false;
  for (log_entry& entry : found) {
    const bool is_block = entry.event == "suspect.blocked";
    const bool is_known =
        std::any_of(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(known),
                    [&entry](const log_entry& other) { return other.line == entry.line; });
    if (!is_known && !(is_block && std::exchange(blocked, true))) {
      entries.push_back(std::move(entry));
    }
  }
}

// Adds what the targets of the request had declared when it was tried there: for each target and
// kind of declaration the latest line of its node before the last try.
void AddDeclarations(const std::vector<std::string>& paths, std::vector<log_entry>& entries) {
  std::map<std::string, std::int64_t> last_tries;
  for (const log_entry& entry : entries) {
    const bool names_declaration =
        entry.line.contains("declared_rate") || TextOf(entry.line, "why") == "leaving";
    if (names_declaration && entry.line.contains("target")) {
      std::int64_t& last = last_tries[TextOf(entry.line, "target")];
      last = std::max(last, entry.wall_micros);
    }
  }
  for (const auto& last : last_tries) {
    const std::string& target = last.first;
    const std::int64_t last_try = last.second;
    std::map<std::string, log_entry> latest;
    std::vector<log_entry> found;
    std::string unreadable;
    const auto is_declaration = [&](const log_entry& entry) {
      return (entry.event == "backend.declared" || entry.event == "backend.leaving") &&
             TextOf(entry.line, "target") == target && entry.wall_micros <= last_try;
    };
    ReadLogs(paths, target, is_declaration, found, unreadable);
    std::ranges::stable_sort(found, {}, &log_entry::wall_micros);
    for (log_entry& entry : found) {
      latest.insert_or_assign(entry.event, std::move(entry));
    }
    for (auto& [event, entry] : latest) {
      entries.push_back(std::move(entry));
    }
  }
}

// Explains the value of a log line's reason or result to an operator.
std::string MeaningOf(const std::string& why) {
  static const std::map<std::string, std::string> kMeanings = {
      {"level",
       "a service further down has no room; less important rows are refused at their "
       "entry before they cost it anything"},
      {"full", "no slot of the backend server would have been free in time"},
      {"leaving", "the backend server or its node was leaving"},
      {"over-rate",
       "it had no turn within the requests a second that the backend server declares to take: it "
       "has not run"},
      {"down", "no connection to the target's node or to its backend server"},
      {"unconfirmed",
       "no answer of the target's node, which had not been permitted to run the request"},
      {"no-repeats", "the bound on repeats was used up at the target"},
      {"turned-away", "the backend server said that it had not run the request"},
      {"other-instance", "another backend server stood at the target's address"},
      {"ended", "the backend server ended while it ran the request, among others"},
      {"ended-alone", "the backend server ended, as others had before under this request"},
      {"blocked", "it ends backend servers that run it: it has not run"},
      {"ends_targets", "it ends backend servers that run it"},
      {"lost", "the connection was lost after the request was sent: it may have run"},
      {"damaged", "what came back was no answer to this request: it may have run"},
      {"timed-out", "no answer, and no sign of one, in time: it may have run"},
      {"deadline", "the row's timeout or the client's deadline passed"},
      {"no_target", "no target of the service was left to try"},
      {"stopping", "the node was about to end"},
      {"over_limit", "its customer sent more than its limit lets in"},
      {"unknown_key", "it carried a key that no customer has, or more than one"},
      {"no_key", "it carried no key, and its row is not open to all"},
      {"stale_key", "the node could not know whether its customer's key was withdrawn"},
      {"unsure_key", "the node did not know its key and was not sure to know all keys"},
      {"stale-key", "its customer's key may have been withdrawn while it waited: it has not run"},
      {"no_table", "the node knew no table yet"},
      {"no_row", "no row of the table in force matches host and path"}};
  const auto found = kMeanings.find(why);
  return found == kMeanings.end() ? why : found->second;
}

// Describes the customer, its limit and the age of the node's replica of the keys.
std::string DescribeCustomer(const json& line) {
  std::string words;
  if (line.contains("customer")) {
    words += ", customer " + TextOf(line, "customer");
  }
  if (line.contains("limit_share")) {
    const bool alone = line.value("limit_alone", false);
    words += alone ? ", by the node's equal share of the limit, as no other node answered"
                   : ", of whose requests a part of " + TextOf(line, "limit_share") + " is let in";
  }
  if (line.contains("customer_share")) {
    words += ", whose fair share lets in a part of " + TextOf(line, "customer_share") +
             " of its requests";
  }
  if (line.contains("copy_age_us")) {
    words += ", copy " + MillisOf(line, "copy_age_us") + " old";
  }
  return words;
}

// Describes what the ingress node knew of the rate that the target declares.
std::string DescribeDeclaredRate(const json& line) {
  if (!line.contains("declared_rate")) {
    return "";
  }
  return " (the target declared " + TextOf(line, "declared_rate") + " requests a second, " +
         MillisOf(line, "declared_age_us") + " before)";
}

// Says that the target counted although the platform did not list it.
std::string DescribeUnlisted(const json& line) {
  if (!line.contains("unlisted_us")) {
    return "";
  }
  return " (the target had not been listed for " + MillisOf(line, "unlisted_us") + ")";
}

std::string DescribeDeclaration(const log_entry& entry) {
  const json& line = entry.line;
  const std::string target = "target " + TextOf(line, "target");
  if (entry.event == "backend.leaving") {
    return target + " declared that it leaves";
  }
  if (line.value("rate", 0.0) < 0.0) {
    return target + " declared a rate no longer";
  }
  return target + " declared to take " + TextOf(line, "rate") +
         " requests a second, from here on (heard from: " + TextOf(line, "from") + ")";
}

std::string Describe(const log_entry& entry) {
  const json& line = entry.line;
  if (entry.event == "request.turned_away") {
    return "try " + TextOf(line, "placements") + " at target " + TextOf(line, "target") + " of " +
           TextOf(line, "service") + " brought no answer: " + MeaningOf(TextOf(line, "why")) +
           DescribeDeclaredRate(line) + DescribeUnlisted(line);
  }
  if (entry.event == "backend.declared" || entry.event == "backend.leaving") {
    return DescribeDeclaration(entry);
  }
  if (entry.event == "serving.end") {
    const bool is_displaced = line.value("reason", "") == "displaced";
    return "at the backend server: " + MeaningOf(TextOf(line, "result")) +
           (is_displaced ? ", displaced by more important requests" : "") + "; waited " +
           MillisOf(line, "waited_us") + ", ran " + MillisOf(line, "ran_us") + "; then " +
           TextOf(line, "running") + " of " + TextOf(line, "limit") + " slots taken, " +
           TextOf(line, "waiting") + " waiting, level " + TextOf(line, "level");
  }
  if (entry.event == "request.end") {
    std::string words = "ended as " + TextOf(line, "result") + " after " + MillisOf(line, "us");
    if (line.contains("row")) {
      words += ", row " + TextOf(line, "row") + ", table " + TextOf(line, "table");
    }
    if (line.contains("why")) {
      words += ": " + MeaningOf(TextOf(line, "why"));
    }
    if (line.contains("level")) {
      words += " (level " + TextOf(line, "level");
      words += line.contains("limited_by") ? ", limited by " + TextOf(line, "limited_by") : "";
      words += ")";
    }
    return words + DescribeDeclaredRate(line) + DescribeUnlisted(line) + DescribeCustomer(line);
  }
  if (entry.event == "suspect.ran") {
    const std::string customer = TextOf(line, "customer");
    return "a backend server ended while it ran " + TextOf(line, "path") +
           (customer.empty() ? "" : " of customer " + customer) + " (request " +
           TextOf(line, "id") + ", end " + TextOf(line, "end") +
           "); ends under that request so far: " + TextOf(line, "ends");
  }
  if (entry.event == "suspect.blocked") {
    return "blocked from here on, after " + TextOf(line, "ends") + " ends, the last of them " +
           TextOf(line, "last_end");
  }
  return entry.event + " " + line.dump();
}

void PrintEntries(const std::vector<log_entry>& entries, std::ostream& out) {
  const std::int64_t first = entries.front().wall_micros;
  for (const log_entry& entry : entries) {
    std::ostringstream at;
    at.precision(1);
    at << std::fixed << static_cast<double>(entry.wall_micros - first) / 1000.0;
    out << "+" << at.str() << " ms  " << entry.instance << "  " << (entry.is_own ? "" : "(call) ")
        << Describe(entry) << "\n";
  }
}

exit_code Explain(const cxxopts::ParseResult& parsed, streams output) {
  std::vector<std::string> arguments;
  if (!ReadArguments(parsed, 1, output, arguments)) {
    return exit_code::kBadCommandLine;
  }
  const std::string& id = arguments.front();
  std::vector<log_entry> entries;
  const auto paths = parsed["logs"].as<std::vector<std::string>>();
  std::string unreadable;
  if (!ReadLogs(paths, id, MatchRequestId(id), entries, unreadable)) {
    PrintError(output, result_code::kSettingsFileUnreadable, unreadable);
    return exit_code::kFileUnreadable;
  }
  AddCrashes(paths, entries);
  AddDeclarations(paths, entries);
  if (entries.empty()) {
    output.out << "no line speaks of " << id
               << "; lines over a node's rate are left out and counted (log.left_out)\n";
    return exit_code::kFoundProblems;
  }
  std::ranges::stable_sort(entries, {}, &log_entry::wall_micros);
  if (parsed.count("json") > 0) {
    json lines = json::array();
    for (const log_entry& entry : entries) {
      lines.push_back(entry.line);
    }
    output.out << lines.dump(2) << "\n";
  } else {
    PrintEntries(entries, output.out);
  }
  return exit_code::kDone;
}

}  // namespace

command ExplainCommand() {
  return {.name = "explain",
          .arguments = "REQUEST-ID",
          .summary = "what became of a request, from the nodes' logs",
          .examples = "example:\n  cuminferry-ctl explain 9c41d07be2a35f68 --logs logs/\n",
          .declare =
              [](cxxopts::Options& options) {
                options.add_options()("logs", "log files, or folders of them",
                                      cxxopts::value<std::vector<std::string>>())(
                    "json", "the lines themselves, in order");
              },
          .run = Explain};
}

}  // namespace cuminferry::ctl
