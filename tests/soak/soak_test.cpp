#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "soak/soak_fleet.h"
#include "trial/child_process.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A seed that found a fault, and the description of that fault. */
struct regression_seed {
  std::uint64_t seed;
  const char* cause;
};

constexpr const char* kLostWatches =
    "the store stopped answering and lost the watches opened meanwhile; all watching nodes "
    "waited "
    "up to 21.5 s, and edits and drains of that time were not in force";

constexpr char kDeclarations[] =
    "nobody read the rate that a backend server declares, nor that it leaves";

constexpr char kCloseAsEnd[] =
    "a node was killed amid an answer without a length, and the half that had arrived looked whole";

constexpr char kLateRejection[] =
    "a late copy of a rejection was taken for the answer to the second send of its request";

constexpr std::array kSeeds{
    regression_seed{14, kLostWatches},     regression_seed{17, kLostWatches},
    regression_seed{18, kLostWatches},     regression_seed{23, kLostWatches},
    regression_seed{24, kLostWatches},     regression_seed{34, kLostWatches},
    regression_seed{38, kLostWatches},     regression_seed{39, kLostWatches},
    regression_seed{47, kLostWatches},     regression_seed{52, kLostWatches},
    regression_seed{5'001, kDeclarations}, regression_seed{5'003, kDeclarations},
    regression_seed{8'003, kCloseAsEnd},   regression_seed{9'005, kLateRejection}};

constexpr duration kMaxRunTime = seconds(120);

std::string ReadAll(const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** A client connected to an echo server through a proxy. */
struct proxied_echo {
  event_loop loop;
  std::vector<std::unique_ptr<tcp_connection>> served;
  std::unique_ptr<tcp_listener> server;
  std::unique_ptr<loopback_proxy> proxy;
  std::string echoed;
  bool ended = false;
  std::unique_ptr<tcp_connection> client;

  proxied_echo() {
    const endpoint any{.address = 0x7F000001, .port = 0};
    server = *tcp_listener::Listen(
        loop, any, seconds(20), [this](std::unique_ptr<tcp_connection> connection) {
          tcp_connection* const accepted = connection.get();
          connection->SetHooks(
              {.on_data = [accepted](std::string_view bytes) { accepted->Write(bytes); },
               .on_end = [](close_reason) {},
               .on_writable = {},
               .on_connected = {}});
          served.push_back(std::move(connection));
        });
    // A port per process, below the range of ephemeral ports.
    const auto port = static_cast<std::uint16_t>(20'000 + ::getpid() % 10'000);
    const endpoint between{.address = 0x7F000001 + 7, .port = port};
    proxy = std::make_unique<loopback_proxy>(loop, between, server->address());
    client = Connect(between);
  }

  std::unique_ptr<tcp_connection> Connect(const endpoint& to) {
    return tcp_connection::Connect(loop, to, seconds(1), seconds(20),
                                   {.on_data = [this](std::string_view bytes) { echoed += bytes; },
                                    .on_end = [this](close_reason) { ended = true; },
                                    .on_writable = {},
                                    .on_connected = {}});
  }

  void RunFor(duration span) {
    loop_timer timer(loop);
    timer.StartOnce(span, [this] { loop.Stop(); });
    loop.Run();
  }
};

/** A ledger with one successful request, which tests change into a violation. */
struct single_request {
  soak_ledger ledger{0.0};
  instant sent_at = FromMicros(100'000'000);
  sent_request* request = nullptr;

  explicit single_request(bool idempotent = false) {
    request = &ledger.OnSent({.id = "r1",
                              .row = "file",
                              .service = "permits",
                              .node = 0,
                              .incarnation = 1,
                              .idempotent = idempotent,
                              .sent = sent_at,
                              .timeout = seconds(2),
                              .outcome = request_outcome::kAnswered,
                              .ended = sent_at + milliseconds(50),
                              .status = 200});
    Run();
  }

  observed_run& Run() {
    return ledger.OnArrival({.id = "r1",
                             .target = 1,
                             .service = "permits",
                             .caller_service = "maps",
                             .began = sent_at + milliseconds(1),
                             .ran = true});
  }

  std::size_t ViolationCount() const { return ledger.Check().size(); }
};

}  // namespace

