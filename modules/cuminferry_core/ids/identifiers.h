#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cuminferry {

/** Identity of one whole request, drawn by the node that it enters. All calls
    of the request's tree carry it, so that events of one request can be found
    over all processes. */
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const request_id&) const = default;
};

/** Identity of one attempt of one call between two nodes. Unique per sending
    incarnation; an answer is accepted only for the attempt that it names. */
using attempt_id = std::uint64_t;

/** A number drawn at random when a node starts. What the earlier process on
    the same address has promised or forgotten is told apart by it. */
using incarnation_id = std::uint64_t;

/** Where a node listens for other nodes: an IPv4 address and a port, host order. */
struct endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;

  /** "127.0.0.1:8080" */
  std::string ToString() const;
  /** Reads the form of ToString(); false where the text is something else. */
  static bool Parse(const std::string& text, endpoint& into);
};

/** 32 hexadecimal digits. */
std::string ToString(const request_id& id);

struct request_id_hash {
  std::size_t operator()(const request_id& id) const {
    return id.high ^ (id.low * 0x9E3779B97F4A7C15ULL);
  }
};

}  // namespace cuminferry
