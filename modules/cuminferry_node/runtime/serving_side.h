#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_node/backend/backend_client.h"
#include "cuminferry_node/runtime/claim_home.h"
#include "cuminferry_node/runtime/node_metrics.h"
#include "cuminferry_node/runtime/own_replies.h"
#include "cuminferry_node/runtime/running_request.h"
#include "cuminferry_node/shares/share_side.h"
#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** A call for the own backend server, from a caller or from another node. */
struct incoming_call {
  request_id request;
  std::string method;
  /** Path and query. */
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  /** The rest of a long body; empty where `body` is all. */
  std::function<bool(std::string& part)> more_body;
  /** Set by Begin() from the row where the request enters here. */
  instant deadline;
  /** It came before the drain, so that it is still served. */
  bool before_drain = false;
  /** A request that enters here gets its rank, deadline and retries from its row. */
  bool enters_here = false;
  call_rank rank;
  std::uint8_t retries = 0;
  /** Empty for idempotent rows. */
  ticket claim;
};

/** Calls into the own backend server: finds the row, keeps to at most once,
    admits, runs and answers.

    Every call that is begun gets exactly one reply, through the hook given with it.
*/
class serving_side {
 public:
  using reply_hook = std::function<void(reply_message)>;

  struct options {
    node_settings settings;
    incarnation_id incarnation = 0;
  };

  serving_side(options chosen, backend_client& backend, share_side& shares,
               request_records& records, node_metrics& metrics, event_log& events);
  /** Waits for the calls that run. */
  ~serving_side();
  serving_side(const serving_side&) = delete;
  serving_side& operator=(const serving_side&) = delete;

  //============================================================================
  /** Puts a version of the own service's rows in force. */
  void UseTable(const table_shard& shard);

  /** Begins a call. The hook is called once, on any thread, perhaps before this
      returns. @return names the call for Cancel() */
  call_key Begin(incoming_call call, reply_hook on_reply);

  /** The caller has gone. The hook is still called. */
  void Cancel(call_key key);

  /** A request in the backend server waits for a call to a service, or waits no
      longer for any. */
  void BeginWait(call_key key, std::string_view callee_service);
  void EndWait(call_key key);

  /** A callee advertised the rank below which it refuses a row. */
  void LearnThreshold(std::string_view caller_row, std::string_view callee_service,
                      std::string_view callee_row, call_rank threshold);

  /** What became of a ticket of this incarnation. */
  ask_reply_message Ask(const ask_message& question);

  /** The backend server's word on itself. */
  void ReportHealth(const backend_health& health);

  /** Refuses all that comes from now on; what waits and what runs is finished. */
  void Drain();

  /** Moves time on; to be called every few milliseconds. */
  void Tick(instant now);
  /** Tells admission how much of the fleet-wide limits this node may use now, and
      the shares how many calls wait for more. To be called every 50 to 100 ms. */
  void FollowShares();

  /** The rank below which a row is refused here or further down. */
  struct row_threshold {
    std::string row;
    call_rank threshold;
  };

  //============================================================================
  std::vector<row_threshold> Thresholds();
  load_advert Load();
  /** The claim window that new tickets are to be bound to. */
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
