#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cuminferry_node/backend/backend_client.h"
#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry {

/** What a node holds of a request while its backend server works on it. The
    backend server has only an opaque handle of it, so that it can't forge rank,
    deadline or retry allowance. */
class running_request {
 public:
  /** What doesn't change while it runs. */
  struct identity {
    call_key key = 0;
    request_id id;
    call_rank rank;
    instant deadline;
    /** Name of the row under which it runs here. */
    std::string row;
  };

  running_request(identity chosen, std::uint8_t retries)
      : identity_(std::move(chosen)), retries_(retries) {}

  const identity& about() const { return identity_; }
  cancel_token& cancel() { return cancel_; }

  //============================================================================
  /** A call out begins; the hook cancels it.
      @return a number for EndChild(); `first` tells that no other was outstanding */
  std::uint64_t BeginChild(std::function<void()> on_cancel, bool& first);
  /** A call out has ended; `last` tells that none is outstanding now. */
  void EndChild(std::uint64_t number, bool& last);

  /** Runs an operation on the retry allowance under the record's mutex. */
  template <typename Operation>
  decltype(auto) WithRetries(Operation&& operation) {
    ranked_lock lock(mutex_);
    return operation(retries_, static_cast<std::uint32_t>(children_.size()));
  }

  /** The caller has gone: ends the backend server's work and all calls out. */
  void Cancel();

 private:
  const identity identity_;
  cancel_token cancel_;
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  retry_allowance retries_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<std::uint64_t, std::function<void()>> children_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t next_child_ ABSL_GUARDED_BY(mutex_) = 1;
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

/** The requests that the own backend server works on, by their handles. */
class request_records {
 public:
  /** Makes a handle for a request and keeps the request under it. */
  std::string Add(std::shared_ptr<running_request> request);
  void Remove(const std::string& handle);
  /** nullptr where the handle is not one that is in use. */
  std::shared_ptr<running_request> Find(std::string_view handle);

 private:
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  std::map<std::string, std::shared_ptr<running_request>, std::less<>> requests_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace cuminferry
