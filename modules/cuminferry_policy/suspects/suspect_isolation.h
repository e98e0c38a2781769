#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "cuminferry_policy/suspects/request_digest.h"

namespace cuminferry {

/** Isolates suspects from each other at one backend server, so that a crash shows which of them
    caused it.

    After a crash, all requests that the backend server ran are sent to other backend servers at
    once. Running one suspect at a time would make hundreds of innocent requests wait past their
    deadlines. Where there are many suspects, several therefore run concurrently. If the backend
    server crashes again, only those few remain suspects of both crashes, and they run one by one.
*/
class suspect_isolation {
 public:
  /** Maximum number of turns in which all suspects of one crash are to run. */
  static constexpr std::size_t kMaxTurns = 16;

  /** A run of a suspected request. */
  struct suspect {
    /** Identifies the run. */
    std::uint64_t id = 0;
    request_digest digest;
    /** Number of backend servers that crashed while they ran the request. */
    std::size_t crashes = 1;
  };

  /** Sets the number of current suspects, from which the number of concurrent runs follows. */
  void SetSuspectCount(std::size_t count) { max_running_ = count / kMaxTurns + 1; }

  /** Starts a run and returns true, or queues the run and returns false. */
  bool TryStart(const suspect& added);
  /** Removes a run that ended or no longer waits. Returns the ids of the waiting runs that start
      now. */
  std::vector<std::uint64_t> Remove(std::uint64_t id);

 private:
  bool MayRun(const suspect& next) const;

  std::size_t max_running_ = 1;
  std::map<std::uint64_t, suspect> running_;
  std::list<suspect> waiting_;
};

}  // namespace cuminferry
