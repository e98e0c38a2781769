#include "trial/port_finder.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cuminferry::trial {
namespace {

constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint16_t kEndPort = 32'000;

bool CanBind(int type, std::uint32_t address, std::uint16_t port) {
  const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(address);
  at.sin_port = htons(port);
  const bool bound = ::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
  ::close(socket);
  return bound;
}

}  // namespace

port_finder::port_finder()
    : next_(static_cast<std::uint16_t>(
          kFirstPort + random_source::FromMachine().Below(kEndPort - kFirstPort))) {}

std::uint16_t port_finder::Next(std::uint32_t address) {
  for (;;) {
    const std::uint16_t port = next_;
    next_ = next_ + 1 < kEndPort ? static_cast<std::uint16_t>(next_ + 1) : kFirstPort;
    if (CanBind(SOCK_STREAM, address, port) && CanBind(SOCK_DGRAM, address, port)) {
      return port;
    }
  }
}

}  // namespace cuminferry::trial
