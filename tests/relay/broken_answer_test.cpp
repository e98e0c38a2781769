#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "relay/raw_server.h"
#include "relay/read_answer.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kHeadWithoutLength[] = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: signed\r\n\r\n";
constexpr char kFirstPart[] = "first part, ";
constexpr char kSecondPart[] = "second part";
constexpr std::size_t kUploadBytes = 1'000'000;
// Longer than a node holds an answer without a length, so that it goes on in chunks.
constexpr duration kLongerThanHeld = milliseconds(300);

/** The head of a long upload with the first bytes of its body. */
std::string UploadBegin(std::string_view path, std::size_t sent_bytes) {
  http_head head;
  head.method = "POST";
  head.target = path;
  head.Set("Host", "h");
  head.Set("Id", "1");
  head.Set("Deadline", "4000");
  head.framing = body_framing::kLength;
  head.length = kUploadBytes;
  return head.ToRequestText() + std::string(sent_bytes, 'u');
}

/** Two nodes; the second one's backend server sends what a test says. */
struct raw_target_fleet {
  relay_fleet fleet{2};
  std::unique_ptr<raw_server> target;

  explicit raw_target_fleet(raw_server::data_hook on_data) {
    fleet.PublishToAll(1);
    fleet.StopTarget(0);
    fleet.StopTarget(1);
    target =
        std::make_unique<raw_server>(fleet.loop(), fleet.SettingsOf(1).backend, std::move(on_data));
  }
};

}  // namespace

class broken_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_answer_test);
  CPPUNIT_TEST(Connection_ResetBehindUnreadBytes_IsLost);
  CPPUNIT_TEST(Connection_WriteMeetsTheReset_IsLost);
  CPPUNIT_TEST(Connection_ClosedInOrder_IsClosed);
  CPPUNIT_TEST(EarlyAnswer_ResetDuringUpload_LooksIncomplete);
  CPPUNIT_TEST(EarlyAnswer_ResetAfterItsFirstPart_LooksIncomplete);
  CPPUNIT_TEST(EarlyAnswer_EndsInOrder_ArrivesWhole);
  CPPUNIT_TEST(EarlyAnswer_WholeByItsLengthThenReset_ArrivesWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a reset that is read as an orderly end because bytes before it are still unread.
  void Connection_ResetBehindUnreadBytes_IsLost() {
    connection_end at;
    at.server.SendAndReset(kFirstPart);
    CPPUNIT_ASSERT(at.Wait() == close_reason::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstPart), at.bytes);
  }

  // Guards against an error that only a write has met: the kernel reports it once, and reads an end
  // afterwards.
  void Connection_WriteMeetsTheReset_IsLost() {
    connection_end at;
    at.server.SendAndReset("");
    // Timers that are due run one after the other, before the loop reads again.
    loop_timer write_timer(at.loop);
    write_timer.StartOnce(duration::zero(), [&] { at.connection->Write(kFirstPart); });
    CPPUNIT_ASSERT(at.Wait() == close_reason::kConnectionLost);
  }

  void Connection_ClosedInOrder_IsClosed() {
    connection_end at;
    at.server.SendAndFinish(kFirstPart);
    CPPUNIT_ASSERT(at.Wait() == close_reason::kClosed);
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstPart), at.bytes);
  }

  // Guards against a part of an answer that arrives as the whole: the target answers a long upload
  // at once, without a length, and resets the connection while the upload is under way.
  void EarlyAnswer_ResetDuringUpload_LooksIncomplete() {
    for (const std::string path : {"/safe/x", "/once/x"}) {
      raw_target_fleet at([](raw_server& target, std::string_view) {
        target.SendAndReset(std::string(kHeadWithoutLength) + kFirstPart);
      });
      const auto result = std::make_shared<client_result>();
      const auto client = at.fleet.Connect(0, result);
      client->Write(UploadBegin(path, 100'000));
      CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return result->ended || result->status() != 0; }));
      at.fleet.RunFor(milliseconds(50));
      CPPUNIT_ASSERT_MESSAGE(path + ": " + result->bytes,
                             result->status() != 200 || !read_answer(*result).looks_complete);
    }
  }

  // Guards against the same once the node passes the answer on in chunks: it must send no last one.
  void EarlyAnswer_ResetAfterItsFirstPart_LooksIncomplete() {
    raw_target_fleet at([](raw_server& target, std::string_view bytes) {
      if (bytes.starts_with("POST")) {
        target.Send(std::string(kHeadWithoutLength) + kFirstPart);
      }
    });
    const auto result = std::make_shared<client_result>();
    const auto client = at.fleet.Connect(0, result);
    client->Write(UploadBegin("/once/x", 100'000));
    CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return result->Contains(kFirstPart); }));
    at.target->SendAndReset(kSecondPart);
    CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return result->ended; }));
    CPPUNIT_ASSERT(!read_answer(*result).looks_complete);
  }

  // A sound early answer without a length; its target reads the upload on.
  void EarlyAnswer_EndsInOrder_ArrivesWhole() {
    for (const duration pause : {duration::zero(), kLongerThanHeld}) {
      raw_target_fleet at([](raw_server& target, std::string_view bytes) {
        if (bytes.starts_with("POST")) {
          target.Send(std::string(kHeadWithoutLength) + kFirstPart);
        }
      });
      const auto result = std::make_shared<client_result>();
      const auto client = at.fleet.Connect(0, result);
      client->Write(UploadBegin("/once/x", 100'000));
      CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return at.target->accepted() > 0; }));
      at.fleet.RunFor(milliseconds(10) + pause);
      at.target->SendAndFinish(kSecondPart);
      CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return read_answer(*result).looks_complete; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
      CPPUNIT_ASSERT(result->Contains(kFirstPart));
      CPPUNIT_ASSERT(result->Contains(kSecondPart));
    }
  }

  // The length says that such an answer is whole, whatever becomes of its connection.
  void EarlyAnswer_WholeByItsLengthThenReset_ArrivesWhole() {
    raw_target_fleet at([](raw_server& target, std::string_view) {
      target.SendAndReset(
          "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: signed\r\nContent-Length: 5\r\n\r\nwhole");
    });
    const auto result = std::make_shared<client_result>();
    const auto client = at.fleet.Connect(0, result);
    client->Write(UploadBegin("/once/x", 100'000));
    CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return read_answer(*result).looks_complete; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT(result->Contains("whole"));
  }

 private:
  /** An open connection to a server of the same loop, and how it ends. */
  struct connection_end {
    event_loop loop;
    raw_server server{
        loop, {.address = 0x7F000001, .port = 0}, [](raw_server&, std::string_view) {}};
    std::unique_ptr<tcp_connection> connection;
    std::string bytes;
    std::optional<close_reason> end;

    connection_end() {
      connection = tcp_connection::Connect(
          loop, server.address(), std::chrono::seconds(1), std::chrono::seconds(3),
          {.on_data = [this](std::string_view more) { bytes += more; },
           .on_end =
               [this](close_reason reason) {
                 end = reason;
                 loop.Stop();
               },
           .on_writable = {},
           .on_connected = {}});
      loop_timer poll(loop);
      poll.StartPeriodic(milliseconds(1), [this] {
        if (server.accepted() > 0) {
          loop.Stop();
        }
      });
      loop.Run();
    }

    close_reason Wait() {
      loop_timer limit(loop);
      limit.StartOnce(std::chrono::seconds(2), [this] { loop.Stop(); });
      loop.Run();
      CPPUNIT_ASSERT(end.has_value());
      return *end;
    }
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_answer_test);

}  // namespace cuminferry::testing
