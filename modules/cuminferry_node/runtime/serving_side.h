#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_node/backend/backend_client.h"
#include "cuminferry_node/runtime/local_claims.h"
#include "cuminferry_node/runtime/local_replies.h"
#include "cuminferry_node/runtime/node_metrics.h"
#include "cuminferry_node/runtime/running_request.h"
#include "cuminferry_node/shares/share_side.h"
#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** A call to this node's backend server, received from a caller or from another node. */
struct incoming_call {
  request_id request;
  std::string method;
  /** Path and query. */
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  /** Reads the next part of a long body and returns false where the body is cut short;
      empty where `body` is complete. */
  std::function<bool(std::string& part)> more_body;
  /** At the ingress node, Begin() limits the deadline by the one of the row. */
  instant deadline;
  /** The call was received before the drain began and is still served. */
  bool accepted_before_drain = false;
  /** This node is the ingress: Begin() sets rank, deadline and retries from the row. */
  bool is_ingress = false;
  call_rank rank;
  std::uint8_t retries = 0;
  /** The ticket of the call; empty for idempotent rows. */
  ticket claim;
};

/** Serves the calls to this node's backend server: finds the row, runs non-idempotent
    calls at most once per ticket, and admits, runs and answers calls. Thread-safe.

    Each call gets exactly one reply, through the hook passed to Begin().
*/
class serving_side {
 public:
  using reply_hook = std::function<void(reply_message)>;

  struct options {
    node_settings settings;
    incarnation_id incarnation = 0;
  };

  serving_side(options chosen, backend_client& backend, share_side& shares,
               running_request_registry& records, node_metrics& metrics, event_log& events);
  /** Waits for the running calls. */
  ~serving_side();
  serving_side(const serving_side&) = delete;
  serving_side& operator=(const serving_side&) = delete;

  //============================================================================
  /** Applies a version of the rows of this node's service. */
  void UseTable(const table_shard& shard);

  /** Begins a call. The hook is called once, on any thread, possibly before Begin()
      returns.
      @return the key of the call, for Cancel() */
  call_key Begin(incoming_call call, reply_hook on_reply);

  /** Cancels a call because its caller has gone. The hook is still called. A running call
      with a ticket is not cancelled, because its answer can be queried by the ticket. */
  void Cancel(call_key key);

  /** Reports that a running request begins to wait for a call to a service, or that it
      waits for no call any more. */
  void BeginWait(call_key key, std::string_view callee_service);
  void EndWait(call_key key);

  /** Records the rank below which a callee refuses its row, as reported by the callee. */
  void LearnThreshold(std::string_view caller_row, std::string_view callee_service,
                      std::string_view callee_row, call_rank threshold);

  /** Answers a query about a ticket of this incarnation, or revokes the ticket. */
  query_reply_message Query(const query_message& query);

  /** Applies the result of a health check of the backend server. */
  void ReportHealth(const backend_health& health);

  /** Refuses calls received from now on; queued and running calls are completed. */
  void Drain();

  /** Processes timeouts; to be called every few milliseconds. */
  void Tick(instant now);
  /** Passes this node's current shares of fleet-wide limits to admission, and the number
      of calls that wait for a larger share to share_side. To be called every 50 to
      100 ms. */
  void ApplyShares();

  /** The rank below which a row is refused, at this node or by a service that it calls. */
  struct row_threshold {
    std::string row;
    call_rank threshold;
  };

  //============================================================================
  std::vector<row_threshold> Thresholds();
  load_report Load();
  /** The claim window to which new tickets are bound. */
  std::uint32_t ClaimWindow();
  bool draining() const;
  std::uint32_t running();
  std::uint32_t queued();
  std::uint32_t limit();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
