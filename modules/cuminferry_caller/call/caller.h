#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_caller/call/call_request.h"
#include "cuminferry_caller/call/call_result.h"
#include "cuminferry_caller/call/retry_manners.h"
#include "cuminferry_caller/transport/transport.h"

namespace cuminferry {

/** Calls services of the fleet from outside.

    Each call ends in one of three ways: completed, not run, or unknown. A call
    is tried again only where that does no harm: after `not_run`, or, for an
    idempotent request, after a doubtful end. A doubtful end of any other request
    is cleared up by its ticket; where that can't be done in time the call ends
    as call_unknown with the ticket, for Ask() later.

    Safe to use from all threads. Made by caller::builder.

    @code
    absl::StatusOr<caller> made = caller::builder().WithNodes({node}).Build();
    const call_result result =
        made->Call({.service = "permit", .method = "POST", .path = "/permits",
                    .body = filing, .idempotent = false});
    @endcode
*/
class caller {
 public:
  /** The nodes that take calls for a service. */
  using resolver = std::function<std::vector<endpoint>(std::string_view service)>;

  class builder;

  caller(caller&& other) noexcept;
  caller& operator=(caller&& other) noexcept;
  ~caller();

  //============================================================================
  /** Runs one request; blocks at most for `longest` of the request. */
  call_result Call(const call_request& request);

  /** What became of a ticket. call_unknown with kTicketRunning: ask again. */
  call_result Ask(std::string_view service, std::string_view ticket,
                  std::chrono::milliseconds longest);

  /** Makes sure that a ticket never runs: call_not_run, or what it came to. */
  call_result Revoke(std::string_view service, std::string_view ticket,
                     std::chrono::milliseconds longest);

 private:
  class state;
  explicit caller(std::unique_ptr<state> made);
  std::unique_ptr<state> state_;
};

/** Makes a caller. Without hooks it uses HTTP, the machine's clock and its randomness. */
class caller::builder {
 public:
  builder();
  ~builder();

  /** Always these nodes, whatever the service. */
  builder& WithNodes(std::vector<endpoint> nodes);
  builder& WithResolver(resolver hook);
  builder& WithTransport(transport hook);
  /** The time now, and a wait. */
  builder& WithClock(std::function<instant()> now, std::function<void(duration)> sleep);
  /** Fixes the choice of nodes and the length of pauses. */
  builder& WithSeed(std::uint64_t seed);
  builder& WithManners(retry_manners manners);
  /** Told of the end of each attempt, on the thread of its call. */
  builder& WithAttemptHook(std::function<void(std::uint32_t attempt, const call_result&)> hook);

  /** Fails with kSettingsMissingKey where there is neither a resolver nor nodes. */
  absl::StatusOr<caller> Build();

 private:
  std::unique_ptr<state> making_;
};

}  // namespace cuminferry
