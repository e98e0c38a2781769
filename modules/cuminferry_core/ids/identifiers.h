#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cuminferry {

/** Identifies one request. The ingress node draws it at random, and all calls of the request's call
    tree carry it, so that the events of one request can be found in all processes. */
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const request_id&) const = default;
};

/** Identifies one attempt of a call between two nodes. It is unique among the attempts of the
    sender's incarnation; an answer is accepted only for the attempt that it names. */
using attempt_id = std::uint64_t;

/** A number drawn at random when a node starts. It distinguishes the node from earlier processes at
    the same address, whose state is lost. */
using incarnation_id = std::uint64_t;

/** An IPv4 address and a port, both in host byte order. */
struct endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;

  /** Returns the form "127.0.0.1:8080". */
  std::string ToString() const;
  /** Parses the form that ToString() returns; false if the text has another form. */
  static bool Parse(const std::string& text, endpoint& parsed);
};

/** Returns the identifier as 32 hexadecimal digits. */
std::string ToString(const request_id& id);

struct request_id_hash {
  std::size_t operator()(const request_id& id) const {
    return id.high ^ (id.low * 0x9E3779B97F4A7C15ULL);
  }
};

}  // namespace cuminferry
