#include "cuminferry_wire/tcp/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace cuminferry {

sockaddr_in ToSocketAddress(endpoint from) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(from.address);
  address.sin_port = htons(from.port);
  return address;
}

endpoint FromSocketAddress(const sockaddr_in& from) {
  return {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
}

endpoint LocalEndpoint(int descriptor) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  return FromSocketAddress(address);
}

}  // namespace cuminferry
