#pragma once

#include <chrono>
#include <cstdint>

namespace cuminferry {

/** A clock that counts microseconds since the machine booted, including the time suspended.

    Its times must not be compared between machines. Functions that decide by the time take it as
    an argument, so that tests can run them in virtual time; only the daemons call Now().
*/
struct boot_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock, duration>;
  static constexpr bool is_steady = true;

  static time_point Now();
};

using instant = boot_clock::time_point;
using duration = boot_clock::duration;

/** Converts a duration to seconds with a fraction. */
constexpr double ToSeconds(duration span) { return std::chrono::duration<double>(span).count(); }

/** Converts a time to microseconds since boot. */
constexpr std::int64_t ToMicros(instant when) { return when.time_since_epoch().count(); }
constexpr instant FromMicros(std::int64_t micros) { return instant(duration(micros)); }

}  // namespace cuminferry
