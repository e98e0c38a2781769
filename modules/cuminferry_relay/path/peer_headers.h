#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** HTTP header fields that nodes exchange; they reach neither clients nor backend servers. */
inline constexpr std::string_view kCallField = "Relay-Call";
inline constexpr std::string_view kLoadField = "Relay-Load";
inline constexpr std::string_view kOutcomeField = "Relay-Outcome";
/** Header field with the digest of a request that has run at a backend server which crashed.
    @see request_digest */
inline constexpr std::string_view kSuspectField = "Relay-Suspect";
/** Header field of a request that must not be repeated while repeats are scarce. A field of its
   own, as nodes of another version read the call's field to its end. @see repeat_turns */
inline constexpr std::string_view kNoTurnField = "Relay-No-Turn";
/** Header field of a request that may be a repeat: the most targets of its service that the calling
    node has listed for minutes. @see repeat_budget */
inline constexpr std::string_view kTargetsField = "Relay-Targets";
/** Header field of an answer that reports scarce repeats. @see repeat_report */
inline constexpr std::string_view kRepeatsField = "Relay-Repeats";
/** Header field of an answer that says that the instance which the request was meant for has
    declared that it leaves. Its value is the start time of that run. @see service_instance */
inline constexpr std::string_view kLeavingField = "Relay-Leaving";
/** Header field of an answer that ends with its connection, which is reset if the process of the
    node that sends it ends before. Without the field, the end of the process looks like the end of
    the answer. */
inline constexpr std::string_view kResetsIfCutField = "Relay-Resets-If-Cut";
/** Path at which a node serves its replica of the published items. Each format of the reply has
    a path of its own, so that a node of another version gets status 400 and reads the platform
    itself. */
inline constexpr std::string_view kItemsPath = "/relay/items";
/** Path at which a customer's coordinator adds up the requests of the customer. */
inline constexpr std::string_view kLimitsPath = "/relay/limits";
/** Path of the same exchange with the customers' request rates and the levels of fair shares. A
   node of the previous release answers with status 400. @see share_query */
inline constexpr std::string_view kSharesPath = "/relay/limits/2";
/** Path at which nodes exchange events about requests that crash backend servers. */
inline constexpr std::string_view kSuspectsPath = "/relay/suspects";

/** Data about a request that its ingress node sends to the target's node. */
struct call_header {
  std::string row;
  /** @see RankOf */
  std::uint32_t priority = 0;
  repeat_rule repeat = repeat_rule::kOnce;
  /** The request belongs to work that already runs, as clients don't send this row. */
  bool nested = false;
  duration objective{};
  duration objective_left{};
  /** Time since the request, or the client request that it is made for, was admitted. */
  duration age{};
  /** The request may have reached a backend server of the service before. */
  bool may_be_repeat = false;
  /** Probability that the request is a repeat, or a call of a run that is one. */
  double repeat_probability = 0.0;
  /** Number of requests of its row that this one represents. @see call_demand */
  double stands_for = 1.0;
  /** Share of the row that the ingress node admits, if it knows a limit. @see row_limit */
  std::optional<double> admitted_share;
  /** Another target's node has already counted the request as load of the service. */
  bool is_already_counted = false;
  /** Time within which the run must begin, where the request carries a customer's key, as the
      key may be revoked after that. */
  std::optional<duration> key_valid_for;
  /** The request runs only once the ingress node has sent the body, which it does when it is
      notified of a slot. Until then the ingress node knows that the request hasn't run. */
  bool awaits_release = false;
  /** Framing of the body for the backend server. Between nodes the body of a held request is
      sent in chunks, so that an empty body can be held back too. */
  body_framing framing = body_framing::kNone;
  /** Length of the body in bytes, where `framing` states a length. */
  std::uint64_t body_length = 0;

  std::string ToText() const;
  static std::optional<call_header> Parse(std::string_view text);
};

/** Load that a target's node reports with each answer. */
struct load_header {
  target_report report;
  /** Limit of the requested row; nothing while the node doesn't know which calls the row makes,
      as a node that has just started would report capacity that its callees don't have. */
  std::optional<row_limit> limit;
  /** Whether requests of the row come from clients. */
  bool from_clients = false;
  /** Revision of the latest change in the node's replica of the published items. */
  std::uint64_t items_revision = 0;

  std::string ToText() const;
  static std::optional<load_header> Parse(std::string_view text);
};

/** Scarcity of repeats that a target's node reports with an answer. */
struct repeat_report {
  /** Share of such requests whose repeats are within the bound. @see repeat_budget */
  double repeated_share = 1.0;
  /** Whether a service that the backend server calls lacks repeats. @see repeat_turns */
  bool callee_shortage = false;

  bool is_scarce() const { return repeated_share < 1.0 || callee_shortage; }
  std::string ToText() const;
  static std::optional<repeat_report> Parse(std::string_view text);
};

/** Reason why a target's node has no answer of its backend server to pass on. */
enum class relay_outcome : std::uint8_t {
  /** The gate can't grant a slot within the remaining time. */
  kFull,
  /** No turn within the rate that the backend server declares. */
  kOverRate,
  /** The backend server is draining or its node is stopping. */
  kLeaving,
  /** No connection to the backend server. */
  kDown,
  /** The customer's key may have been revoked, as the replica that contained it is too old. */
  kStaleKey,
  /** The limit on repeats is exhausted at this target. */
  kNoRepeats,
  /** The backend server rejected the request without running it. */
  kTurnedAway,
  /** Another backend server than the expected instance is at the address. */
  kOtherInstance,
  /** The other node didn't confirm in time, and the request had not been released to run. */
  kUnconfirmed,
  /** The connection was lost; the request may have run. */
  kLost,
  /** The backend server crashed while it ran this request and possibly others. */
  kEnded,
  /** The backend server crashed, and this request is identified as the cause. */
  kEndedAlone,
  /** The request crashes backend servers and was not sent to this one. */
  kBlocked,
  /** The answer is invalid; the request may have run. */
  kDamaged,
  /** No answer by the deadline; the request may have run. */
  kTimedOut,
  /** The backend server ran the request and answered with an error. */
  kFailed,
};

std::string_view ToText(relay_outcome outcome);
std::optional<relay_outcome> ParseOutcome(std::string_view text);
/** Whether the request has certainly not run and will not. */
bool IsCertainlyNotRun(relay_outcome outcome);
/** Whether the request may have reached the backend server. */
bool ReachedBackend(relay_outcome outcome);
/** Whether the target's node has counted the request as load of its backend server. */
bool WasCounted(relay_outcome outcome);

}  // namespace cuminferry
