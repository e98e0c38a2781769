#pragma once

#include <array>
#include <span>
#include <string_view>

namespace cuminferry::testing {

/** Passes bytes to a parser as an untrusted sender may send them. Aborts the process where the
    parser violates a guarantee. */
using fuzz_entry = void (*)(std::span<const char> bytes);

/** Parses a byte stream from another node: frames, and the message in each. */
void FuzzFrames(std::span<const char> bytes);
/** Parses one message, whose type is the first byte. There is no frame, as random bytes would
   hardly ever have the digest that a frame needs. */
void FuzzMessages(std::span<const char> bytes);
/** Parses an operators' table, and a shard as the platform publishes it. */
void FuzzTable(std::span<const char> bytes);
/** Parses the settings of a node. */
void FuzzSettings(std::span<const char> bytes);
/** Parses the other values that the platform publishes: the index and lists of instances. */
void FuzzPublished(std::span<const char> bytes);
/** Parses values of the headers that callers send: tickets, times, names. */
void FuzzHeaders(std::span<const char> bytes);

struct named_fuzz_entry {
  /** Also the name of the folder of the corpus. */
  std::string_view name;
  fuzz_entry entry;
};

inline constexpr std::array<named_fuzz_entry, 6> kFuzzEntries = {{
    {"frames", FuzzFrames},
    {"messages", FuzzMessages},
    {"table", FuzzTable},
    {"settings", FuzzSettings},
    {"published", FuzzPublished},
    {"headers", FuzzHeaders},
}};

}  // namespace cuminferry::testing
