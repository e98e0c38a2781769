#include "trial/journal_reader.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace cuminferry::trial {
namespace {

using json = nlohmann::json;

journal_entry EntryFrom(const json& line, const std::string& service) {
  journal_entry entry;
  entry.service = service;
  entry.request = line.at("request");
  const std::size_t dot = entry.request.rfind('.');
  if (dot != std::string::npos) {
    entry.attempt =
        static_cast<std::uint32_t>(std::strtoul(entry.request.c_str() + dot + 1, nullptr, 10));
    entry.request.resize(dot);
  }
  entry.is_effect = line.at("what") == "effect";
  entry.is_done = line.at("end") == "done";
  entry.busy = duration(line.at("busy_us").get<std::int64_t>());
  entry.waited = duration(line.at("waited_us").get<std::int64_t>());
  return entry;
}

}  // namespace

void ReadJournal(const std::string& file, const std::string& service, journal_contents& journal) {
  std::ifstream stream(file);
  std::string line;
  while (std::getline(stream, line)) {
    try {
      journal.entries.push_back(EntryFrom(json::parse(line), service));
    } catch (const json::exception&) {
      ++journal.unreadable_line_count;
    }
  }
}

}  // namespace cuminferry::trial
