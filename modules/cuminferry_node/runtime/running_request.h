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

/** A node's record of a request that its backend server is running. The backend server
    gets only an opaque handle, so that it can't forge rank, deadline or retry allowance.
    Thread-safe. */
class running_request {
 public:
  /** The properties that stay constant while the request runs. */
  struct request_info {
    call_key key = 0;
    request_id id;
    call_rank rank;
    instant deadline;
    /** Name of the request's row at this node. */
    std::string row;
  };

  running_request(request_info chosen, std::uint8_t retries)
      : info_(std::move(chosen)), retry_allowance_(retries) {}

  const request_info& info() const { return info_; }
  cancel_token& cancel() { return cancel_; }

  //============================================================================
  /** Registers an outgoing call; the hook cancels the call.
      @param is_first set to whether no other call was outstanding
      @return the id for RemoveChildCall() */
  std::uint64_t AddChildCall(std::function<void()> on_cancel, bool& is_first);
  /** Removes an outgoing call that has finished.
      @param is_last set to whether no call is outstanding now */
  void RemoveChildCall(std::uint64_t child_id, bool& is_last);

  /** Runs an operation on the retry allowance with the mutex held. The operation also gets
      the number of outstanding calls. */
  template <typename Operation>
  decltype(auto) WithRetryAllowance(Operation&& operation) {
    ranked_lock lock(mutex_);
    return operation(retry_allowance_, static_cast<std::uint32_t>(child_calls_.size()));
  }

  /** Cancels the run on the backend server and all outgoing calls, because the caller has
      gone. */
  void Cancel();

 private:
  const request_info info_;
  cancel_token cancel_;
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  retry_allowance retry_allowance_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<std::uint64_t, std::function<void()>> child_calls_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t next_child_id_ ABSL_GUARDED_BY(mutex_) = 1;
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

/** The requests that this node's backend server is running, by their handles. Thread-safe. */
class running_request_registry {
 public:
  /** Stores a request and returns its new handle. */
  std::string Add(std::shared_ptr<running_request> request);
  void Remove(const std::string& handle);
  /** The request of a handle; nullptr where the handle is not in use. */
  std::shared_ptr<running_request> Find(std::string_view handle);

 private:
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  std::map<std::string, std::shared_ptr<running_request>, std::less<>> requests_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace cuminferry
