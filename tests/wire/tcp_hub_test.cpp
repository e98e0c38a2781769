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
  CPPUNIT_TEST(Hub_ConnectToNobody_SaysClosed);
  CPPUNIT_TEST(Hub_StrangerBeginsWithALargeFrame_IsCutOff);
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
    // A connection's first frame may be no longer than a hello.
    CPPUNIT_ASSERT(client.SendMessage(connection, hello_message{}));
    reply_message reply;
    reply.body = body;
    for (int frame = 0; frame < kFrames; ++frame) {
      CPPUNIT_ASSERT(client.SendMessage(connection, reply));
    }
    done.WaitForNotification();
    CPPUNIT_ASSERT_EQUAL(kFrames, echoed.load());
  }

  void Hub_ConnectToNobody_SaysClosed() {
    absl::Notification closed;
    tcp_hub hub({.on_open = [](connection_id, bool) {},
                 .on_message = [](connection_id, message_type, std::span<const char>) {},
                 .on_closed = [&](connection_id, const absl::Status&) { closed.Notify(); }},
                {});
    hub.Connect({kLoopback, 1});
    closed.WaitForNotification();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hub.connections());
  }

  // Anybody who reaches the port opens thousands of connections and claims twenty
  // megabytes on each. Nodes would run out of memory before a single call came in.
  void Hub_StrangerBeginsWithALargeFrame_IsCutOff() {
    absl::Notification cut_off;
    std::atomic<int> taken = 0;
    tcp_hub server(
        {.on_open = [](connection_id, bool) {},
         .on_message = [&](connection_id, message_type, std::span<const char>) { ++taken; },
         .on_closed =
             [&](connection_id, const absl::Status& why) {
               CPPUNIT_ASSERT(CodeOf(why) == result_code::kFrameTooLarge);
               cut_off.Notify();
             }},
        {});
    endpoint at{kLoopback, 0};
    CPPUNIT_ASSERT(server.Listen(at).ok());
    tcp_hub stranger({.on_open = [](connection_id, bool) {},
                      .on_message = [](connection_id, message_type, std::span<const char>) {},
                      .on_closed = [](connection_id, const absl::Status&) {}},
                     {});
    call_message call;
    call.body.assign(kLargestHello + 1, 'x');
    stranger.SendMessage(stranger.Connect(at), call);
    cut_off.WaitForNotification();
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
