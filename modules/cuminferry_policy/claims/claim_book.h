#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** What the home instance of a ticket knows of it. Numbers are sent between
    nodes and never change. */
enum class claim_state : std::uint8_t {
  kNeverSeen = 0,        ///< accepted if it came now
  kWaiting = 1,          ///< accepted, not yet handed to the backend server
  kRunning = 2,          ///< handed over; it runs or ran
  kCompleted = 3,        ///< it ran; the answer is kept
  kAnswerForgotten = 4,  ///< it ran and completed; the answer is no longer kept
  kTombstone = 5,        ///< it did not run and never will: the one ground for `not_run`
  kBrokenOff = 6,        ///< it was handed over and ended without an answer
  kRefused = 7,          ///< this arrival does not run; of others the home knows nothing
};

/** The part of a ticket that its home checks and remembers. */
struct claim_id {
  incarnation_id incarnation = 0;
  std::uint32_t window = 0;
  std::uint64_t nonce_high = 0;
  std::uint64_t nonce_low = 0;

  auto operator<=>(const claim_id&) const = default;
};

/** A claim's state, and what goes with it. */
struct claim_report {
  claim_state state = claim_state::kNeverSeen;
  result_code code = result_code::kOk;
  /** The encoded answer; only with kCompleted. */
  std::string answer;
};

/** The home's memory of non-idempotent calls: each ticket runs at most once.

    Bound to one incarnation and to claim windows of the home's own boot clock.
    Sans-I/O, guarded by the node with lock_rank::kClaims.

    A ticket's window decides what the home may say of a ticket that it does not
    find, and this order is what makes `not_run` true for ever:

    - accepted windows (the present one and some before it): it may still run;
    - remembered windows before those: each ticket that ran is still there, and
      no new one is accepted. So this one did not run and never will: kTombstone;
    - older ones, or those of another incarnation: nothing is known: kRefused.
      This arrival does not run, but an earlier copy may have: `unknown`.

    A ticket that waits or runs stays, however old its window becomes. After it
    has ended it stays as long as a ticket of the window in which it ended.

    A copy is an independent book; tests that try each course of events use it.
*/
class claim_book {
 public:
  /** What keeping an answer costs beside its text; counts as bytes of answers. */
  static constexpr std::size_t kBytesPerAnswer = 128;

  struct options {
    incarnation_id incarnation = 0;
    std::chrono::seconds window_length{60};
    /** Tickets of this many windows are accepted, the present one included. */
    std::uint32_t windows_kept = 3;
    /** For so many windows after those, a ticket is remembered but no new one is
        accepted: a late first arrival can be told for sure that it did not run. */
    std::uint32_t windows_remembered = 2;
    /** Most tickets remembered, about 50 bytes each; one more is refused, none is
        forgotten early. */
    std::size_t ticket_bound = 200'000;
    /** Most bytes of answers kept; the oldest go first, their tickets stay. */
    std::size_t answer_bytes_bound = 8 << 20;
  };

  explicit claim_book(options chosen, instant now);
  claim_book(const claim_book& other);
  claim_book(claim_book&& other) noexcept;
  claim_book& operator=(const claim_book& other);
  claim_book& operator=(claim_book&& other) noexcept;
  ~claim_book();

  //============================================================================
  /** The window that new tickets should be bound to. */
  std::uint32_t Window(instant now);

  /** A call with this ticket arrived. kNeverSeen in the report means: it is now
      kWaiting and this very call may be admitted. Any other state: it must not
      run for this call; the report says what to answer. */
  claim_report Begin(const claim_id& claim, instant now);

  /** A call with this ticket arrived and is refused for a reason that has nothing
      to do with the ticket, such as a table that is not there yet. Leaves a
      tombstone, without which a second copy could run after "not run" was told.
      The report is what to answer: not always a tombstone, as an earlier copy
      may run. */
  claim_report Refuse(const claim_id& claim, result_code code, instant now);

  /** The point of no return, just before the backend server gets the request.
      False where it was revoked meanwhile: it must not be handed over. */
  bool HandOver(const claim_id& claim, instant now);

  /** It ended before the hand-over, or the backend server is known not to have
      run it (backend_end::kShed, kNotSent): it never runs under this ticket. */
  void EndUnrun(const claim_id& claim, result_code code, instant now);

  /** The backend server answered. */
  void Complete(const claim_id& claim, std::string answer, instant now);

  /** Handed over, but no answer came; `code` is told to those who ask. */
  void BreakOff(const claim_id& claim, result_code code, instant now);
  /** As above with kBackendFailed. */
  void BreakOff(const claim_id& claim, instant now);

  /** What became of it; nothing changes. */
  claim_report Ask(const claim_id& claim, instant now);

  /** As Ask(), but one that was never seen or waits becomes a tombstone. Where
      that finds no room, the present windows close instead, to the same effect. */
  claim_report Revoke(const claim_id& claim, instant now);

  //============================================================================
  std::size_t tickets() const;
  std::size_t answer_bytes() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
