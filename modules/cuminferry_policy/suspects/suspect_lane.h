#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "cuminferry_policy/suspects/request_digest.h"

namespace cuminferry {

/** Keeps suspects apart at one backend server, so that its end tells which of them it was.

    Answers the moment after an end, when all that the backend server ran goes to the others at
    once. One suspect at a time would let hundreds of innocent ones wait past their deadlines,
    so of many several run together: if the backend server ends again, those few are left to be
    told apart, and they run one by one.
*/
class suspect_lane {
 public:
  /** Turns in which all suspects of an end should have run, at most. */
  static constexpr std::size_t kTurns = 16;

  /** One request that is suspected. */
  struct suspect {
    /** Of the run. */
    std::uint64_t id = 0;
    request_digest digest;
    /** Backend servers that ended under it. */
    std::size_t ends = 1;
  };

  /** How many suspects there are by now. */
  void SetSuspects(std::size_t count) { width_ = count / kTurns + 1; }

  /** Whether it may run at once; else it waits for its turn. */
  bool Enter(const suspect& entering);
  /** A run has ended, or no longer waits. Returns those whose turn it is now. */
  std::vector<std::uint64_t> Leave(std::uint64_t id);

  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  bool MayRun(const suspect& next) const;

  std::size_t width_ = 1;
  std::map<std::uint64_t, suspect> running_;
  std::list<suspect> waiting_;
};

}  // namespace cuminferry
