#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "ctl/command_line.h"

namespace cuminferry::testing {
namespace {

constexpr char kIngressLog[] =
    R"(12.1 node-a {"time_us":2000,"instance":"node-a","event":"request.turned_away","id":"9c41","row":"permit","service":"permits","target":"i-7","why":"full","placements":1,"reached":0}
cut off line {"time_us":2100,"instance":"node-a","event":"requ
{"time_us":9000,"instance":"node-a","event":"request.end","id":"9c41","result":"refused","us":7000,"row":"permit","table":12,"why":"full","level":0.5,"limited_by":"permits"}
{"time_us":3000,"instance":"node-a","event":"request.end","id":"other","result":"answered","us":10}
)";
constexpr char kServingLog[] =
    R"({"time_us":1500,"instance":"node-b","event":"serving.end","id":"9c41","row":"permit","result":"full","reason":"displaced","waited_us":400,"ran_us":0,"running":23,"waiting":60,"limit":23,"level":0.5}
{"time_us":1600,"instance":"node-b","event":"request.end","id":"9c41.77","result":"failed","us":100,"why":"lost"}
)";

constexpr char kCustomerLog[] =
    R"({"time_us":1,"instance":"node-a","event":"request.end","id":"429a","result":"refused","us":40,"row":"map","table":3,"customer":"farm","limit_share":0.25,"limit_alone":false,"why":"over_limit"}
{"time_us":2,"instance":"node-a","event":"request.end","id":"503a","result":"refused","us":40,"row":"map","table":3,"customer":"farm","copy_age_us":5100000,"why":"stale_key"}
{"time_us":4,"instance":"node-a","event":"request.end","id":"503b","result":"refused","us":40,"row":"map","table":3,"customer":"farm","customer_share":0.2,"why":"level","level":0.5,"limited_by":"maps"}
{"time_us":3,"instance":"node-a","event":"request.end","id":"401a","result":"failed","us":40,"row":"map","table":3,"why":"unknown_key"}
)";

constexpr char kSuspectLog[] =
    R"({"time_us":10,"instance":"node-b","event":"suspect.ran","id":"first","row":"map","path":"/map/x","customer":"farm","suspect":"ab12","end":7,"ends":1,"blocked":false}
{"time_us":11,"instance":"node-b","event":"suspect.ran","id":"neighbour","row":"map","path":"/map/y","customer":"","suspect":"cd34","end":7,"ends":1,"blocked":false}
{"time_us":20,"instance":"node-c","event":"suspect.blocked","suspect":"ab12","ends":2,"last_end":9}
{"time_us":21,"instance":"node-a","event":"suspect.blocked","suspect":"ab12","ends":2,"last_end":9}
{"time_us":30,"instance":"node-a","event":"request.end","id":"later","result":"refused","us":40,"row":"map","table":3,"suspect":"ab12","why":"ends_targets"}
)";

constexpr char kDeclarationLog[] =
    R"({"time_us":1000,"instance":"node-c","event":"backend.declared","target":"i-8","rate":20.0,"age_us":0,"from":"answer"}
{"time_us":5000,"instance":"node-c","event":"backend.declared","target":"i-8","rate":10.0,"age_us":0,"from":"answer"}
{"time_us":5500,"instance":"node-d","event":"backend.declared","target":"i-9","rate":3.0,"age_us":0,"from":"answer"}
{"time_us":6000,"instance":"node-c","event":"backend.leaving","target":"i-8"}
{"time_us":7000,"instance":"node-a","event":"request.turned_away","id":"rate1","row":"permit","service":"permits","target":"i-8","why":"over-rate","placements":1,"reached":0,"declared_rate":10.0,"declared_age_us":2000}
{"time_us":9000,"instance":"node-c","event":"backend.declared","target":"i-8","rate":-1.0,"age_us":0,"from":"answer"}
)";

constexpr char kUnlistedLog[] =
    R"({"time_us":1000,"instance":"node-a","event":"request.turned_away","id":"gone1","row":"permit","service":"permits","target":"i-8","why":"leaving","placements":1,"reached":0,"unlisted_us":700000}
{"time_us":2000,"instance":"node-a","event":"request.end","id":"gone1","result":"answered","us":3000,"row":"permit","table":12,"target":"i-9","unlisted_us":1500000}
)";

struct command_result {
  ctl::exit_code code;
  std::string out;
  std::string err;
};

command_result Run(std::vector<std::string> arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const ctl::exit_code code = ctl::RunCtl(arguments, {out, err});
  return {code, out.str(), err.str()};
}

}  // namespace

