#include "cuminferry_wire/udp/udp_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstring>

#include "cuminferry_wire/tcp/socket_address.h"

namespace cuminferry {
namespace {

constexpr std::size_t kReaderStackBytes = 128 * 1024;
constexpr std::size_t kReceiveBufferBytes = 65536;

}  // namespace

class udp_socket::state {
 public:
  explicit state(datagram_hook on_datagram) : on_datagram_(std::move(on_datagram)) {}

  ~state() {
    stopping_ = true;
    if (descriptor_ >= 0) {
      // Ends the reader's recvfrom(). The call fails on an unconnected socket but still wakes it.
      ::shutdown(descriptor_, SHUT_RDWR);
    }
    reader_.reset();
    if (descriptor_ >= 0) {
      ::close(descriptor_);
    }
  }

  absl::Status Open(endpoint& at) {
    descriptor_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToSocketAddress(at);
    if (descriptor_ < 0 ||
        ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      return MakeStatus(result_code::kAddressInUse,
                        "UDP " + at.ToString() + ": " + std::strerror(errno));
    }
    at = LocalEndpoint(descriptor_);
    reader_ = std::make_unique<joined_thread>("udp", kReaderStackBytes, [this] { Read(); });
    return absl::OkStatus();
  }

  void Send(endpoint to, const std::string& frame) {
    const sockaddr_in address = ToSocketAddress(to);
    ::sendto(descriptor_, frame.data(), frame.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }

 private:
  void Read() {
    std::string buffer(kReceiveBufferBytes, '\0');
    while (!stopping_) {
      sockaddr_in sender{};
      socklen_t length = sizeof(sender);
      const ssize_t count = ::recvfrom(descriptor_, buffer.data(), buffer.size(), 0,
                                       reinterpret_cast<sockaddr*>(&sender), &length);
      if (count <= 0) {
        continue;
      }
      message_type type{};
      std::span<const char> payload;
      const std::span<const char> datagram(buffer.data(), static_cast<std::size_t>(count));
      if (DecodeDatagram(datagram, type, payload).ok()) {
        on_datagram_(FromSocketAddress(sender), type, payload);
      }
    }
  }

  datagram_hook on_datagram_;
  int descriptor_ = -1;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<joined_thread> reader_;
};

udp_socket::udp_socket(datagram_hook on_datagram)
    : state_(std::make_unique<state>(std::move(on_datagram))) {}

udp_socket::~udp_socket() = default;

absl::Status udp_socket::Open(endpoint& at) { return state_->Open(at); }

void udp_socket::Send(endpoint to, const std::string& frame) { state_->Send(to, frame); }

}  // namespace cuminferry
