#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Requests of peers for values that this node does not have yet. They are answered once the
    value arrives. Requests that waited too long are dropped, as the peer has queried another
    source by then. */
class waiting_requests {
 public:
  /** Maximum number of requests that wait for one value. */
  static constexpr std::size_t kMaxPerValue = 64;

  waiting_requests();
  ~waiting_requests();

  /** Adds a request. Returns false where kMaxPerValue is reached. */
  bool Add(std::string_view name, endpoint from, instant now);
  /** Removes and returns the peers that wait for a value. */
  std::vector<endpoint> Take(std::string_view name);
  /** Drops requests that waited too long. */
  void OnTick(instant now);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
