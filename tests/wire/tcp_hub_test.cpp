#include <absl/synchronization/notification.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {
namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;

}  // namespace

class tcp_hub_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(tcp_hub_test);
  CPPUNIT_TEST(Hub_LargeFramesBothWays_ArriveWhole);
  CPPUNIT_TEST(Hub_NothingListens_ReportsClosed);
  CPPUNIT_TEST(Hub_FirstFrameTooLarge_IsClosed);
  CPPUNIT_TEST(Udp_DatagramSent_Arrives);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Hub_LargeFramesBothWays_ArriveWhole() {
    constexpr int kFrames = 20;
    const std::string body(1 << 20, 'x');
    std::atomic<int> echoed = 0;
    absl::Notification done;
    tcp_hub* server_hub = nullptr;
    tcp_hub server(
        {.on_open = [](connection_id, bool) {},
         .on_message =
             [&](connection_id from, message_type type, std::span<const char> payload) {
               server_hub->Send(from, EncodeFrame(type, {payload.data(), payload.size()}));
             },
         .on_closed = [](connection_id, const absl::Status&) {}},
        {});
    server_hub = &server;
    endpoint at{kLoopback, 0};
    CPPUNIT_ASSERT(server.Listen(at).ok());
    tcp_hub client({.on_open = [](connection_id, bool) {},
                    .on_message =
                        [&](connection_id, message_type, std::span<const char> payload) {
                          reply_message reply;
                          if (DecodeMessage(payload, reply).ok() && reply.body == body &&
                              ++echoed == kFrames) {
                            done.Notify();
                          }
                        },
                    .on_closed = [](connection_id, const absl::Status&) {}},
                   {});
    const connection_id connection = client.Connect(at);
    // The first frame of a connection must not be larger than a hello.
    CPPUNIT_ASSERT(client.SendMessage(connection, hello_message{}));
    reply_message reply;
    reply.body = body;
    for (int frame = 0; frame < kFrames; ++frame) {
      CPPUNIT_ASSERT(client.SendMessage(connection, reply));
    }
    done.WaitForNotification();
    CPPUNIT_ASSERT_EQUAL(kFrames, echoed.load());
  }

  void Hub_NothingListens_ReportsClosed() {
    absl::Notification closed;
    tcp_hub hub({.on_open = [](connection_id, bool) {},
                 .on_message = [](connection_id, message_type, std::span<const char>) {},
                 .on_closed = [&](connection_id, const absl::Status&) { closed.Notify(); }},
                {});
    hub.Connect({kLoopback, 1});
    closed.WaitForNotification();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hub.connections());
  }

  // Guards against memory exhaustion by unknown peers: thousands of connections, each announcing a
  // first frame of twenty megabytes.
  void Hub_FirstFrameTooLarge_IsClosed() {
    absl::Notification closed;
    std::atomic<int> taken = 0;
    tcp_hub server(
        {.on_open = [](connection_id, bool) {},
         .on_message = [&](connection_id, message_type, std::span<const char>) { ++taken; },
         .on_closed =
             [&](connection_id, const absl::Status& why) {
               CPPUNIT_ASSERT(CodeOf(why) == result_code::kFrameTooLarge);
               closed.Notify();
             }},
        {});
    endpoint at{kLoopback, 0};
    CPPUNIT_ASSERT(server.Listen(at).ok());
    tcp_hub unknown_peer({.on_open = [](connection_id, bool) {},
                          .on_message = [](connection_id, message_type, std::span<const char>) {},
                          .on_closed = [](connection_id, const absl::Status&) {}},
                         {});
    call_message call;
    call.body.assign(kMaxHelloBytes + 1, 'x');
    unknown_peer.SendMessage(unknown_peer.Connect(at), call);
    closed.WaitForNotification();
    CPPUNIT_ASSERT_EQUAL(0, taken.load());
  }

  void Udp_DatagramSent_Arrives() {
    absl::Notification arrived;
    udp_socket receiver([&](endpoint, message_type type, std::span<const char>) {
      if (type == message_type::kGossip) {
        arrived.Notify();
      }
    });
    udp_socket sender([](endpoint, message_type, std::span<const char>) {});
    endpoint at{kLoopback, 0};
    endpoint own{kLoopback, 0};
    CPPUNIT_ASSERT(receiver.Open(at).ok());
    CPPUNIT_ASSERT(sender.Open(own).ok());
    sender.Send(at, FrameOf(gossip_message{}));
    arrived.WaitForNotification();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tcp_hub_test);

}  // namespace cuminferry
