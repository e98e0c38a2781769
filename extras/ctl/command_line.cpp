#include "ctl/command_line.h"

#include <algorithm>

#include "ctl/commands/commands.h"
#include "ctl/output/text_grid.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry::ctl {
namespace {

constexpr char kProgram[] = "cuminferry-ctl";
constexpr char kExitCodes[] =
    "exit codes: 0 done, 1 problems found, 2 bad command line, 3 file unreadable,\n"
    "            4 no node answered, 5 some nodes silent, 6 nodes differ\n";

std::vector<command> MakeCommands() {
  std::vector<command> commands = TableCommands();
  commands.push_back(StatusCommand());
  commands.push_back(TimelineCommand());
  commands.push_back(DrainCommand());
  std::ranges::move(TicketCommands(), std::back_inserter(commands));
  commands.push_back(ExplainCommand());
  commands.push_back(CompletionCommand());
  return commands;
}

void PrintOverview(std::ostream& out) {
  out << "usage: " << kProgram << " COMMAND [OPTIONS] [ARGUMENTS]\n\ncommands:\n";
  text_grid grid;
  for (const command& each : AllCommands()) {
    grid.AddRow({"  " + each.name, each.summary});
  }
  grid.Print(out);
  out << "\n" << kProgram << " COMMAND --help tells more about one.\n" << kExitCodes;
}

std::size_t WordCount(const std::string& name) {
  return 1 + static_cast<std::size_t>(std::ranges::count(name, ' '));
}

std::string FirstWords(std::span<const std::string> arguments, std::size_t count) {
  std::string joined;
  for (std::size_t at = 0; at < std::min(count, arguments.size()); ++at) {
    joined += (at == 0 ? "" : " ") + arguments[at];
  }
  return joined;
}

const command* FindCommand(std::span<const std::string> arguments) {
  const auto found = std::ranges::find_if(AllCommands(), [&](const command& each) {
    return each.name == FirstWords(arguments, WordCount(each.name));
  });
  return found == AllCommands().end() ? nullptr : &*found;
}

exit_code PrintUnknownCommand(std::span<const std::string> arguments, streams output) {
  std::vector<std::string> names;
  for (const command& each : AllCommands()) {
    names.push_back(each.name);
  }
  std::string suggestion = DidYouMean(FirstWords(arguments, 2), names);
  if (suggestion.empty()) {
    suggestion = DidYouMean(arguments.front(), names);
  }
  PrintError(output, result_code::kCommandLineInvalid,
             "unknown command \"" + FirstWords(arguments, 2) + "\"" + suggestion +
                 " Commands: " + JoinWords(names));
  return exit_code::kBadCommandLine;
}

cxxopts::Options OptionsOf(const command& chosen) {
  cxxopts::Options options(std::string(kProgram) + " " + chosen.name, chosen.summary);
  options.custom_help("[OPTIONS]").positional_help(chosen.arguments);
  options.add_options()("h,help", "this text");
  options.add_options("hidden")("arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("arguments");
  chosen.declare(options);
  return options;
}

exit_code RunCommand(const command& chosen, std::span<const std::string> arguments,
                     streams output) {
  cxxopts::Options options = OptionsOf(chosen);
  std::vector<const char*> values = {kProgram};
  for (const std::string& argument : arguments) {
    values.push_back(argument.c_str());
  }
  try {
    const auto parsed = options.parse(static_cast<int>(values.size()), values.data());
    if (parsed.count("help") > 0) {
      output.out << options.help({""}) << "\n" << chosen.examples << "\n" << kExitCodes;
      return exit_code::kDone;
    }
    return chosen.run(parsed, output);
  } catch (const cxxopts::exceptions::exception& failure) {
    PrintError(output, result_code::kCommandLineInvalid,
               std::string(failure.what()) + "; see " + kProgram + " " + chosen.name + " --help");
    return exit_code::kBadCommandLine;
  }
}

}  // namespace

std::span<const command> AllCommands() {
  static const std::vector<command> commands = MakeCommands();
  return commands;
}

exit_code RunCtl(std::span<const std::string> arguments, streams output) {
  if (arguments.empty()) {
    PrintOverview(output.err);
    return exit_code::kBadCommandLine;
  }
  if (arguments.front() == "--help" || arguments.front() == "-h" || arguments.front() == "help") {
    PrintOverview(output.out);
    return exit_code::kDone;
  }
  const command* chosen = FindCommand(arguments);
  if (chosen == nullptr) {
    return PrintUnknownCommand(arguments, output);
  }
  return RunCommand(*chosen, arguments.subspan(WordCount(chosen->name)), output);
}

void PrintError(streams output, result_code code, const std::string& detail) {
  output.err << MakeStatus(code, detail).message() << "\n";
}

bool ReadArguments(const cxxopts::ParseResult& parsed, std::size_t count, streams output,
                   std::vector<std::string>& into) {
  if (parsed.count("arguments") > 0) {
    into = parsed["arguments"].as<std::vector<std::string>>();
  }
  if (into.size() == count) {
    return true;
  }
  PrintError(output, result_code::kCommandLineInvalid,
             std::to_string(into.size()) + " arguments; accepted: " + std::to_string(count) +
                 "; see --help");
  return false;
}

}  // namespace cuminferry::ctl
