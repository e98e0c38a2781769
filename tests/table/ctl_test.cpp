#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "ctl/command_line.h"
#include "table/fake_node.h"
#include "table/read_file.h"

namespace cuminferry {
namespace {

using ctl::exit_code;
using json = nlohmann::json;
using testing::fake_node;

/** An address of this machine that refuses connections: its socket is bound but does not listen. */
class refusing_address {
 public:
  refusing_address() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address_;
    CPPUNIT_ASSERT_EQUAL(0, bind(socket_, reinterpret_cast<sockaddr*>(&address_), length));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(socket_, reinterpret_cast<sockaddr*>(&address_), &length));
  }
  ~refusing_address() { close(socket_); }

  std::string text() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }

 private:
  int socket_;
  sockaddr_in address_{};
};

struct ctl_run {
  explicit ctl_run(const std::vector<std::string>& arguments) {
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    code = ctl::RunCtl(arguments, {out_stream, err_stream});
    out = out_stream.str();
    err = err_stream.str();
  }

  bool Prints(const std::string& text) const { return out.find(text) != std::string::npos; }
  bool PrintsError(const std::string& text) const { return err.find(text) != std::string::npos; }

  exit_code code;
  std::string out;
  std::string err;
};

/** Writes a temporary file under the build folder and returns its path. */
std::string WriteFile(const std::string& name, const std::string& text) {
  const std::string folder = CUMINFERRY_BINARY_DIR "/ctl_test";
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/" + name) << text;
  return folder + "/" + name;
}

std::string Example(const std::string& name) {
  return std::string(CUMINFERRY_SOURCE_DIR "/examples/") + name;
}

std::string StatusOf(const std::string& instance, std::uint64_t version, std::uint64_t digest) {
  return json{{"instance", instance},
              {"service", "permit"},
              {"failure_domain", "halle-nord"},
              {"draining", false},
              {"running", 3},
              {"queued", 1},
              {"limit", 40},
              {"later_key", 7},
              {"tables", {{{"service", "permit"}, {"version", version}, {"digest", digest}}}}}
      .dump();
}

json EventOf(const std::string& instance, std::int64_t micros, std::uint32_t counter,
             const std::string& kind, const std::string& request) {
  return {
      {"wall_micros", micros}, {"counter", counter},       {"kind", kind}, {"code", 300},
      {"request", request},    {"subject", "permit-file"}, {"value", 7},   {"instance", instance}};
}

}  // namespace

