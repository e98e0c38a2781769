// Preloaded into the nodes of a trial (LD_PRELOAD). Intercepts socket calls of the C
// library and drops sent data, as a partition does or a middlebox that has lost the state
// of a connection: the sender's writes succeed, and nothing arrives. The node program is
// unchanged.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>

#include "link_faults/link_fault_table.h"

namespace {

using cuminferry::trial::link_fault_table;

constexpr std::size_t kMaxDescriptors = 65536;
constexpr int kNoDomain = -1;

// State of one open connection.
struct connection_state {
  std::atomic<int> peer_domain = kNoDomain;
  std::atomic<bool> silent = false;
  std::atomic<std::uint32_t> epoch = 0;
};

std::array<connection_state, kMaxDescriptors>& Connections() {
  static std::array<connection_state, kMaxDescriptors> connections;
  return connections;
}

template <typename Function>
Function NextSymbol(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

const link_fault_table* MapTable() {
  const char* file = std::getenv(cuminferry::trial::kLinkFaultFile);
  if (file == nullptr) {
    return nullptr;
  }
  const int descriptor = ::open(file, O_RDONLY | O_CLOEXEC);
  void* mapped = ::mmap(nullptr, sizeof(link_fault_table), PROT_READ, MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  return mapped == MAP_FAILED ? nullptr : static_cast<const link_fault_table*>(mapped);
}

const link_fault_table* Table() {
  static const link_fault_table* table = MapTable();
  return table;
}

int DomainOfThisNode() {
  static const int domain = [] {
    const char* text = std::getenv(cuminferry::trial::kLinkFaultDomain);
    return text == nullptr ? 0 : std::atoi(text);
  }();
  return domain;
}

int DomainOf(const sockaddr* address) {
  if (address == nullptr || address->sa_family != AF_INET) {
    return kNoDomain;
  }
  return cuminferry::trial::DomainOfAddress(
      ntohl(reinterpret_cast<const sockaddr_in*>(address)->sin_addr.s_addr));
}

bool IsCut(int peer_domain) {
  return peer_domain >= 0 && Table() != nullptr &&
         Table()->cut[DomainOfThisNode()][peer_domain] != 0;
}

void RecordConnection(int descriptor, int peer_domain) {
  if (descriptor < 0 || descriptor >= static_cast<int>(kMaxDescriptors)) {
    return;
  }
  connection_state& state = Connections()[static_cast<std::size_t>(descriptor)];
  state.silent = false;
  state.epoch = Table() == nullptr ? 0 : Table()->silence_epoch.load();
  state.peer_domain = peer_domain;
}

// A connection that has dropped one byte delivers nothing more: the receiver would read
// later bytes as if none were missing.
bool MustDrop(int descriptor) {
  if (descriptor < 0 || descriptor >= static_cast<int>(kMaxDescriptors) || Table() == nullptr) {
    return false;
  }
  connection_state& state = Connections()[static_cast<std::size_t>(descriptor)];
  const int peer = state.peer_domain;
  if (peer == kNoDomain) {
    return false;
  }
  if (IsCut(peer) || state.epoch != Table()->silence_epoch) {
    state.silent = true;
  }
  return state.silent;
}

// The accepting side derives the failure domain from the source address of a connection.
void BindToOwnDomain(int descriptor) {
  int type = 0;
  socklen_t size = sizeof(type);
  ::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size);
  if (type != SOCK_STREAM) {
    return;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
  sockaddr_in own{};
  own.sin_family = AF_INET;
  own.sin_addr.s_addr =
      htonl(cuminferry::trial::AddressOfDomain(static_cast<std::size_t>(DomainOfThisNode())));
  static_cast<void>(::bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof(own)));
}

void RecordAcceptedConnection(int descriptor) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  const bool known =
      descriptor >= 0 && ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
  RecordConnection(descriptor,
                   known ? DomainOf(reinterpret_cast<const sockaddr*>(&peer)) : kNoDomain);
}

}  // namespace

// NOLINTBEGIN(readability-identifier-naming): names of the C library.
extern "C" {

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto next = NextSymbol<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const int domain = DomainOf(address);
  if (domain >= 0) {
    BindToOwnDomain(descriptor);
  }
  RecordConnection(descriptor, domain);
  return next(descriptor, address, size);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto next = NextSymbol<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  const int accepted = next(descriptor, address, size, flags);
  RecordAcceptedConnection(accepted);
  return accepted;
}

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  return accept4(descriptor, address, size, 0);
}

ssize_t send(int descriptor, const void* from, std::size_t size, int flags) {
  static const auto next = NextSymbol<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  return MustDrop(descriptor) ? static_cast<ssize_t>(size) : next(descriptor, from, size, flags);
}

ssize_t sendto(int descriptor, const void* from, std::size_t size, int flags,
               const sockaddr* address, socklen_t address_size) {
  static const auto next =
      NextSymbol<ssize_t (*)(int, const void*, std::size_t, int, const sockaddr*, socklen_t)>(
          "sendto");
  return IsCut(DomainOf(address)) ? static_cast<ssize_t>(size)
                                  : next(descriptor, from, size, flags, address, address_size);
}

}  // extern "C"
// NOLINTEND(readability-identifier-naming)
