#include <map>
#include <set>

#include "ctl/commands/commands.h"

namespace cuminferry::ctl {
namespace {

/** The long options of one command, such as "--json --nodes ". */
std::string OptionWords(const command& each) {
  cxxopts::Options options("cuminferry-ctl");
  options.add_options()("help", "");
  each.declare(options);
  std::string words;
  for (const std::string& group : options.groups()) {
    for (const auto& option : options.group_help(group).options) {
      for (const std::string& name : option.l) {
        words += "--" + name + " ";
      }
    }
  }
  return words;
}

std::string FirstWord(const std::string& name) { return name.substr(0, name.find(' ')); }

std::string SecondWord(const std::string& name) {
  const std::size_t space = name.find(' ');
  return space == std::string::npos ? std::string() : name.substr(space + 1);
}

void PrintBash(std::ostream& out) {
  std::set<std::string> first_words;
  std::map<std::string, std::string> second_words;
  for (const command& each : AllCommands()) {
    first_words.insert(FirstWord(each.name));
    second_words[FirstWord(each.name)] += SecondWord(each.name) + " ";
  }
  out << "_cuminferry_ctl() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]} words=\"\"\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
         "    words=\"";
  for (const std::string& word : first_words) {
    out << word << " ";
  }
  out << "help\"\n"
         "  else\n"
         "    case \"${COMP_WORDS[1]} ${COMP_WORDS[2]}\" in\n";
  for (const command& each : AllCommands()) {
    const std::string pattern =
        SecondWord(each.name).empty() ? "\"" + each.name + "\" *" : "\"" + each.name + "\"";
    out << "      " << (SecondWord(each.name).empty() ? "\"" + each.name + " \"*" : pattern)
        << ") words=\"" << OptionWords(each) << "\" ;;\n";
  }
  for (const auto& [first, second] : second_words) {
    if (second.find_first_not_of(' ') != std::string::npos) {
      out << "      \"" << first << " \"*) words=\"" << second << "\" ;;\n";
    }
  }
  out << "    esac\n"
         "  fi\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
         "  case \"$word\" in -*) ;; *) [ \"$COMP_CWORD\" -gt 1 ] && "
         "COMPREPLY+=($(compgen -f -- \"$word\")) ;; esac\n"
         "}\n"
         "complete -F _cuminferry_ctl cuminferry-ctl\n";
}

exit_code PrintCompletion(const cxxopts::ParseResult& parsed, streams output) {
  std::vector<std::string> arguments;
  if (!ReadArguments(parsed, 1, output, arguments)) {
    return exit_code::kBadCommandLine;
  }
  if (arguments[0] != "bash") {
    PrintError(output, result_code::kCommandLineInvalid,
               "\"" + arguments[0] + "\"; accepted: bash");
    return exit_code::kBadCommandLine;
  }
  PrintBash(output.out);
  return exit_code::kDone;
}

}  // namespace

command CompletionCommand() {
  return {.name = "completion",
          .arguments = "bash",
          .summary = "a script that completes commands and options",
          .examples = "example:\n  source <(cuminferry-ctl completion bash)\n",
          .declare = [](cxxopts::Options&) {},
          .run = PrintCompletion};
}

}  // namespace cuminferry::ctl