class ctl_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ctl_test);
  CPPUNIT_TEST(Program_NoOrUnknownCommand_ShowsUsage);
  CPPUNIT_TEST(Command_Help_HasExamplesAndExitCodes);
  CPPUNIT_TEST(Command_BadOptionOrArgument_EndsWithTwo);
  CPPUNIT_TEST(TableCheck_GoodAndBad_EndsWithZeroAndOne);
  CPPUNIT_TEST(TableDiff_VersionNotRaised_SaysThatNodesIgnoreIt);
  CPPUNIT_TEST(TableShow_Json_IsAcceptedAsATable);
  CPPUNIT_TEST(Status_AllAgree_EndsWithZero);
  CPPUNIT_TEST(Status_VersionsDiffer_NamesInstancesWithTheOlder);
  CPPUNIT_TEST(Status_OneVersionTwoContents_IsAnAlarm);
  CPPUNIT_TEST(Status_NodesDoNotAnswer_ShowsTheOthers);
  CPPUNIT_TEST(Status_PublishedVersionNotInForce_IsShown);
  CPPUNIT_TEST(Status_FromSettings_QueriesTheAdminAddresses);
  CPPUNIT_TEST(Status_NodeAnswersInvalidJson_CountsAsSilent);
  CPPUNIT_TEST(Timeline_SeveralNodes_IsMergedAndFiltered);
  CPPUNIT_TEST(Timeline_BadFilter_EndsWithTwo);
  CPPUNIT_TEST(Drain_NodeAnswersThenStops_IsWaitedFor);
  CPPUNIT_TEST(Ticket_CompletedRunningMalformed_HaveTheirExitCodes);
  CPPUNIT_TEST(Completion_Bash_NamesEveryCommand);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Program_NoOrUnknownCommand_ShowsUsage() {
    CPPUNIT_ASSERT(ctl_run({}).PrintsError("usage:"));
    CPPUNIT_ASSERT(ctl_run({"--help"}).code == exit_code::kDone);
    const ctl_run mistyped({"tabel", "check"});
    CPPUNIT_ASSERT(mistyped.code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(mistyped.PrintsError("did you mean \"table check\"?"));
  }

  void Command_Help_HasExamplesAndExitCodes() {
    for (const ctl::command& each : ctl::AllCommands()) {
      std::vector<std::string> words;
      std::istringstream name(each.name);
      for (std::string word; name >> word;) {
        words.push_back(word);
      }
      words.emplace_back("--help");
      const ctl_run help(words);
      CPPUNIT_ASSERT_MESSAGE(each.name, help.code == exit_code::kDone);
      CPPUNIT_ASSERT_MESSAGE(help.out, help.Prints("example") && help.Prints("exit codes:"));
    }
  }

  void Command_BadOptionOrArgument_EndsWithTwo() {
    CPPUNIT_ASSERT(ctl_run({"table", "check", "--jsn", "x"}).PrintsError("CF206"));
    CPPUNIT_ASSERT(ctl_run({"table", "check"}).code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"status"}).code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"status", "--nodes", "here"}).PrintsError("accepted: an IPv4"));
    CPPUNIT_ASSERT(ctl_run({"drain", "here"}).code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"status", "--timeout-ms", "soon", "--nodes", "127.0.0.1:1"}).code ==
                   exit_code::kBadCommandLine);
  }

  void TableCheck_GoodAndBad_EndsWithZeroAndOne() {
    const ctl_run good({"table", "check", Example("donauried.table.jsonc")});
    CPPUNIT_ASSERT(good.code == exit_code::kDone && good.Prints("4 services, 11 rows"));
    const std::string file = WriteFile("bad.jsonc", R"({"version": 0, "rows": []})");
    const ctl_run bad({"table", "check", file});
    CPPUNIT_ASSERT(bad.code == exit_code::kFoundProblems);
    CPPUNIT_ASSERT(bad.Prints("CF103 table_out_of_range at /version"));
    CPPUNIT_ASSERT(bad.Prints("CF104 table_missing_key at the top"));
    const json report = json::parse(ctl_run({"table", "check", "--json", file}).out);
    CPPUNIT_ASSERT(!report["accepted"].get<bool>());
    CPPUNIT_ASSERT_EQUAL(103, report["problems"][0]["code"].get<int>());
    CPPUNIT_ASSERT(ctl_run({"table", "check", "absent"}).code == exit_code::kFileUnreadable);
  }

  // Guards against an edit without effect: nodes ignore a table whose version is not higher than
  // that of the table in force. The diff must report a version that was not raised.
  void TableDiff_VersionNotRaised_SaysThatNodesIgnoreIt() {
    std::string text = testing::ReadFile("examples/donauried.table.jsonc");
    text.replace(text.find("\"weight\": 10000"), 15, "\"weight\": 9999");
    const std::string edited = WriteFile("edited.jsonc", text);
    const ctl_run diff({"table", "diff", Example("donauried.table.jsonc"), edited});
    CPPUNIT_ASSERT(diff.code == exit_code::kFoundProblems);
    CPPUNIT_ASSERT(diff.PrintsError("CF112"));
    CPPUNIT_ASSERT(diff.Prints("permit-file: weight 10000 -> 9999: refused earlier"));
    const ctl_run same({"table", "diff", edited, edited});
    CPPUNIT_ASSERT(same.code == exit_code::kDone && same.Prints("no differences"));
  }

  void TableShow_Json_IsAcceptedAsATable() {
    const ctl_run grid({"table", "show", "--by-weight", Example("quebec.table.jsonc")});
    CPPUNIT_ASSERT(grid.out.find("deposit-pay") < grid.out.find("weather-board"));
    const ctl_run shown({"table", "show", "--json", Example("quebec.table.jsonc")});
    const ctl_run again({"table", "show", "--json", WriteFile("shown.json", shown.out)});
    CPPUNIT_ASSERT(again.code == exit_code::kDone);
    CPPUNIT_ASSERT_EQUAL(shown.out, again.out);
  }

  void Status_AllAgree_EndsWithZero() {
    const ctl_run run = StatusOfTwo(StatusOf("permit-1", 7, 1), StatusOf("permit-2", 7, 1));
    CPPUNIT_ASSERT(run.code == exit_code::kDone);
    CPPUNIT_ASSERT(run.Prints("version 7 on 2 of 2") && run.Prints("halle-nord"));
  }

  // A failure domain that is cut off retains the previous version. The status must name the
  // instances that still use it.
  void Status_VersionsDiffer_NamesInstancesWithTheOlder() {
    const ctl_run run = StatusOfTwo(StatusOf("permit-1", 7, 1), StatusOf("permit-2", 6, 2));
    CPPUNIT_ASSERT(run.code == exit_code::kNodesDiffer);
    CPPUNIT_ASSERT(run.Prints("version 7 on 1 of 2; version 6 on 1 of 2 (permit-2)"));
  }

  void Status_OneVersionTwoContents_IsAnAlarm() {
    const ctl_run run = StatusOfTwo(StatusOf("permit-1", 7, 1), StatusOf("permit-2", 7, 2));
    CPPUNIT_ASSERT(run.code == exit_code::kNodesDiffer && run.Prints("CF111"));
  }

  void Status_NodesDoNotAnswer_ShowsTheOthers() {
    fake_node node;
    node.AnswerGet("/status", StatusOf("permit-1", 7, 1));
    const refusing_address refusing;
    const std::string silent = refusing.text();
    const ctl_run some({"status", "--nodes", node.address() + "," + silent});
    CPPUNIT_ASSERT(some.code == exit_code::kSomeNodesSilent);
    CPPUNIT_ASSERT(some.Prints("permit-1") && some.Prints("silent: CF208") &&
                   some.Prints("no connection"));
    const ctl_run none({"status", "--json", "--nodes", silent});
    CPPUNIT_ASSERT(none.code == exit_code::kNoNodeAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json::parse(none.out)["silent"].size());
  }

  void Status_PublishedVersionNotInForce_IsShown() {
    fake_node node;
    node.AnswerGet("/status", StatusOf("permit-1", 7, 1));
    fake_node platform;
    platform.AnswerGet("/v1/kv/cuminferry/index",
                       R"({"version":8,"fleet_size":1,"shards":[
                         {"service":"permit","version":8,"digest":5}]})");
    const ctl_run run({"status", "--nodes", node.address(), "--platform", platform.address()});
    CPPUNIT_ASSERT(run.code == exit_code::kNodesDiffer);
    CPPUNIT_ASSERT(run.Prints("version 7 on 1 of 1; published: version 8"));
  }

  void Status_FromSettings_QueriesTheAdminAddresses() {
    fake_node node;
    node.AnswerGet("/status", StatusOf("permit-1", 7, 1));
    auto settings =
        json::parse(testing::ReadFile("examples/node.settings.jsonc"), nullptr, true, true);
    settings["admin"] = node.address();
    const std::string folder = CUMINFERRY_BINARY_DIR "/ctl_test/settings";
    std::filesystem::create_directories(folder);
    WriteFile("settings/permit-1.json", settings.dump());
    const ctl_run run({"status", "--from-settings", folder});
    CPPUNIT_ASSERT_MESSAGE(run.err, run.code == exit_code::kDone && run.Prints("permit-1"));
    CPPUNIT_ASSERT(ctl_run({"status", "--from-settings", "/absent"}).code ==
                   exit_code::kFileUnreadable);
  }

  void Status_NodeAnswersInvalidJson_CountsAsSilent() {
    fake_node node;
    node.AnswerGet("/status", "<html>");
    fake_node other;
    other.AnswerGet("/status", R"({"instance": 7, "tables": [1, "x", {"version": "y"}]})");
    const ctl_run run({"status", "--nodes", node.address() + "," + other.address()});
    CPPUNIT_ASSERT(run.code == exit_code::kSomeNodesSilent && run.Prints("not JSON"));
  }

  void Timeline_SeveralNodes_IsMergedAndFiltered() {
    fake_node first;
    first.AnswerGet("/timeline", json{EventOf("a", 1000, 1, "call_refused", "ab12"),
                                      EventOf("a", 3000, 0, "table_in_force", "00")}
                                     .dump());
    fake_node second;
    second.AnswerGet("/timeline",
                     json{EventOf("b", 1000, 0, "call_admitted", "ab12"),
                          EventOf("b", 2000, 0, "call_refused", "cd34"), json{{"kind", 7}}}
                         .dump());
    const std::string nodes = first.address() + "," + second.address();
    const ctl_run all({"timeline", "--json", "--nodes", nodes});
    CPPUNIT_ASSERT(all.code == exit_code::kDone);
    std::string order;
    std::istringstream lines(all.out);
    for (std::string line; std::getline(lines, line);) {
      order += json::parse(line)["instance"].get<std::string>();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("baba"), order);
    const ctl_run one({"timeline", "--nodes", nodes, "--request", "ab", "--kind", "call_refused"});
    CPPUNIT_ASSERT_EQUAL(std::string("1970-01-01T00:00:00.001000Z+1  a  call_refused  permit-file"
                                     "  value=7  CF300 refused_overload  request=ab12\n"),
                         one.out);
    CPPUNIT_ASSERT(ctl_run({"timeline", "--nodes", nodes, "--instance", "b", "--request", "cd"})
                       .Prints("request=cd34"));
    CPPUNIT_ASSERT(ctl_run({"timeline", "--nodes", nodes, "--since", "5m"}).out.empty());
    CPPUNIT_ASSERT(
        ctl_run({"timeline", "--nodes", nodes, "--since", "1970-01-01T00:00:00Z"}).Prints("cd34"));
  }

  void Timeline_BadFilter_EndsWithTwo() {
    const ctl_run kind({"timeline", "--nodes", "127.0.0.1:1", "--kind", "call_refusd"});
    CPPUNIT_ASSERT(kind.code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(kind.PrintsError("did you mean \"call_refused\"?"));
    CPPUNIT_ASSERT(ctl_run({"timeline", "--nodes", "127.0.0.1:1", "--since", "lately"}).code ==
                   exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"timeline", "--nodes", refusing_address().text()}).code ==
                   exit_code::kNoNodeAnswered);
  }

  void Drain_NodeAnswersThenStops_IsWaitedFor() {
    auto node = std::make_unique<fake_node>();
    const std::string address = node->address();
    node->AnswerPost("/drain", "draining\n");
    CPPUNIT_ASSERT(ctl_run({"drain", address}).Prints("draining; it takes nothing new"));
    node->AnswerGet("/status", R"({"running": 2})");
    const ctl_run longer({"drain", "--wait", "1", address});
    CPPUNIT_ASSERT(longer.code == exit_code::kFoundProblems && longer.Prints("2 running"));
    node.reset();
    CPPUNIT_ASSERT(ctl_run({"drain", address}).code == exit_code::kNoNodeAnswered);
  }

  void Ticket_CompletedRunningMalformed_HaveTheirExitCodes() {
    fake_node node;
    node.AnswerGet("/ticket/done", "granted",
                   {{"Cuminferry-End", "completed"}, {"Cuminferry-Code", "0"}}, 201);
    node.AnswerGet("/ticket/running", "running\n", {{"Cuminferry-Code", "403"}});
    node.AnswerGet("/ticket/x", "", {{"Cuminferry-Code", "404"}}, 400);
    node.AnswerPost("/ticket/t/revoke", "tombstone\n", {{"Cuminferry-Code", "402"}});
    const ctl_run done({"ticket", "show", "done", "--node", node.address()});
    CPPUNIT_ASSERT(done.code == exit_code::kDone && done.Prints("answer:  granted"));
    const ctl_run running({"ticket", "show", "running", "--node", node.address(), "--json"});
    CPPUNIT_ASSERT(running.code == exit_code::kFoundProblems);
    CPPUNIT_ASSERT(ctl_run({"ticket", "show", "running", "--node", node.address()})
                       .Prints("state:   running"));
    CPPUNIT_ASSERT_EQUAL(403, json::parse(running.out)["code"].get<int>());
    CPPUNIT_ASSERT(ctl_run({"ticket", "show", "x", "--node", node.address()}).code ==
                   exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"ticket", "revoke", "t", "--node", node.address()}).code ==
                   exit_code::kDone);
    CPPUNIT_ASSERT(ctl_run({"ticket", "show", "t"}).PrintsError("--node is required"));
  }

  void Completion_Bash_NamesEveryCommand() {
    const ctl_run run({"completion", "bash"});
    CPPUNIT_ASSERT(run.code == exit_code::kDone);
    for (const ctl::command& each : ctl::AllCommands()) {
      CPPUNIT_ASSERT_MESSAGE(each.name, run.Prints("\"" + each.name));
    }
    CPPUNIT_ASSERT(run.Prints("--from-settings"));
    CPPUNIT_ASSERT(ctl_run({"completion", "fish"}).code == exit_code::kBadCommandLine);
  }

 private:
  static ctl_run StatusOfTwo(const std::string& first, const std::string& second) {
    fake_node one;
    one.AnswerGet("/status", first);
    fake_node two;
    two.AnswerGet("/status", second);
    return ctl_run({"status", "--nodes", one.address() + "," + two.address()});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ctl_test);

}  // namespace cuminferry
