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

/** A seed that once showed a fault, and what it showed. */
struct kept_seed {
  std::uint64_t seed;
  const char* cause;
};

constexpr const char* kForgottenWatch =
    "the store fell silent and forgot the watches that it took meanwhile; all watching nodes "
    "waited "
    "on for up to 21.5 s, and edits and leavings of that time were not in force";

constexpr std::array kSeeds{kept_seed{14, kForgottenWatch}, kept_seed{17, kForgottenWatch},
                            kept_seed{18, kForgottenWatch}, kept_seed{23, kForgottenWatch},
                            kept_seed{24, kForgottenWatch}, kept_seed{34, kForgottenWatch},
                            kept_seed{38, kForgottenWatch}, kept_seed{39, kForgottenWatch},
                            kept_seed{47, kForgottenWatch}, kept_seed{52, kForgottenWatch}};

constexpr duration kLongestRun = seconds(120);

std::string ReadAll(const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** Bytes that came through a proxy, and the ends of both sides. */
struct proxied_echo {
  event_loop loop;
  std::vector<std::unique_ptr<tcp_connection>> served;
  std::unique_ptr<tcp_listener> server;
  std::unique_ptr<loopback_proxy> proxy;
  std::string back;
  bool ended = false;
  std::unique_ptr<tcp_connection> client;

  proxied_echo() {
    const endpoint any{.address = 0x7F000001, .port = 0};
    server = *tcp_listener::Listen(
        loop, any, seconds(20), [this](std::unique_ptr<tcp_connection> connection) {
          tcp_connection* const at = connection.get();
          connection->SetHooks({.on_data = [at](std::string_view bytes) { at->Write(bytes); },
                                .on_end = [](close_reason) {},
                                .on_writable = {},
                                .on_connected = {}});
          served.push_back(std::move(connection));
        });
    // A port of its own below those that the system gives out.
    const auto port = static_cast<std::uint16_t>(20'000 + ::getpid() % 10'000);
    const endpoint between{.address = 0x7F000001 + 7, .port = port};
    proxy = std::make_unique<loopback_proxy>(loop, between, server->address());
    client = Connect(between);
  }

  std::unique_ptr<tcp_connection> Connect(const endpoint& to) {
    return tcp_connection::Connect(loop, to, seconds(1), seconds(20),
                                   {.on_data = [this](std::string_view bytes) { back += bytes; },
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

/** A ledger with one request that was answered well, to be made worse. */
struct one_request {
  soak_ledger ledger{0.0};
  instant at = FromMicros(100'000'000);
  sent_request* request = nullptr;

  explicit one_request(bool idempotent = false) {
    request = &ledger.OnSent({.id = "r1",
                              .row = "file",
                              .service = "permits",
                              .node = 0,
                              .incarnation = 1,
                              .idempotent = idempotent,
                              .sent = at,
                              .timeout = seconds(2),
                              .end = request_end::kAnswered,
                              .ended = at + milliseconds(50),
                              .status = 200});
    Run();
  }

  seen_run& Run() {
    return ledger.OnArrival({.id = "r1",
                             .target = 1,
                             .service = "permits",
                             .caller_service = "maps",
                             .began = at + milliseconds(1),
                             .ran = true});
  }

  std::size_t Broken() const { return ledger.Check().size(); }
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
  CPPUNIT_TEST(Ledger_TooManyRepeats_AreFound);
  CPPUNIT_TEST(Ledger_FewServedInCalm_IsFound);
  CPPUNIT_TEST(Proxy_Delay_HoldsBytesBack);
  CPPUNIT_TEST(Proxy_Silenced_CarriesNothingButNewOnesDo);
  CPPUNIT_TEST(Proxy_CutToServer_CutsOneWay);
  CPPUNIT_TEST(Proxy_Reset_EndsBothSides);
  CPPUNIT_TEST(Plan_SameSeed_IsTheSame);
  CPPUNIT_TEST(Fleet_SeedsThatOnceFailed_KeepThePromises);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Ledger_AllWentWell_FindsNothing() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one_request().Broken());
  }

  void Ledger_RanTwice_IsFound() {
    one_request once;
    once.Run();
    CPPUNIT_ASSERT(once.Broken() > 0);
  }

  void Ledger_RefusedButRan_IsFound() {
    one_request refused;
    refused.request->end = request_end::kRefused;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.Broken());
  }

  void Ledger_OtherServiceOrCaller_IsFound() {
    one_request moved;
    moved.request->service = "maps";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.Broken());
    one_request forged;
    forged.request->node = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forged.Broken());
  }

  void Ledger_CutOff_IsFoundUnlessDisturbed() {
    one_request cut;
    cut.request->end = request_end::kBroken;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cut.Broken());
    cut.ledger.OnDisturbance({.begin = cut.at - seconds(2), .end = cut.at - seconds(1)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cut.Broken());
  }

  void Ledger_LateAnswer_IsFound() {
    one_request late;
    late.request->ended = late.at + milliseconds(2'600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.Broken());
  }

  void Ledger_EditNotInForceOrUndone_IsFound() {
    one_request missing;
    missing.request->edit = 1;
    missing.request->end = request_end::kNoRow;
    missing.ledger.OnEdit(1, missing.at - milliseconds(1'900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, missing.Broken());
    missing.ledger.OnEdit(1, missing.at - milliseconds(2'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, missing.Broken());

    one_request undone;
    undone.request->edit = 1;
    undone.ledger.OnEdit(1, undone.at - milliseconds(1'000));
    undone.ledger.OnSent({.id = "r2",
                          .incarnation = 1,
                          .edit = 1,
                          .sent = undone.at + milliseconds(400),
                          .timeout = seconds(2),
                          .end = request_end::kNoRow,
                          .ended = undone.at + milliseconds(401)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, undone.Broken());
  }

  void Ledger_LeavingTargetRuns_IsFound() {
    one_request late;
    late.ledger.OnLeaving(1, late.at - milliseconds(1'900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late.Broken());
    late.ledger.OnLeaving(1, late.at - milliseconds(2'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.Broken());
  }

  void Ledger_TooManyRepeats_AreFound() {
    one_request repeated(true);
    repeated.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repeated.Broken());
  }

  void Ledger_FewServedInCalm_IsFound() {
    one_request alone;
    alone.ledger.OnCalm(alone.at, alone.at + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, alone.Broken());
  }

  //============================================================================
  void Proxy_Delay_HoldsBytesBack() {
    proxied_echo at;
    at.proxy->SetFault({.delay = milliseconds(60)});
    at.client->Write("hello");
    at.RunFor(milliseconds(90));
    CPPUNIT_ASSERT_EQUAL(std::string(), at.back);
    at.RunFor(milliseconds(90));
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), at.back);
  }

  void Proxy_Silenced_CarriesNothingButNewOnesDo() {
    proxied_echo at;
    at.client->Write("one");
    at.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), at.back);
    at.proxy->SilenceOpen();
    at.client->Write("two");
    at.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), at.back);
    CPPUNIT_ASSERT(!at.ended);
    const auto fresh =
        at.Connect({.address = 0x7F000001 + 7,
                    .port = static_cast<std::uint16_t>(20'000 + ::getpid() % 10'000)});
    fresh->Write("three");
    at.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("onethree"), at.back);
  }

  void Proxy_CutToServer_CutsOneWay() {
    proxied_echo at;
    at.client->Write("one");
    at.RunFor(milliseconds(30));
    at.proxy->SetFault({.cut_to_server = true});
    at.client->Write("lost");
    at.served.front()->Write("from the server");
    at.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("onefrom the server"), at.back);
    // A stream with a gap stays silent, as the bytes of a cut network do not come later.
    at.proxy->SetFault({});
    at.client->Write("two");
    at.RunFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string("onefrom the server"), at.back);
  }

  void Proxy_Reset_EndsBothSides() {
    proxied_echo at;
    at.client->Write("one");
    at.RunFor(milliseconds(30));
    at.proxy->ResetOpen();
    at.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(at.ended);
  }

  void Plan_SameSeed_IsTheSame() {
    const soak_plan one = soak_plan::Draw(7, 6, 2);
    const soak_plan other = soak_plan::Draw(7, 6, 2);
    CPPUNIT_ASSERT(!one.events.empty());
    CPPUNIT_ASSERT_EQUAL(one.events.size(), other.events.size());
    for (std::size_t i = 0; i < one.events.size(); ++i) {
      CPPUNIT_ASSERT(one.events[i].action == other.events[i].action);
      CPPUNIT_ASSERT(one.events[i].at == other.events[i].at);
    }
  }

  // Faults that came up by chance once, on real processes. Each seed plays the same faults again;
  // all are played beside each other.
  void Fleet_SeedsThatOnceFailed_KeepThePromises() {
    const std::string folder =
        (std::filesystem::temp_directory_path() / ("cuminferry-soak-" + std::to_string(::getpid())))
            .string();
    std::filesystem::create_directories(folder);
    const std::string programs = CUMINFERRY_BINARY_DIR;
    std::vector<trial::child_process> soaks;
    for (const kept_seed& kept : kSeeds) {
      const std::string seed = std::to_string(kept.seed);
      auto started = trial::child_process::Start(
          {programs + "/tests/soak/cuminferry-soak", "--program", programs + "/platform/cuminferry",
           "--seed", seed, "--block", std::to_string(soaks.size()), "--folder", folder},
          folder + "/" + seed + ".txt");
      CPPUNIT_ASSERT(started.ok());
      soaks.push_back(std::move(*started));
    }
    std::string broken;
    for (std::size_t i = 0; i < soaks.size(); ++i) {
      int exit_code = -1;
      soaks[i].WaitForEnd(kLongestRun, exit_code);
      if (exit_code != 0) {
        const std::string seed = std::to_string(kSeeds[i].seed);
        broken += "seed " + seed + " (" + kSeeds[i].cause + "):\n" +
                  ReadAll(folder + "/" + seed + ".txt");
      }
    }
    CPPUNIT_ASSERT_MESSAGE(broken, broken.empty());
    std::filesystem::remove_all(folder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_test);

}  // namespace cuminferry::testing
