#include "cuminferry_core/time/boot_clock.h"

#include <ctime>

namespace cuminferry {

boot_clock::time_point boot_clock::Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace cuminferry
