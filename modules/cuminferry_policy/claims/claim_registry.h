#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** State of a ticket at its home instance, the instance that the ticket is bound to. The
    numbers are sent between nodes and never change. */
enum class claim_state : std::uint8_t {
  kNeverSeen = 0,        ///< unknown ticket; a call that arrived now would be accepted
  kWaiting = 1,          ///< accepted, not yet handed over to the backend server
  kRunning = 2,          ///< handed over to the backend server, outcome not known yet
  kCompleted = 3,        ///< the call ran; its answer is stored
  kAnswerForgotten = 4,  ///< the call ran and completed; its answer is no longer stored
  kTombstone = 5,  ///< the call did not run and never will; the only state reported as `not_run`
  kAborted = 6,    ///< the call was handed over and finished without an answer
  kRefused = 7,    ///< this copy does not run; the home instance knows nothing of other copies
};

/** The part of a ticket that its home instance checks and stores. */
struct claim_id {
  incarnation_id incarnation = 0;
  std::uint32_t window = 0;
  std::uint64_t nonce_high = 0;
  std::uint64_t nonce_low = 0;

  auto operator<=>(const claim_id&) const = default;
};

/** A claim's state with its result code and answer. */
struct claim_report {
  claim_state state = claim_state::kNeverSeen;
  result_code code = result_code::kOk;
  /** The encoded answer; empty unless the state is kCompleted. */
  std::string answer;
};

/** Registry of the non-idempotent calls at their home instance; each ticket runs at most
    once.

    The registry belongs to one incarnation of the instance and counts claim windows on that
    instance's boot clock. It performs no I/O; the node guards it with lock_rank::kClaims.

    The window of a ticket that the registry does not contain determines what may be reported
    about it. These rules make sure that a reported `not_run` stays true:

    - Accepted windows (the current one and some before it): the call may still run.
    - Retained windows before those: every ticket that ran is still stored and no new ticket
      is accepted. The call therefore did not run and never will: kTombstone.
    - Older windows, and other incarnations: nothing is known about the ticket: kRefused.
      The copy that has arrived does not run, but an earlier one may have run: `unknown`.

    A ticket whose call waits or runs is stored regardless of the age of its window. A
    finished ticket is stored as long as a ticket of the window in which it finished.

    A copy of a registry is independent of the original; tests that explore alternative
    event orders copy it.
*/
class claim_registry {
 public:
  /** Bytes counted for each stored answer in addition to the size of its text. */
  static constexpr std::size_t kOverheadBytesPerAnswer = 128;

  struct options {
    incarnation_id incarnation = 0;
    std::chrono::seconds window_length{60};
    /** Number of windows whose tickets are accepted, including the current one. */
    std::uint32_t windows_accepted = 3;
    /** Number of windows before the accepted ones whose tickets are retained while no new one
        is accepted. For a first copy that arrives this late, the registry can still guarantee
        that the call did not run. */
    std::uint32_t windows_retained = 2;
    /** Maximum number of tickets stored, about 50 bytes each. Further tickets are refused; no
        stored ticket is removed early. */
    std::size_t max_tickets = 200'000;
    /** Maximum bytes of stored answers. The oldest answers are removed first; their tickets
        stay. */
    std::size_t max_answer_bytes = 8 << 20;
  };

  explicit claim_registry(options settings, instant now);
  claim_registry(const claim_registry& other);
  claim_registry(claim_registry&& other) noexcept;
  claim_registry& operator=(const claim_registry& other);
  claim_registry& operator=(claim_registry&& other) noexcept;
  ~claim_registry();

  //============================================================================
  /** Returns the current window; new tickets are to be bound to it. */
  std::uint32_t CurrentWindow(instant now);

  /** Registers a call that arrived with this ticket. If the reported state is kNeverSeen, the
      ticket is now kWaiting and this copy of the call may be admitted. In any other state this
      copy must not run, and the report is the answer to it. */
  claim_report Begin(const claim_id& claim, instant now);

  /** Refuses a call that arrived with this ticket for a reason unrelated to the ticket, such as
      a missing policy table. Leaves a tombstone; otherwise a second copy could run after
      `not_run` was reported. The returned report is the answer to the call. It is not always a
      tombstone, because an earlier copy may be running. */
  claim_report Refuse(const claim_id& claim, result_code code, instant now);

  /** Marks the call as running; to be called just before the request is sent to the backend
      server. Returns false if the call must not be handed over, for example because its ticket
      has been revoked. */
  bool HandOver(const claim_id& claim, instant now);

  /** Records that the call finished without running: it was not handed over, or the backend
      server is known not to have run it. It never runs under this ticket. */
  void MarkNotRun(const claim_id& claim, result_code code, instant now);

  /** Stores the answer of the backend server. */
  void Complete(const claim_id& claim, std::string answer, instant now);

  /** Records that the call was handed over and that no answer arrived. Later queries are
      answered with `code`. */
  void MarkAborted(const claim_id& claim, result_code code, instant now);
  /** Same as above, with result_code::kBackendFailed. */
  void MarkAborted(const claim_id& claim, instant now);

  /** Returns the state of the ticket; does not change it. */
  claim_report Query(const claim_id& claim, instant now);

  /** Leaves a tombstone if the ticket was never seen or its call still waits, and returns the
      state of the ticket. If the registry has no room for the tombstone, it accepts no further
      tickets of the windows up to the current one, which has the same effect. */
  claim_report Revoke(const claim_id& claim, instant now);

  //============================================================================
  std::size_t tickets() const;
  std::size_t answer_bytes() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
