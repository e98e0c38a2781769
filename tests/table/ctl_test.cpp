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

/** An address of this machine that refuses connections: bound, never listened on. */
class silent_address {
 public:
  silent_address() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    at_.sin_family = AF_INET;
    at_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof at_;
    CPPUNIT_ASSERT_EQUAL(0, bind(socket_, reinterpret_cast<sockaddr*>(&at_), length));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(socket_, reinterpret_cast<sockaddr*>(&at_), &length));
  }
  ~silent_address() { close(socket_); }

  std::string text() const { return "127.0.0.1:" + std::to_string(ntohs(at_.sin_port)); }

 private:
  int socket_;
  sockaddr_in at_{};
};

struct ctl_run {
  explicit ctl_run(const std::vector<std::string>& arguments) {
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    code = ctl::RunCtl(arguments, {out_stream, err_stream});
    out = out_stream.str();
    err = err_stream.str();
  }

  bool Says(const std::string& text) const { return out.find(text) != std::string::npos; }
  bool Complains(const std::string& text) const { return err.find(text) != std::string::npos; }

  exit_code code;
  std::string out;
  std::string err;
};

/** A scratch file under the build folder. */
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
  CPPUNIT_TEST(Program_NoOrUnknownCommand_ShowsTheWay);
  CPPUNIT_TEST(Command_Help_HasExamplesAndExitCodes);
  CPPUNIT_TEST(Command_BadOptionOrArgument_EndsWithTwo);
  CPPUNIT_TEST(TableCheck_GoodAndBad_EndsWithZeroAndOne);
  CPPUNIT_TEST(TableDiff_OlderVersion_SaysThatNobodyTakesIt);
  CPPUNIT_TEST(TableShow_Json_IsATableAgain);
  CPPUNIT_TEST(Status_AllAgree_EndsWithZero);
  CPPUNIT_TEST(Status_VersionsDiffer_NamesTheInstancesBehind);
  CPPUNIT_TEST(Status_OneVersionTwoContents_IsAnAlarm);
  CPPUNIT_TEST(Status_NodesSilent_ShowsTheOthers);
  CPPUNIT_TEST(Status_PublishedAndNotInForce_IsShown);
  CPPUNIT_TEST(Status_FromSettings_AsksTheAdminAddresses);
  CPPUNIT_TEST(Status_NodeAnswersNonsense_IsNotTrusted);
  CPPUNIT_TEST(Timeline_SeveralNodes_IsMergedAndFiltered);
  CPPUNIT_TEST(Timeline_BadFilter_EndsWithTwo);
  CPPUNIT_TEST(Drain_NodeAnswersAndEnds_IsWaitedFor);
  CPPUNIT_TEST(Ticket_CompletedRunningMalformed_HaveTheirExitCodes);
  CPPUNIT_TEST(Completion_Bash_NamesEveryCommand);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Program_NoOrUnknownCommand_ShowsTheWay() {
    CPPUNIT_ASSERT(ctl_run({}).Complains("usage:"));
    CPPUNIT_ASSERT(ctl_run({"--help"}).code == exit_code::kDone);
    const ctl_run mistyped({"tabel", "check"});
    CPPUNIT_ASSERT(mistyped.code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(mistyped.Complains("did you mean \"table check\"?"));
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
      CPPUNIT_ASSERT_MESSAGE(help.out, help.Says("example") && help.Says("exit codes:"));
    }
  }

  void Command_BadOptionOrArgument_EndsWithTwo() {
    CPPUNIT_ASSERT(ctl_run({"table", "check", "--jsn", "x"}).Complains("CF206"));
    CPPUNIT_ASSERT(ctl_run({"table", "check"}).code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"status"}).code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"status", "--nodes", "here"}).Complains("accepted: an IPv4"));
    CPPUNIT_ASSERT(ctl_run({"drain", "here"}).code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"status", "--timeout-ms", "soon", "--nodes", "127.0.0.1:1"}).code ==
                   exit_code::kBadCommandLine);
  }

  void TableCheck_GoodAndBad_EndsWithZeroAndOne() {
    const ctl_run good({"table", "check", Example("donauried.table.jsonc")});
    CPPUNIT_ASSERT(good.code == exit_code::kDone && good.Says("4 services, 11 rows"));
    const std::string file = WriteFile("bad.jsonc", R"({"version": 0, "rows": []})");
    const ctl_run bad({"table", "check", file});
    CPPUNIT_ASSERT(bad.code == exit_code::kFoundProblems);
    CPPUNIT_ASSERT(bad.Says("CF103 table_out_of_range at /version"));
    CPPUNIT_ASSERT(bad.Says("CF104 table_missing_key at the top"));
    const json report = json::parse(ctl_run({"table", "check", "--json", file}).out);
    CPPUNIT_ASSERT(!report["accepted"].get<bool>());
    CPPUNIT_ASSERT_EQUAL(103, report["problems"][0]["code"].get<int>());
    CPPUNIT_ASSERT(ctl_run({"table", "check", "absent"}).code == exit_code::kFileUnreadable);
  }

  // An operator edits a table and forgets to raise its version. Every node would
  // keep the old one in force and the edit would be looked for in vain.
  void TableDiff_OlderVersion_SaysThatNobodyTakesIt() {
    std::string text = testing::ReadFile("examples/donauried.table.jsonc");
    text.replace(text.find("\"weight\": 10000"), 15, "\"weight\": 9999");
    const std::string edited = WriteFile("edited.jsonc", text);
    const ctl_run diff({"table", "diff", Example("donauried.table.jsonc"), edited});
    CPPUNIT_ASSERT(diff.code == exit_code::kFoundProblems);
    CPPUNIT_ASSERT(diff.Complains("CF112"));
    CPPUNIT_ASSERT(diff.Says("permit-file: weight 10000 -> 9999: refused earlier"));
    const ctl_run same({"table", "diff", edited, edited});
    CPPUNIT_ASSERT(same.code == exit_code::kDone && same.Says("no differences"));
  }

  void TableShow_Json_IsATableAgain() {
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
    CPPUNIT_ASSERT(run.Says("version 7 on 2 of 2") && run.Says("halle-nord"));
  }

  // One failure domain is cut off and stays at the version before. The operator
  // must see which instances still act by it.
  void Status_VersionsDiffer_NamesTheInstancesBehind() {
    const ctl_run run = StatusOfTwo(StatusOf("permit-1", 7, 1), StatusOf("permit-2", 6, 2));
    CPPUNIT_ASSERT(run.code == exit_code::kNodesDiffer);
    CPPUNIT_ASSERT(run.Says("version 7 on 1 of 2; version 6 on 1 of 2 (permit-2)"));
  }

  void Status_OneVersionTwoContents_IsAnAlarm() {
    const ctl_run run = StatusOfTwo(StatusOf("permit-1", 7, 1), StatusOf("permit-2", 7, 2));
    CPPUNIT_ASSERT(run.code == exit_code::kNodesDiffer && run.Says("CF111"));
  }

  void Status_NodesSilent_ShowsTheOthers() {
    fake_node node;
    node.AnswerGet("/status", StatusOf("permit-1", 7, 1));
    const silent_address refusing;
    const std::string silent = refusing.text();
    const ctl_run some({"status", "--nodes", node.address() + "," + silent});
    CPPUNIT_ASSERT(some.code == exit_code::kSomeNodesSilent);
    CPPUNIT_ASSERT(some.Says("permit-1") && some.Says("silent: CF208") &&
                   some.Says("no connection"));
    const ctl_run none({"status", "--json", "--nodes", silent});
    CPPUNIT_ASSERT(none.code == exit_code::kNoNodeAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json::parse(none.out)["silent"].size());
  }

  void Status_PublishedAndNotInForce_IsShown() {
    fake_node node;
    node.AnswerGet("/status", StatusOf("permit-1", 7, 1));
    fake_node platform;
    platform.AnswerGet("/v1/kv/cuminferry/index",
                       R"({"version":8,"fleet_size":1,"shards":[
                         {"service":"permit","version":8,"digest":5}]})");
    const ctl_run run({"status", "--nodes", node.address(), "--platform", platform.address()});
    CPPUNIT_ASSERT(run.code == exit_code::kNodesDiffer);
    CPPUNIT_ASSERT(run.Says("version 7 on 1 of 1; published: version 8"));
  }

  void Status_FromSettings_AsksTheAdminAddresses() {
    fake_node node;
    node.AnswerGet("/status", StatusOf("permit-1", 7, 1));
    auto settings =
        json::parse(testing::ReadFile("examples/node.settings.jsonc"), nullptr, true, true);
    settings["admin"] = node.address();
    const std::string folder = CUMINFERRY_BINARY_DIR "/ctl_test/settings";
    std::filesystem::create_directories(folder);
    WriteFile("settings/permit-1.json", settings.dump());
    const ctl_run run({"status", "--from-settings", folder});
    CPPUNIT_ASSERT_MESSAGE(run.err, run.code == exit_code::kDone && run.Says("permit-1"));
    CPPUNIT_ASSERT(ctl_run({"status", "--from-settings", "/absent"}).code ==
                   exit_code::kFileUnreadable);
  }

  void Status_NodeAnswersNonsense_IsNotTrusted() {
    fake_node node;
    node.AnswerGet("/status", "<html>");
    fake_node other;
    other.AnswerGet("/status", R"({"instance": 7, "tables": [1, "x", {"version": "y"}]})");
    const ctl_run run({"status", "--nodes", node.address() + "," + other.address()});
    CPPUNIT_ASSERT(run.code == exit_code::kSomeNodesSilent && run.Says("not JSON"));
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
                       .Says("request=cd34"));
    CPPUNIT_ASSERT(ctl_run({"timeline", "--nodes", nodes, "--since", "5m"}).out.empty());
    CPPUNIT_ASSERT(
        ctl_run({"timeline", "--nodes", nodes, "--since", "1970-01-01T00:00:00Z"}).Says("cd34"));
  }

  void Timeline_BadFilter_EndsWithTwo() {
    const ctl_run kind({"timeline", "--nodes", "127.0.0.1:1", "--kind", "call_refusd"});
    CPPUNIT_ASSERT(kind.code == exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(kind.Complains("did you mean \"call_refused\"?"));
    CPPUNIT_ASSERT(ctl_run({"timeline", "--nodes", "127.0.0.1:1", "--since", "lately"}).code ==
                   exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"timeline", "--nodes", silent_address().text()}).code ==
                   exit_code::kNoNodeAnswered);
  }

  void Drain_NodeAnswersAndEnds_IsWaitedFor() {
    auto node = std::make_unique<fake_node>();
    const std::string address = node->address();
    node->AnswerPost("/drain", "draining\n");
    CPPUNIT_ASSERT(ctl_run({"drain", address}).Says("draining; it takes nothing new"));
    node->AnswerGet("/status", R"({"running": 2})");
    const ctl_run longer({"drain", "--wait", "1", address});
    CPPUNIT_ASSERT(longer.code == exit_code::kFoundProblems && longer.Says("2 running"));
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
    CPPUNIT_ASSERT(done.code == exit_code::kDone && done.Says("answer:  granted"));
    const ctl_run running({"ticket", "show", "running", "--node", node.address(), "--json"});
    CPPUNIT_ASSERT(running.code == exit_code::kFoundProblems);
    CPPUNIT_ASSERT(
        ctl_run({"ticket", "show", "running", "--node", node.address()}).Says("state:   running"));
    CPPUNIT_ASSERT_EQUAL(403, json::parse(running.out)["code"].get<int>());
    CPPUNIT_ASSERT(ctl_run({"ticket", "show", "x", "--node", node.address()}).code ==
                   exit_code::kBadCommandLine);
    CPPUNIT_ASSERT(ctl_run({"ticket", "revoke", "t", "--node", node.address()}).code ==
                   exit_code::kDone);
    CPPUNIT_ASSERT(ctl_run({"ticket", "show", "t"}).Complains("--node is required"));
  }

  void Completion_Bash_NamesEveryCommand() {
    const ctl_run run({"completion", "bash"});
    CPPUNIT_ASSERT(run.code == exit_code::kDone);
    for (const ctl::command& each : ctl::AllCommands()) {
      CPPUNIT_ASSERT_MESSAGE(each.name, run.Says("\"" + each.name));
    }
    CPPUNIT_ASSERT(run.Says("--from-settings"));
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
