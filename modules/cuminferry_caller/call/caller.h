#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_caller/call/call_request.h"
#include "cuminferry_caller/call/call_result.h"
#include "cuminferry_caller/call/retry_policy.h"
#include "cuminferry_caller/transport/transport.h"

namespace cuminferry {

/** Calls services of the fleet from outside.

    Each call has one of three results: completed, not run, or unknown. A call is retried only if
    that is safe: after `not_run` and, for an idempotent request, also after an unknown outcome.
    The unknown outcome of any other request is queried by its ticket; if it can't be determined in
    time, the result is call_unknown with the ticket, which QueryTicket() can query later.

    Thread-safe. Created by caller::builder.

    @code
    absl::StatusOr<caller> made = caller::builder().WithNodes({node}).Build();
    const call_result result =
        made->Call({.service = "permit", .method = "POST", .path = "/permits",
                    .body = filing, .idempotent = false});
    @endcode
*/
class caller {
 public:
  /** Returns the nodes that accept calls to a service. */
  using resolver = std::function<std::vector<endpoint>(std::string_view service)>;

  class builder;

  caller(caller&& other) noexcept;
  caller& operator=(caller&& other) noexcept;
  ~caller();

  //============================================================================
  /** Runs one request; blocks for at most the timeout of the request. */
  call_result Call(const call_request& request);

  /** Queries the outcome of a ticket. A result call_unknown with kTicketRunning means that the
      request is still running and can be queried again. */
  call_result QueryTicket(std::string_view service, std::string_view ticket,
                          std::chrono::milliseconds timeout);

  /** Prevents a ticket from running. Returns call_not_run, or the outcome if the request has
     already run. */
  call_result Revoke(std::string_view service, std::string_view ticket,
                     std::chrono::milliseconds timeout);

 private:
  class state;
  explicit caller(std::unique_ptr<state> built_state);
  std::unique_ptr<state> state_;
};

/** Creates a caller. By default it uses HTTP, the machine's clock and a random seed. */
class caller::builder {
 public:
  builder();
  ~builder();

  /** Uses these nodes for every service. */
  builder& WithNodes(std::vector<endpoint> nodes);
  builder& WithResolver(resolver hook);
  builder& WithTransport(transport hook);
  /** Sets the functions that return the current time and that wait. */
  builder& WithClock(std::function<instant()> now, std::function<void(duration)> sleep);
  /** Sets the seed for the choice of nodes and the length of pauses. */
  builder& WithSeed(std::uint64_t seed);
  builder& WithRetryPolicy(retry_policy policy);
  /** Sets a function that is called with the result of each attempt, on the thread of the call. */
  builder& WithAttemptHook(std::function<void(std::uint32_t attempt, const call_result&)> hook);

  /** Fails with kSettingsMissingKey if neither a resolver nor nodes are set. */
  absl::StatusOr<caller> Build();

 private:
  std::unique_ptr<state> unbuilt_;
};

}  // namespace cuminferry
