#pragma once

#include <array>
#include <span>
#include <string_view>

namespace cuminferry::testing {

/** Takes bytes as a stranger may send them. Aborts where a promise is broken. */
using fuzz_entry = void (*)(std::span<const char> bytes);

/** A byte stream from another node: frames, and the message in each. */
void FuzzFrames(std::span<const char> bytes);
/** One message, its type in the first byte, without the digest that a stranger
    would have to make up. */
void FuzzMessages(std::span<const char> bytes);
/** An operators' table, and a shard of one as the platform publishes it. */
void FuzzTable(std::span<const char> bytes);
/** A process's settings. */
void FuzzSettings(std::span<const char> bytes);
/** What else the platform publishes. */
void FuzzPublished(std::span<const char> bytes);
/** Values of the headers that callers send: tickets, times, names. */
void FuzzHeaders(std::span<const char> bytes);

struct named_fuzz_entry {
  /** Also the folder of its corpus. */
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
