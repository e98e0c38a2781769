#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
  /** It is not listed, and there is evidence that it leaves. */
  kLeaving,
};

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
  /** Probes are sent only if a caller has asked, or has sent a request, within this time. */
  static constexpr duration kInterestTime = std::chrono::seconds(5);
  /** Consecutive answers that announce a close after which the backend server counts as leaving.
      One may be announced for another reason. */
  static constexpr int kClosingAnswers = 2;
  /** Part of the drain time in which requests are accepted without evidence. The rest is for
      requests under way and for the time until the removal is known here. */
  static constexpr double kUndecidedShare = 0.8;

  /** @param drain  time within which a backend server that leaves must get no more requests */
  explicit departure_check(duration drain) : drain_(drain) {}

  void SetDrainTime(duration drain) { drain_ = drain; }

  //============================================================================
  /** The platform lists this run of the backend server. */
  void OnListed(std::string_view id, std::int64_t started_millis);
  /** The platform doesn't list the backend server.
      @param removed_at  when its entry was removed, as far as known */
  void OnUnlisted(instant removed_at);
  /** A caller that doesn't list this instance asks, or sends a request.
      @param removed_at  when the caller learned that it isn't listed */
  void OnCaller(std::string_view id, std::int64_t started_millis, instant removed_at, instant now);
  /** The backend server has answered a request that was meant for the instance `id`.
      @param closes   whether the answer announces that the connection is closed
      @param sent_at  when the request was sent to it */
  void OnAnswer(std::string_view id, bool closes, instant sent_at);
  /** The backend server has answered a health probe.
      @param id       the instance that the answer names; empty where it names none
      @param healthy  whether its status is 200 */
  void OnHealth(std::string_view id, bool healthy, bool closes, instant sent_at);

  //============================================================================
  /** The state of the instance `id`; kUndecided for an id that is neither listed nor confirmed. */
  registration_state StateOf(std::string_view id, instant now) const;
  /** Whether a request for the instance `id` may be sent to the backend server. */
  bool Accepts(std::string_view id, instant now) const;
  /** Whether a health probe is due. */
  bool IsProbeDue(instant now) const;
  /** Start time of the run that is, or was last, listed or named by a caller; 0 where unknown. */
  std::int64_t started_millis() const { return started_millis_; }

 private:
  duration drain_;
  std::string id_;
  std::int64_t started_millis_ = 0;
};

}  // namespace cuminferry