class soak_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(soak_test);
  CPPUNIT_TEST(Ledger_AllWentWell_FindsNothing);
  CPPUNIT_TEST(Ledger_RanTwice_IsFound);
  CPPUNIT_TEST(Ledger_RefusedButRan_IsFound);
  CPPUNIT_TEST(Ledger_OtherServiceOrCaller_IsFound);
  CPPUNIT_TEST(Ledger_CutOff_IsFoundUnlessDisturbed);
  CPPUNIT_TEST(Ledger_LateAnswer_IsFound);
  CPPUNIT_TEST(Ledger_EditNotInForceOrUndone_IsFound);
  CPPUNIT_TEST(Ledger_LeavingTargetRuns_IsFound);
  CPPUNIT_TEST(Ledger_DeclaredRateExceeded_IsFound);
  CPPUNIT_TEST(Ledger_ReachesTargetThatDeclaredLeaving_IsFound);
  CPPUNIT_TEST(Ledger_ReachesTargetThatLeftUnlisted_IsFound);
  CPPUNIT_TEST(Ledger_ServiceWithoutTargets_IsFound);
  CPPUNIT_TEST(Ledger_TooManyRepeats_AreFound);
  CPPUNIT_TEST(Ledger_FewServedInCalm_IsFound);
  CPPUNIT_TEST(Proxy_Delay_HoldsBytesBack);
  CPPUNIT_TEST(Proxy_Silenced_CarriesNothingButNewOnesDo);
  CPPUNIT_TEST(Proxy_CutToServer_CutsOneWay);
  CPPUNIT_TEST(Proxy_Reset_EndsBothSides);
  CPPUNIT_TEST(Plan_SameSeed_IsTheSame);
  CPPUNIT_TEST(Site_RejectionsAreRepeated_RunsAtMostOnceAndNotIfRefused);
  CPPUNIT_TEST(Fleet_SeedsThatOnceFailed_KeepThePromises);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Ledger_AllWentWell_FindsNothing() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, single_request().ViolationCount());
  }

  void Ledger_RanTwice_IsFound() {
    single_request once;
    once.Run();
    CPPUNIT_ASSERT(once.ViolationCount() > 0);
  }

  void Ledger_RefusedButRan_IsFound() {
    single_request refused;
    refused.request->outcome = request_outcome::kRefused;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.ViolationCount());
  }

  void Ledger_OtherServiceOrCaller_IsFound() {
    single_request moved;
    moved.request->service = "maps";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.ViolationCount());
    single_request forged;
    forged.request->node = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forged.ViolationCount());
  }

  void Ledger_CutOff_IsFoundUnlessDisturbed() {
    single_request cut;
    cut.request->outcome = request_outcome::kConnectionLost;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cut.ViolationCount());
    cut.ledger.OnDisturbance({.begin = cut.sent_at - seconds(2), .end = cut.sent_at - seconds(1)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cut.ViolationCount());
  }

  void Ledger_LateAnswer_IsFound() {
    single_request late;
    late.request->ended = late.sent_at + milliseconds(2'600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.ViolationCount());
  }

  void Ledger_EditNotInForceOrUndone_IsFound() {
    single_request missing;
    missing.request->edit = 1;
    missing.request->outcome = request_outcome::kNoRow;
    missing.ledger.OnEdit(1, missing.sent_at - milliseconds(1'900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, missing.ViolationCount());
    missing.ledger.OnEdit(1, missing.sent_at - milliseconds(2'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, missing.ViolationCount());

    single_request undone;
    undone.request->edit = 1;
    undone.ledger.OnEdit(1, undone.sent_at - milliseconds(1'000));
    undone.ledger.OnSent({.id = "r2",
                          .incarnation = 1,
                          .edit = 1,
                          .sent = undone.sent_at + milliseconds(400),
                          .timeout = seconds(2),
                          .outcome = request_outcome::kNoRow,
                          .ended = undone.sent_at + milliseconds(401)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, undone.ViolationCount());
  }

  void Ledger_LeavingTargetRuns_IsFound() {
    single_request late;
    late.ledger.OnDraining(1, late.sent_at - milliseconds(1'900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late.ViolationCount());
    late.ledger.OnDraining(1, late.sent_at - milliseconds(2'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.ViolationCount());
  }

  // Guards against a check that never finds anything, as no answer counts as passed on.
  void Ledger_DeclaredRateExceeded_IsFound() {
    single_request told(true);
    const instant begin = told.sent_at - seconds(5);
    told.ledger.OnDeclared({.target = 1, .begin = begin, .end = told.sent_at + seconds(9)});
    for (int arrival = 0; arrival <= static_cast<int>(soak_ledger::kRateSlack); ++arrival) {
      told.Run().arrived = told.sent_at;
    }
    const std::size_t without = told.ViolationCount();
    told.ledger.OnToldOf(declared_period::kind::kRate, 1, *told.request,
                         told.sent_at - milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(without, told.ViolationCount());
    told.ledger.OnDeclared({.target = 1, .begin = begin, .end = told.sent_at + seconds(9)});
    told.ledger.OnToldOf(declared_period::kind::kRate, 1, *told.request,
                         told.sent_at - milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(without + 1, told.ViolationCount());
  }

  void Ledger_ReachesTargetThatDeclaredLeaving_IsFound() {
    single_request told;
    told.ledger.OnDeclared(
        {.type = declared_period::kind::kLeaving, .target = 1, .begin = told.sent_at - seconds(1)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, told.ViolationCount());
    told.ledger.OnToldOf(declared_period::kind::kLeaving, 1, *told.request,
                         told.sent_at - milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.ViolationCount());
  }

  void Ledger_ReachesTargetThatLeftUnlisted_IsFound() {
    single_request late;
    late.Run().arrived = late.sent_at;
    const std::size_t without = late.ViolationCount();
    late.ledger.OnLeftUnlisted(1, 0, late.sent_at - seconds(3), late.sent_at);
    CPPUNIT_ASSERT_EQUAL(without, late.ViolationCount());
    late.ledger.OnLeftUnlisted(1, 0, late.sent_at - seconds(3), late.sent_at - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(without + 1, late.ViolationCount());
  }

  // Guards against a check that never finds anything, as each window counts as disturbed.
  void Ledger_ServiceWithoutTargets_IsFound() {
    single_request alone;
    const instant begin = alone.sent_at + seconds(10);
    alone.ledger.OnServing({.target = 2,
                            .service = "permits",
                            .begin = begin - soak_ledger::kRecoveryMargin,
                            .end = begin + soak_ledger::kTargetWindow});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, alone.ViolationCount());
    for (std::size_t sent = 0; sent < soak_ledger::kMinRequestsPerWindow; ++sent) {
      alone.ledger.OnSent({.id = "w" + std::to_string(sent),
                           .service = "permits",
                           .sent = begin,
                           .outcome = request_outcome::kRefused,
                           .ended = begin});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, alone.ViolationCount());
    alone.Run().arrived = begin;
    // The request ran twice.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, alone.ViolationCount());
    alone.ledger.OnServing({.target = 2,
                            .service = "permits",
                            .begin = begin - soak_ledger::kRecoveryMargin + seconds(1),
                            .end = begin + seconds(1) + soak_ledger::kTargetWindow});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, alone.ViolationCount());
  }

  void Ledger_TooManyRepeats_AreFound() {
    single_request repeated(true);
    repeated.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repeated.ViolationCount());
  }

  void Ledger_FewServedInCalm_IsFound() {
    single_request alone;
    alone.ledger.OnFaultFreePeriod(alone.sent_at, alone.sent_at + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, alone.ViolationCount());
  }

  //============================================================================
  void Proxy_Delay_HoldsBytesBack() {
    proxied_echo echo;
    echo.proxy->SetFault({.delay = milliseconds(60)});
    echo.client->Write("hello");
    echo.RunFor(milliseconds(90));
    CPPUNIT_ASSERT_EQUAL(std::string(), echo.echoed);
    echo.RunFor(milliseconds(90));
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), echo.echoed);
  }

  void Proxy_Silenced_CarriesNothingButNewOnesDo() {
    proxied_echo echo;
    echo.client->Write("one");
    echo.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), echo.echoed);
    echo.proxy->SilenceOpen();
    echo.client->Write("two");
    echo.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), echo.echoed);
    CPPUNIT_ASSERT(!echo.ended);
    const auto fresh =
        echo.Connect({.address = 0x7F000001 + 7,
                      .port = static_cast<std::uint16_t>(20'000 + ::getpid() % 10'000)});
    fresh->Write("three");
    echo.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("onethree"), echo.echoed);
  }

  void Proxy_CutToServer_CutsOneWay() {
    proxied_echo echo;
    echo.client->Write("one");
    echo.RunFor(milliseconds(30));
    echo.proxy->SetFault({.cut_to_server = true});
    echo.client->Write("lost");
    echo.served.front()->Write("from the server");
    echo.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("onefrom the server"), echo.echoed);
    // A stream with a gap delivers nothing more: bytes dropped by a network do not arrive later.
    echo.proxy->SetFault({});
    echo.client->Write("two");
    echo.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("onefrom the server"), echo.echoed);
  }

  void Proxy_Reset_EndsBothSides() {
    proxied_echo echo;
    echo.client->Write("one");
    echo.RunFor(milliseconds(30));
    echo.proxy->ResetOpen();
    echo.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(echo.ended);
  }

  void Plan_SameSeed_IsTheSame() {
    const soak_plan one = soak_plan::Draw(7, 6, 2);
    const soak_plan other = soak_plan::Draw(7, 6, 2);
    CPPUNIT_ASSERT(!one.events.empty());
    CPPUNIT_ASSERT_EQUAL(one.events.size(), other.events.size());
    for (std::size_t i = 0; i < one.events.size(); ++i) {
      CPPUNIT_ASSERT(one.events[i].action == other.events[i].action);
      CPPUNIT_ASSERT(one.events[i].start == other.events[i].start);
    }
  }

  // Guards against faults that random plans have found on real processes. Each seed repeats its
  // plan; all soaks run concurrently.
  void Fleet_SeedsThatOnceFailed_KeepThePromises() {
    const std::string folder =
        (std::filesystem::temp_directory_path() / ("cuminferry-soak-" + std::to_string(::getpid())))
            .string();
    std::filesystem::create_directories(folder);
    const std::string programs = CUMINFERRY_BINARY_DIR;
    std::vector<trial::child_process> soaks;
    for (const regression_seed& kept : kSeeds) {
      const std::string seed = std::to_string(kept.seed);
      auto started = trial::child_process::Start(
          {programs + "/tests/soak/cuminferry-soak", "--program", programs + "/platform/cuminferry",
           "--seed", seed, "--block", std::to_string(soaks.size()), "--folder", folder},
          folder + "/" + seed + ".txt");
      CPPUNIT_ASSERT(started.ok());
      soaks.push_back(std::move(*started));
    }
    std::string failures;
    for (std::size_t i = 0; i < soaks.size(); ++i) {
      int exit_code = -1;
      soaks[i].WaitForExit(kMaxRunTime, exit_code);
      if (exit_code != 0) {
        const std::string seed = std::to_string(kSeeds[i].seed);
        failures += "seed " + seed + " (" + kSeeds[i].cause + "):\n" +
                    ReadAll(folder + "/" + seed + ".txt");
      }
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    std::filesystem::remove_all(folder);
  }

  // Guards against a request that is refused with a promise or sent again while it runs, at a site
  // whose backend servers reject half of their requests and repeat each rejection.
  void Site_RejectionsAreRepeated_RunsAtMostOnceAndNotIfRefused() {
    const std::string folder =
        (std::filesystem::temp_directory_path() / ("cuminferry-site-" + std::to_string(::getpid())))
            .string();
    std::filesystem::create_directories(folder);
    const std::string programs = CUMINFERRY_BINARY_DIR;
    auto started = trial::child_process::Start(
        {programs + "/tests/soak/cuminferry-site-soak", "--program",
         programs + "/platform/cuminferry", "--seed", "1", "--machines", "16", "--length", "8",
         "--threads", "2", "--rejections", "0.5", "--late-rejections", "1", "--folder", folder},
        folder + "/site.txt");
    CPPUNIT_ASSERT(started.ok());
    int exit_code = -1;
    started->WaitForExit(kMaxRunTime, exit_code);
    CPPUNIT_ASSERT_MESSAGE(ReadAll(folder + "/site.txt"), exit_code == 0);
    std::filesystem::remove_all(folder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_test);

}  // namespace cuminferry::testing
