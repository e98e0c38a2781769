/** @file
    cuminferry_policy: the decisions about calls, free of threads, sockets,
    clocks and global randomness. Time and randomness are arguments; what to do
    is returned. The same code runs in the daemon and in tests.

    - rank/      how much a call matters against others
    - admission/ which calls one instance runs, queues and refuses
    - targets/   which instance a call goes to
    - serving/   which requests a backend server's slots run, queue and refuse
    - declared/  what backend servers declare in their answers: the rate that they take
    - placement/ which target gets a request that is known by host and path
    - customers/ whose request it is, and how much a customer may send
    - entry/     what is refused where it enters, for the sake of services further down
    - retries/   how often a call may be tried again
    - claims/    at most once for non-idempotent calls
    - suspects/  which request ends the backend servers that run it
    - registration/ whether a backend server that is no longer listed leaves
    - shares/    each node's part of a fleet-wide limit

    May use cuminferry_core and cuminferry_table.
*/
#pragma once

#include "cuminferry_policy/admission/admission_controller.h"
#include "cuminferry_policy/claims/claim_outcome.h"
#include "cuminferry_policy/claims/claim_registry.h"
#include "cuminferry_policy/claims/claim_sender.h"
#include "cuminferry_policy/claims/claim_ticket.h"
#include "cuminferry_policy/claims/ticket_text.h"
#include "cuminferry_policy/customers/coordinator_picker.h"
#include "cuminferry_policy/customers/customer_coordinator.h"
#include "cuminferry_policy/customers/customer_limits.h"
#include "cuminferry_policy/customers/customer_shares.h"
#include "cuminferry_policy/customers/customer_weights.h"
#include "cuminferry_policy/customers/demand_coordinator.h"
#include "cuminferry_policy/customers/demand_messages.h"
#include "cuminferry_policy/customers/demand_rate.h"
#include "cuminferry_policy/customers/fair_level.h"
#include "cuminferry_policy/customers/key_check.h"
#include "cuminferry_policy/customers/level_coordinator.h"
#include "cuminferry_policy/customers/limit_bounds.h"
#include "cuminferry_policy/customers/limit_messages.h"
#include "cuminferry_policy/customers/replica_age.h"
#include "cuminferry_policy/customers/share_pool.h"
#include "cuminferry_policy/declared/caller_rate.h"
#include "cuminferry_policy/declared/declared_rate.h"
#include "cuminferry_policy/declared/event_rate.h"
#include "cuminferry_policy/declared/rate_belief.h"
#include "cuminferry_policy/declared/rate_control.h"
#include "cuminferry_policy/declared/rate_level.h"
#include "cuminferry_policy/declared/rate_report.h"
#include "cuminferry_policy/declared/send_pacer.h"
#include "cuminferry_policy/declared/target_rate.h"
#include "cuminferry_policy/entry/call_attribution.h"
#include "cuminferry_policy/entry/call_demand.h"
#include "cuminferry_policy/entry/ingress_admission.h"
#include "cuminferry_policy/entry/limit_to_report.h"
#include "cuminferry_policy/entry/request_rank.h"
#include "cuminferry_policy/entry/row_limit.h"
#include "cuminferry_policy/entry/row_origins.h"
#include "cuminferry_policy/entry/running_work.h"
#include "cuminferry_policy/placement/body_sizes.h"
#include "cuminferry_policy/placement/domain_reachability.h"
#include "cuminferry_policy/placement/picked_target.h"
#include "cuminferry_policy/placement/published_target.h"
#include "cuminferry_policy/placement/service_figures.h"
#include "cuminferry_policy/placement/target_load.h"
#include "cuminferry_policy/placement/target_picker.h"
#include "cuminferry_policy/placement/target_report.h"
#include "cuminferry_policy/rank/call_rank.h"
#include "cuminferry_policy/registration/departure_check.h"
#include "cuminferry_policy/retries/repeat_budget.h"
#include "cuminferry_policy/retries/repeat_turns.h"
#include "cuminferry_policy/retries/retry_allowance.h"
#include "cuminferry_policy/retries/retry_ratio.h"
#include "cuminferry_policy/retries/retry_rule.h"
#include "cuminferry_policy/retries/run_outcomes.h"
#include "cuminferry_policy/serving/admission_level.h"
#include "cuminferry_policy/serving/recent_success.h"
#include "cuminferry_policy/serving/request_queue.h"
#include "cuminferry_policy/serving/row_run_times.h"
#include "cuminferry_policy/serving/slot_gate.h"
#include "cuminferry_policy/serving/slot_learning.h"
#include "cuminferry_policy/serving/waiting_order.h"
#include "cuminferry_policy/shares/limit_shares.h"
#include "cuminferry_policy/suspects/request_digest.h"
#include "cuminferry_policy/suspects/suspect_event.h"
#include "cuminferry_policy/suspects/suspect_isolation.h"
#include "cuminferry_policy/suspects/suspect_registry.h"
#include "cuminferry_policy/targets/target_chooser.h"
