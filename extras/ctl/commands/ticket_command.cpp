#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "ctl/commands/commands.h"
#include "ctl/fleet/node_client.h"
#include "ctl/fleet/node_list.h"

namespace cuminferry::ctl {
namespace {

using json = nlohmann::ordered_json;

/** Status of a ticket as a node reports it. */
struct ticket_report {
  /** "completed", "not_run", "unknown", or empty if the node gave none. */
  std::string outcome;
  int code = 0;
  int http_status = 0;
  std::string body;
};

ticket_report ReportFrom(const http_answer& answer) {
  ticket_report report{answer.Header(header_names::kOutcome), 0, answer.status, answer.body};
  static_cast<void>(absl::SimpleAtoi(answer.Header(header_names::kCode), &report.code));
  return report;
}

/** kDone if the request's outcome is certain, kFoundProblems if it is running or unknown. */
exit_code ExitCodeFor(const ticket_report& report) {
  const auto code = static_cast<result_code>(report.code);
  const bool is_certain = report.outcome == "completed" || report.outcome == "not_run" ||
                          code == result_code::kTicketRevoked ||
                          code == result_code::kTicketExpired ||
                          code == result_code::kTicketAnswerForgotten;
  const bool malformed = code == result_code::kTicketMalformed;
  return malformed ? exit_code::kBadCommandLine
                   : (is_certain ? exit_code::kDone : exit_code::kFoundProblems);
}

std::string MeaningOf(int code) {
  const auto known =
      std::ranges::find(AllResultCodes(), static_cast<result_code>(code), &result_code_info::code);
  return known == AllResultCodes().end() ? std::string() : std::string(known->meaning);
}

void PrintReport(const ticket_report& report, bool as_json, std::ostream& out) {
  if (as_json) {
    out << json{{"end", report.outcome},
                {"code", report.code},
                {"meaning", MeaningOf(report.code)},
                {"http_status", report.http_status},
                {"body", report.body}}
               .dump(2, ' ', false, json::error_handler_t::replace)
        << "\n";
    return;
  }
  const std::string close = report.body.ends_with('\n') ? "" : "\n";
  if (report.code != 0) {
    out << "code:    CF" << report.code << " " << MeaningOf(report.code) << "\n";
  }
  if (report.outcome.empty()) {
    // Without an outcome the body is the state of the ticket at its home node.
    out << "state:   " << report.body << close;
    return;
  }
  out << "end:     " << report.outcome << "\n"
      << "status:  " << report.http_status << "\n"
      << "answer:  " << report.body << close;
}

exit_code RunTicketCommand(const cxxopts::ParseResult& parsed, bool revoke, streams output) {
  std::vector<std::string> arguments;
  endpoint node;
  if (!ReadArguments(parsed, 1, output, arguments)) {
    return exit_code::kBadCommandLine;
  }
  if (parsed.count("node") == 0) {
    PrintError(output, result_code::kCommandLineInvalid,
               "--node is required: the front address of any node");
    return exit_code::kBadCommandLine;
  }
  if (!ParseAddress(parsed["node"].as<std::string>(), output, node)) {
    return exit_code::kBadCommandLine;
  }
  const std::string path = "/ticket/" + arguments[0];
  const std::chrono::milliseconds timeout(parsed["timeout-ms"].as<std::uint32_t>());
  const auto answer = revoke ? Post(node, path + "/revoke", timeout) : Get(node, path, timeout);
  if (!answer.ok()) {
    output.err << answer.status().message() << "\n";
    return exit_code::kNoNodeAnswered;
  }
  const ticket_report report = ReportFrom(*answer);
  PrintReport(report, parsed.count("json") > 0, output.out);
  return ExitCodeFor(report);
}

void DeclareTicketOptions(cxxopts::Options& options) {
  options.add_options()("node", "front address of any node", cxxopts::value<std::string>(),
                        "IP:PORT")("timeout-ms", "longest wait for the answer",
                                   cxxopts::value<std::uint32_t>()->default_value("5000"),
                                   "MS")("json", "machine-readable output");
}

}  // namespace

std::vector<command> TicketCommands() {
  return {
      {.name = "ticket show",
       .arguments = "TICKET",
       .summary = "what became of a non-idempotent request",
       .examples = "example (the ticket stands in the header Cuminferry-Ticket):\n"
                   "  cuminferry-ctl ticket show --node 127.0.0.1:8080 \\\n"
                   "      7f000001-1f91.0123456789abcdef.0000002a."
                   "00112233445566778899aabbccddeeff\n",
       .declare = DeclareTicketOptions,
       .run = [](const cxxopts::ParseResult& parsed,
                 streams output) { return RunTicketCommand(parsed, /*revoke=*/false, output); }},
      {.name = "ticket revoke",
       .arguments = "TICKET",
       .summary = "make sure that a request never runs, or learn that it did",
       .examples = "example:\n"
                   "  cuminferry-ctl ticket revoke --node 127.0.0.1:8080 TICKET\n",
       .declare = DeclareTicketOptions,
       .run = [](const cxxopts::ParseResult& parsed, streams output) {
         return RunTicketCommand(parsed, /*revoke=*/true, output);
       }}};
}

}  // namespace cuminferry::ctl