class explain_command_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(explain_command_test);
  CPPUNIT_TEST(Explain_LinesOfTwoNodes_AreSortedAndDescribed);
  CPPUNIT_TEST(Explain_CallsOfTheRequest_AreMarked);
  CPPUNIT_TEST(Explain_RequestsOfCustomers_NameCustomerAndReason);
  CPPUNIT_TEST(Explain_RefusedByFairShare_NamesTheShare);
  CPPUNIT_TEST(Explain_BlockedRequest_ShowsTheCrashesBehindIt);
  CPPUNIT_TEST(Explain_RequestOverDeclaredRate_ShowsWhoDeclaredItAndSinceWhen);
  CPPUNIT_TEST(Explain_RequestToUnlistedTarget_SaysSo);
  CPPUNIT_TEST(Explain_UnknownId_SaysWhyItMayBeMissing);
  CPPUNIT_TEST(Explain_FileMissing_ReportsAnErrorCode);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("explain-" + std::to_string(reinterpret_cast<std::uintptr_t>(this)));
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "a.log") << kIngressLog;
    std::ofstream(folder_ / "c.log") << kCustomerLog;
    std::ofstream(folder_ / "d.log") << kSuspectLog;
    std::ofstream(folder_ / "e.log") << kDeclarationLog;
    std::ofstream(folder_ / "f.log") << kUnlistedLog;
    std::ofstream(folder_ / "b.log") << kServingLog;
  }

  void tearDown() override { std::filesystem::remove_all(folder_); }

  void Explain_LinesOfTwoNodes_AreSortedAndDescribed() {
    const command_result result = Run({"explain", "9c41", "--logs", folder_.string()});
    CPPUNIT_ASSERT(result.code == ctl::exit_code::kDone);
    const auto serving = result.out.find("at the backend server: no slot");
    const auto rejection = result.out.find("brought no answer");
    const auto end = result.out.find("ended as refused after 7.0 ms, row permit, table 12");
    CPPUNIT_ASSERT(serving < rejection);
    CPPUNIT_ASSERT(rejection < end);
    CPPUNIT_ASSERT(end != std::string::npos);
    CPPUNIT_ASSERT(result.out.find("23 of 23 slots taken, 60 waiting") != std::string::npos);
    CPPUNIT_ASSERT(result.out.find("displaced by more important requests") != std::string::npos);
    CPPUNIT_ASSERT(result.out.find("other") == std::string::npos);
  }

  void Explain_BlockedRequest_ShowsTheCrashesBehindIt() {
    const command_result result = Run({"explain", "later", "--logs", folder_.string()});
    CPPUNIT_ASSERT(result.out.find("node-b  a backend server ended while it ran /map/x of customer "
                                   "farm (request first, end 7)") != std::string::npos);
    CPPUNIT_ASSERT(result.out.find("node-c  blocked from here on, after 2 ends") !=
                   std::string::npos);
    CPPUNIT_ASSERT(result.out.find("node-a  blocked") == std::string::npos);
    CPPUNIT_ASSERT(result.out.find("/map/y") == std::string::npos);
    CPPUNIT_ASSERT(result.out.find("it ends backend servers that run it") != std::string::npos);
  }

  void Explain_CallsOfTheRequest_AreMarked() {
    const command_result result = Run({"explain", "9c41", "--logs", folder_.string()});
    CPPUNIT_ASSERT(result.out.find("node-b  (call) ended as failed") != std::string::npos);
  }

  void Explain_RequestsOfCustomers_NameCustomerAndReason() {
    const std::string over = Run({"explain", "429a", "--logs", folder_.string()}).out;
    CPPUNIT_ASSERT(over.find("sent more than its limit lets in, customer farm, of whose requests a "
                             "part of 0.25 is let in") != std::string::npos);
    const std::string stale = Run({"explain", "503a", "--logs", folder_.string()}).out;
    CPPUNIT_ASSERT(stale.find("withdrawn, customer farm, copy 5100.0 ms old") != std::string::npos);
    const std::string unknown = Run({"explain", "401a", "--logs", folder_.string()}).out;
    CPPUNIT_ASSERT(unknown.find("a key that no customer has") != std::string::npos);
  }

  void Explain_RequestOverDeclaredRate_ShowsWhoDeclaredItAndSinceWhen() {
    const std::string out = Run({"explain", "rate1", "--logs", folder_.string()}).out;
    const auto declared =
        out.find("node-c  target i-8 declared to take 10.0 requests a second, from here on");
    const auto leaving = out.find("node-c  target i-8 declared that it leaves");
    const auto turned_away = out.find("no turn within the requests a second");
    CPPUNIT_ASSERT(declared < leaving);
    CPPUNIT_ASSERT(leaving < turned_away);
    CPPUNIT_ASSERT(turned_away != std::string::npos);
    CPPUNIT_ASSERT(out.find("(the target declared 10.0 requests a second, 2.0 ms before)") !=
                   std::string::npos);
    CPPUNIT_ASSERT(out.find("20.0") == std::string::npos);
    CPPUNIT_ASSERT(out.find("i-9") == std::string::npos);
    CPPUNIT_ASSERT(out.find("no longer") == std::string::npos);
  }

  // Guards against an operator not seeing that a request went to a target that the platform did not
  // list.
  void Explain_RequestToUnlistedTarget_SaysSo() {
    const std::string out = Run({"explain", "gone1", "--logs", folder_.string()}).out;
    const auto refused = out.find("(the target had not been listed for 700.0 ms)");
    const auto ended = out.find("(the target had not been listed for 1500.0 ms)");
    CPPUNIT_ASSERT(refused < ended);
    CPPUNIT_ASSERT(ended != std::string::npos);
  }

  void Explain_UnknownId_SaysWhyItMayBeMissing() {
    const command_result result = Run({"explain", "beef", "--logs", folder_.string()});
    CPPUNIT_ASSERT(result.code == ctl::exit_code::kFoundProblems);
    CPPUNIT_ASSERT(result.out.find("log.left_out") != std::string::npos);
  }

  void Explain_FileMissing_ReportsAnErrorCode() {
    const command_result result =
        Run({"explain", "9c41", "--logs", (folder_ / "none.log").string()});
    CPPUNIT_ASSERT(result.code == ctl::exit_code::kFileUnreadable);
    CPPUNIT_ASSERT(result.err.find("CF205") != std::string::npos);
  }

  void Explain_RefusedByFairShare_NamesTheShare() {
    const command_result result = Run({"explain", "503b", "--logs", folder_.string()});
    CPPUNIT_ASSERT(
        result.out.find("customer farm, whose fair share lets in a part of 0.2 of its") !=
        std::string::npos);
  }

 private:
  std::filesystem::path folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(explain_command_test);

}  // namespace cuminferry::testing
