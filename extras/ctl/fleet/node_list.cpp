#include "ctl/fleet/node_list.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry::ctl {
namespace {

/** All .json and .jsonc files below a folder, sorted by name. */
std::vector<std::string> SettingsFilesIn(const std::string& folder, std::error_code& failure) {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder, failure)) {
    const std::string name = entry.path().string();
    if (entry.is_regular_file() && (name.ends_with(".json") || name.ends_with(".jsonc"))) {
      names.push_back(name);
    }
  }
  std::ranges::sort(names);
  return names;
}

exit_code AddFromSettings(const std::string& folder, streams output, std::vector<endpoint>& into) {
  std::error_code failure;
  const std::vector<std::string> names = SettingsFilesIn(folder, failure);
  if (failure) {
    PrintError(output, result_code::kSettingsFileUnreadable, folder + ": " + failure.message());
    return exit_code::kFileUnreadable;
  }
  for (const std::string& name : names) {
    std::string text;
    if (!ReadFile(name, output, text)) {
      return exit_code::kFileUnreadable;
    }
    const auto settings = node_settings::Parse(text);
    if (settings.ok()) {
      into.push_back(settings->admin);
    } else if (text.find("\"admin\"") != std::string::npos) {
      // The folder may contain other files. A file with an "admin" field is likely a node's
      // settings file, so the operator is warned that it is skipped.
      output.err << name << " is not asked: " << settings.status().message() << "\n";
    }
  }
  return exit_code::kDone;
}

}  // namespace

void DeclareNodeOptions(cxxopts::Options& options) {
  options.add_options()("nodes", "admin addresses of the nodes to ask",
                        cxxopts::value<std::vector<std::string>>(), "IP:PORT,...")(
      "from-settings", "ask the nodes whose settings files stand in a folder",
      cxxopts::value<std::string>(), "DIR")("timeout-ms", "longest wait for one node",
                                            cxxopts::value<std::uint32_t>()->default_value("3000"),
                                            "MS");
}

exit_code ReadNodes(const cxxopts::ParseResult& parsed, streams output,
                    std::vector<endpoint>& into) {
  if (parsed.count("nodes") > 0) {
    for (const std::string& text : parsed["nodes"].as<std::vector<std::string>>()) {
      endpoint address;
      if (!ParseAddress(text, output, address)) {
        return exit_code::kBadCommandLine;
      }
      into.push_back(address);
    }
  }
  if (parsed.count("from-settings") > 0) {
    const exit_code read = AddFromSettings(parsed["from-settings"].as<std::string>(), output, into);
    if (read != exit_code::kDone) {
      return read;
    }
  }
  std::ranges::sort(into);
  into.erase(std::unique(into.begin(), into.end()), into.end());
  return exit_code::kDone;
}

std::chrono::milliseconds ReadTimeout(const cxxopts::ParseResult& parsed) {
  return std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint32_t>());
}

bool ParseAddress(const std::string& text, streams output, endpoint& into) {
  if (endpoint::Parse(text, into)) {
    return true;
  }
  PrintError(output, result_code::kCommandLineInvalid,
             "\"" + text + "\"; accepted: an IPv4 address and a port, such as 127.0.0.1:8083");
  return false;
}

bool ReadFile(const std::string& name, streams output, std::string& into) {
  std::ifstream file(name, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    PrintError(output, result_code::kSettingsFileUnreadable, name);
    return false;
  }
  into = text.str();
  return true;
}

}  // namespace cuminferry::ctl
