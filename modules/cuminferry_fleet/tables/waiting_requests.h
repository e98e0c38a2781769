#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Requests of peers for values that this node does not have yet. They are
    answered once it has them; who waits too long has asked elsewhere by then. */
class waiting_requests {
 public:
  /** Most requests that wait for one value. */
  static constexpr std::size_t kBound = 64;

  waiting_requests();
  ~waiting_requests();

  /** False where the bound is reached. */
  bool Add(std::string_view name, endpoint from, instant now);
  /** Who waits for the value; they wait no longer. */
  std::vector<endpoint> Take(std::string_view name);
  /** Forgets those that waited too long. */
  void OnTick(instant now);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
