#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** What is known of a backend server that may no longer be listed. */
enum class registration_state : std::uint8_t {
  /** The platform lists it. */
  kListed,
  /** It is not listed, and there is fresh evidence that it serves. */
  kServing,
  /** It is not listed, and there is no fresh evidence of either. */
  kUndecided,
  /** It leaves: there is evidence of it, or it was listed as draining last. */
  kLeaving,
};

std::string_view ToText(registration_state state);

/** Decides, at the node beside a backend server that is no longer listed, whether it leaves.

    An entry is removed when its backend server leaves, but also when the backend server only can't
    reach the platform to renew it. If a third of the machines loses the platform, whole services
    lose all their targets while each backend server serves and can be reached by every caller. A
    backend server that leaves, however, must get no more requests soon after its entry was removed,
    and many leave without being listed as draining. The two are told apart by the answers: a
    backend server that leaves announces in each answer that it closes the connection, and its
    health answer says so too. Health answers may be false, so an answer to a request counts more.

    All requests to a backend server pass through the node beside it, so this decision binds all
    callers, whatever they list. The class does no I/O.
*/
class departure_check {
 public:
  /** Evidence that the backend server serves is fresh for this long. */
  static constexpr duration kEvidenceTime = std::chrono::seconds(1);
  /** A health probe is due if there was no evidence for this long. */
  static constexpr duration kProbeInterval = std::chrono::milliseconds(500);
  /** A probe that brought no evidence is repeated after this time. Health answers may be false;
      with kProbeInterval, a single false one would leave a gap in the evidence of idle instances.
   */
  static constexpr duration kProbeRetryInterval = std::chrono::milliseconds(100);
  /** Probes are sent only if a caller has asked, or has sent a request, within this time. */
  static constexpr duration kInterestTime = std::chrono::seconds(5);
  /** Consecutive answers that announce a close after which the backend server counts as leaving.
      One may be announced for another reason. */
  static constexpr int kClosingAnswers = 2;
  /** Answers that announced a close longer than this before the removal was known don't count. An
      entry is removed when its backend server begins to leave, and nodes know it within seconds;
      an idle backend server may have closed two connections in a row long before. */
  static constexpr duration kClosingAnswerTime = std::chrono::seconds(5);
  /** Part of the drain time in which requests are accepted without evidence. The rest is for
      requests under way and for the time until the removal is known here. */
  static constexpr double kUndecidedShare = 0.4;
  /** Number of ids that callers have named, and that no answer has confirmed, that are kept. */
  static constexpr std::size_t kMaxNamedRuns = 8;

  /** @param drain  time within which a backend server that leaves must get no more requests */
  explicit departure_check(duration drain) : drain_(drain) {}

  void SetDrainTime(duration drain) { drain_ = drain; }

  //============================================================================
  /** The platform lists this run of the backend server. */
  void OnListed(std::string_view id, std::int64_t started_millis);
  /** The platform lists this run of the backend server as draining: it leaves, also once it is no
      longer listed. */
  void OnListedAsDraining(std::string_view id, std::int64_t started_millis);
  /** The platform doesn't list the backend server; does nothing where that is known. A probe is due
      then: an idle backend server that leaves must not get the first request after its removal.
      @param removed_at  when the removal became known, where that was earlier than `now` */
  void OnUnlisted(instant now, const std::optional<instant>& removed_at = std::nullopt);
  /** A request has arrived from a caller that lists this instance. */
  void OnRequest(instant now) { interest_at_ = now; }
  /** A caller that doesn't list this instance asks, or sends a request.
      @param started_millis  start time of the run that it means; 0 where it isn't known
      @param removed_at      when the caller learned that it isn't listed */
  void OnCaller(std::string_view id, std::int64_t started_millis, instant removed_at, instant now);
  /** The backend server has answered a request that was meant for the instance `id`.
      @param closes   whether the answer announces that the connection is closed
      @param sent_at  when the request was sent to it */
  void OnAnswer(std::string_view id, bool closes, instant sent_at, instant now);
  /** A health probe is sent. */
  void OnProbeSent(instant now) { probed_at_ = now; }
  /** The backend server has answered a health probe.
      @param id       the instance that the answer names; empty where it names none of NamedIds()
      @param healthy  whether its status is 200
      @param sent_at  when the probe was sent */
  void OnHealth(std::string_view id, bool healthy, bool closes, instant sent_at, instant now);

  //============================================================================
  /** The state of the instance `id`; kUndecided for an id that is neither listed nor confirmed. */
  registration_state StateOf(std::string_view id, instant now) const;
  /** Whether a request for the instance `id` may be sent to the backend server. */
  bool Accepts(std::string_view id, instant now) const;
  /** Whether another instance than `id` is certainly the one here.
      @param started_millis  start time of the run of `id` that is meant; 0 where it isn't known */
  bool IsAnotherHere(std::string_view id, std::int64_t started_millis, instant now) const;
  /** Whether a health probe is due. */
  bool IsProbeDue(instant now) const;

  /** The ids to look for in a health answer: the own one, and those that callers have named. */
  std::vector<std::string> NamedIds() const;
  /** Id of the own instance: the one listed last, or the one that a health answer has named; empty
      where neither is known, as after a restart of the node beside an unlisted instance. */
  const std::string& id() const { return id_; }
  bool is_listed() const { return is_listed_; }
  /** Start time of the run that is, or was last, listed or named by a caller; 0 where unknown. */
  std::int64_t started_millis() const { return started_millis_; }

 private:
  // A run that a caller has named.
  struct named_run {
    std::string id;
    std::int64_t started_millis = 0;
  };

  void BeginRun(std::string_view id, std::int64_t started_millis);
  void OnListedRun(std::string_view id, std::int64_t started_millis);
  void AddNamedRun(std::string_view id, std::int64_t started_millis);
  bool AdoptNamedRun(std::string_view id);
  bool HasRequestEvidence(instant now) const;

  duration drain_;
  std::string id_;
  std::int64_t started_millis_ = 0;
  bool is_listed_ = false;
  bool is_leaving_ = false;
  // The earliest known time at which the entry was removed; nothing where the run was never listed
  // here, as its removal may then be older than any caller knows.
  std::optional<instant> removed_at_;
  // What callers reported of the removal while the instance was listed here, and the time of the
  // latest report.
  std::optional<instant> reported_removed_at_;
  instant reported_at_{};
  // Send time of the latest request, and of the latest probe, whose answer shows that the backend
  // server serves.
  std::optional<instant> request_evidence_;
  std::optional<instant> probe_evidence_;
  // Consecutive answers that announced a close, and the time of the latest.
  int closing_answers_ = 0;
  instant closed_at_{};
  std::optional<instant> interest_at_;
  std::optional<instant> probed_at_;
  std::vector<named_run> named_runs_;
};

}  // namespace cuminferry
