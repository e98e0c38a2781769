#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Fields that nodes add for each other and remove again. */
inline constexpr std::string_view kCallField = "Relay-Call";
inline constexpr std::string_view kLoadField = "Relay-Load";
inline constexpr std::string_view kOutcomeField = "Relay-Outcome";
/** What a request is known by that ran at a backend server which ended. @see request_digest */
inline constexpr std::string_view kSuspectField = "Relay-Suspect";
/** Path under which a node gives its copy of the published items. Another for each form of
    the answer: a node of another version is answered 400 and reads the platform itself. */
inline constexpr std::string_view kItemsPath = "/relay/news";
/** Path under which a node adds up what customers send. */
inline constexpr std::string_view kLimitsPath = "/relay/limits";
/** Path under which nodes tell each other of requests that end backend servers. */
inline constexpr std::string_view kSuspectsPath = "/relay/suspects";

/** What the entry tells the target's node of a request. */
struct call_header {
  std::string row;
  /** @see RankOf */
  std::uint32_t priority = 0;
  repeat_rule repeat = repeat_rule::kOnce;
  /** Clients don't send this row: it belongs to work that already runs. */
  bool nested = false;
  duration objective{};
  duration objective_left{};
  /** Since the request, or the one that caused it, was let in. */
  duration age{};
  /** It may have come to a backend server of the service before. */
  bool again = false;
  /** How likely this send is itself a repeat, or a call of a run that is one. */
  double repeated = 0.0;
  /** Requests of its row that it stands for. @see call_demand */
  double stands_for = 1.0;
  /** What the entry knows to be let in of its row, if anything. @see row_limit */
  std::optional<double> share;
  /** Another target's node has counted it among what is asked of the service. */
  bool counted_before = false;
  /** It carries a customer's key, which may be withdrawn: it must not begin to run later than
      this from now. */
  std::optional<duration> key_left;
  /** Run only once the entry has sent the body, which it does when it is told that
      there is a slot. Until then the entry knows that the request hasn't run. */
  bool held = false;
  /** Framing of the body for the backend server; between nodes, a held request's
      body comes in chunks, so that an empty one can be held back too. */
  body_framing framing = body_framing::kNone;
  std::uint64_t length = 0;

  std::string ToText() const;
  static std::optional<call_header> Parse(std::string_view text);
};

/** What a target's node tells with each answer. */
struct load_header {
  target_report report;
  /** Of the row that was asked for; nothing while the node doesn't know which rows it
      calls. A node that has just started would tell of room that is not there. */
  std::optional<row_limit> limit;
  bool from_clients = false;
  /** Revision of the latest change that the node knows of the published items. */
  std::uint64_t items_revision = 0;

  std::string ToText() const;
  static std::optional<load_header> Parse(std::string_view text);
};

/** Why a target's node has no answer of its backend server. */
enum class relay_outcome : std::uint8_t {
  /** The gate has no room within the time left. */
  kFull,
  /** The backend server or its node is leaving. */
  kLeaving,
  /** No connection to the backend server. */
  kDown,
  /** The key that it carries may be withdrawn by now: the copy that knew it is too old. */
  kStaleKey,
  /** The bound on repeats is used up at this target. */
  kNoRepeats,
  /** The backend server turned the request away, unrun. */
  kTurnedAway,
  /** Another backend server than the one that was meant stands at the address. */
  kOtherInstance,
  /** No sign of the target's node, which had not been let run the request. */
  kUnconfirmed,
  /** The connection was lost; the request may have run. */
  kLost,
  /** The backend server ended while it ran the request, among others. */
  kEnded,
  /** The same, and it is this request that ends backend servers. */
  kEndedAlone,
  /** It ends backend servers that run it: this one has not been sent it. */
  kBlocked,
  /** What came back is no answer; the request may have run. */
  kDamaged,
  /** No answer by the deadline; the request may have run. */
  kTimedOut,
  /** The backend server ran the request and answered that it failed. */
  kFailed,
};

std::string_view ToText(relay_outcome outcome);
std::optional<relay_outcome> ParseOutcome(std::string_view text);
/** The request has not run and will not. */
bool SurelyNotRun(relay_outcome outcome);
/** The request came as far as the backend server. */
bool ReachedBackend(relay_outcome outcome);
/** The target's node has counted the request among what is asked of its backend server. */
bool WasCounted(relay_outcome outcome);

}  // namespace cuminferry
