#include "cuminferry_policy/claims/claim_book.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cassert>
#include <compare>
#include <map>
#include <utility>

#include "cuminferry_policy/claims/claim_end.h"

namespace cuminferry {
namespace {

/** The first window. 0 is no window, so that a ticket left empty never fits. */
constexpr std::uint32_t kFirstWindow = 1;

struct nonce {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const nonce&) const = default;
  template <typename Hash>
  friend Hash AbslHashValue(Hash hash, const nonce& value) {
    return Hash::combine(std::move(hash), value.high, value.low);
  }
};

nonce NonceOf(const claim_id& claim) { return {claim.nonce_high, claim.nonce_low}; }

struct entry {
  /** Key in the store of answers; 0: none is kept. */
  std::uint64_t answer = 0;
  /** The window in which it ended, at least its own. */
  std::uint32_t ended_in = 0;
  result_code code = result_code::kOk;
  claim_state state = claim_state::kWaiting;
};

/** An answer, and whose it is. */
struct kept_answer {
  claim_id claim;
  std::string text;
};

std::size_t CostOf(const std::string& answer) {
  return answer.size() + claim_book::kBytesPerAnswer;
}

using claims_of_window = absl::flat_hash_map<nonce, entry>;

}  // namespace

class claim_book::state {
 public:
  state(options chosen, instant now) : chosen_(chosen), begun_(now) {
    assert(chosen.incarnation != 0);
    assert(chosen.windows_kept > 0 && chosen.window_length.count() > 0);
  }

  std::uint32_t Turn(instant now) {
    const auto passed = std::max(now - begun_, duration::zero()) / chosen_.window_length;
    const std::uint32_t window = kFirstWindow + static_cast<std::uint32_t>(passed);
    if (window > window_) {
      window_ = window;
      ForgetOldWindows();
    }
    return window_;
  }

  claim_report Begin(const claim_id& claim) {
    if (const entry* found = Find(claim)) {
      return ReportOf(*found);
    }
    if (!IsAccepted(claim)) {
      return ReportOfUnseen(claim);
    }
    if (tickets_ >= chosen_.ticket_bound) {
      return RefuseForWantOfRoom();
    }
    Add(claim, {.ended_in = claim.window});
    return {};
  }

  claim_report Ask(const claim_id& claim) const {
    const entry* found = Find(claim);
    return found != nullptr ? ReportOf(*found) : ReportOfUnseen(claim);
  }

  claim_report Revoke(const claim_id& claim) {
    entry* found = Find(claim);
    if (found != nullptr) {
      if (found->state == claim_state::kWaiting) {
        End(*found, claim_state::kTombstone, result_code::kTicketRevoked);
      }
      return ReportOf(*found);
    }
    if (!IsAccepted(claim)) {
      return ReportOfUnseen(claim);
    }
    if (tickets_ >= chosen_.ticket_bound) {
      return RefuseForWantOfRoom();
    }
    Add(claim, {.ended_in = window_,
                .code = result_code::kTicketRevoked,
                .state = claim_state::kTombstone});
    return {claim_state::kTombstone, result_code::kTicketRevoked, {}};
  }

  bool HandOver(const claim_id& claim) {
    entry* found = Find(claim);
    if (found == nullptr || found->state != claim_state::kWaiting) {
      return false;
    }
    found->state = claim_state::kRunning;
    return true;
  }

  void EndUnrun(const claim_id& claim, result_code code) {
    entry* found = Find(claim);
    // One that was revoked while it waited has its tombstone already.
    if (found != nullptr && !IsFinal(found->state)) {
      End(*found, claim_state::kTombstone, code);
    }
  }

  void Complete(const claim_id& claim, std::string answer) {
    entry* found = Find(claim);
    assert(found != nullptr && found->state == claim_state::kRunning);
    if (found == nullptr || found->state != claim_state::kRunning) {
      return;
    }
    if (CostOf(answer) > chosen_.answer_bytes_bound) {
      End(*found, claim_state::kAnswerForgotten, result_code::kTicketAnswerForgotten);
      return;
    }
    ForgetAnswersFor(CostOf(answer));
    End(*found, claim_state::kCompleted, result_code::kOk);
    found->answer = ++last_answer_;
    answer_bytes_ += CostOf(answer);
    answers_.emplace(last_answer_, kept_answer{claim, std::move(answer)});
  }

  void BreakOff(const claim_id& claim, result_code code) {
    entry* found = Find(claim);
    assert(found != nullptr && found->state == claim_state::kRunning);
    if (found != nullptr && found->state == claim_state::kRunning) {
      End(*found, claim_state::kBrokenOff, code);
    }
  }

  std::size_t tickets() const { return tickets_; }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  /** A ticket of this window that was never seen may still run. */
  bool IsAccepted(const claim_id& claim) const {
    return claim.incarnation == chosen_.incarnation && claim.window > closed_up_to_ &&
           claim.window <= window_ && window_ - claim.window < chosen_.windows_kept;
  }

  bool IsRemembered(std::uint32_t window) const {
    return window >= kFirstWindow && window <= window_ &&
           window_ - window < chosen_.windows_kept + chosen_.windows_remembered;
  }

  claim_report ReportOfUnseen(const claim_id& claim) const {
    if (claim.incarnation != chosen_.incarnation) {
      return {claim_state::kRefused, result_code::kTicketOtherIncarnation, {}};
    }
    if (IsAccepted(claim)) {
      return {};
    }
    // One of a window to come was made by nobody who heard from us. It would be
    // accepted once the window comes, so nothing can be promised of it.
    if (!IsRemembered(claim.window)) {
      return {claim_state::kRefused, result_code::kTicketForgotten, {}};
    }
    return {claim_state::kTombstone, result_code::kTicketExpired, {}};
  }

  claim_report ReportOf(const entry& found) const {
    claim_report report{found.state, found.code, {}};
    if (found.state == claim_state::kCompleted) {
      report.answer = answers_.at(found.answer).text;
    }
    if (!IsFinal(found.state)) {
      report.code = result_code::kTicketRunning;
    }
    return report;
  }

  /** No room to remember the refusal: a late second copy, arriving when there is
      room again, would run although its sender was told that it did not, and
      the filing that was sent again elsewhere would be doubled. So nothing more
      is accepted for the windows up to the present one, which frees no less
      room, as tickets go only when windows turn. */
  claim_report RefuseForWantOfRoom() {
    closed_up_to_ = window_;
    return {claim_state::kTombstone, result_code::kTicketTableFull, {}};
  }

  const entry* Find(const claim_id& claim) const {
    if (claim.incarnation != chosen_.incarnation) {
      return nullptr;
    }
    const auto window = windows_.find(claim.window);
    if (window == windows_.end()) {
      return nullptr;
    }
    const auto found = window->second.find(NonceOf(claim));
    return found != window->second.end() ? &found->second : nullptr;
  }

  entry* Find(const claim_id& claim) {
    return const_cast<entry*>(std::as_const(*this).Find(claim));
  }

  void Add(const claim_id& claim, entry added) {
    windows_[claim.window].emplace(NonceOf(claim), added);
    ++tickets_;
  }

  void End(entry& ended, claim_state how, result_code code) {
    ended.state = how;
    ended.code = code;
    ended.ended_in = std::max(ended.ended_in, window_);
  }

  /** Makes room for an answer. A ticket whose answer goes still tells that it ran. */
  void ForgetAnswersFor(std::size_t bytes) {
    while (answer_bytes_ + bytes > chosen_.answer_bytes_bound) {
      const claim_id oldest = answers_.begin()->second.claim;
      entry* owner = Find(oldest);
      assert(owner != nullptr);
      DropAnswer(*owner);
      owner->state = claim_state::kAnswerForgotten;
      owner->code = result_code::kTicketAnswerForgotten;
    }
  }

  void DropAnswer(entry& owner) {
    const auto found = answers_.find(owner.answer);
    if (found == answers_.end()) {
      return;
    }
    answer_bytes_ -= CostOf(found->second.text);
    answers_.erase(found);
    owner.answer = 0;
  }

  void ForgetOldWindows() {
    for (auto window = windows_.begin(); window != windows_.end();) {
      if (IsRemembered(window->first)) {
        break;
      }
      ForgetEnded(window->second);
      window = window->second.empty() ? windows_.erase(window) : std::next(window);
    }
  }

  void ForgetEnded(claims_of_window& claims) {
    absl::erase_if(claims, [this](auto& each) {
      entry& ended = each.second;
      if (!IsFinal(ended.state) || IsRemembered(ended.ended_in)) {
        return false;
      }
      DropAnswer(ended);
      --tickets_;
      return true;
    });
  }

  options chosen_;
  instant begun_;
  std::uint32_t window_ = kFirstWindow;
  /** Windows up to this one take no more tickets, whatever their age. */
  std::uint32_t closed_up_to_ = 0;
  std::map<std::uint32_t, claims_of_window> windows_;
  std::size_t tickets_ = 0;
  /** By order of completion, so that the oldest stands first. */
  std::map<std::uint64_t, kept_answer> answers_;
  std::uint64_t last_answer_ = 0;
  std::size_t answer_bytes_ = 0;
};

//==============================================================================
claim_book::claim_book(options chosen, instant now)
    : state_(std::make_unique<state>(chosen, now)) {}

claim_book::claim_book(const claim_book& other) : state_(std::make_unique<state>(*other.state_)) {}

claim_book::claim_book(claim_book&& other) noexcept = default;

claim_book& claim_book::operator=(const claim_book& other) { return *this = claim_book(other); }

claim_book& claim_book::operator=(claim_book&& other) noexcept = default;

claim_book::~claim_book() = default;

//==============================================================================
std::uint32_t claim_book::Window(instant now) { return state_->Turn(now); }

claim_report claim_book::Begin(const claim_id& claim, instant now) {
  state_->Turn(now);
  return state_->Begin(claim);
}

claim_report claim_book::Refuse(const claim_id& claim, result_code code, instant now) {
  const claim_report report = Begin(claim, now);
  if (report.state != claim_state::kNeverSeen) {
    return report;
  }
  state_->EndUnrun(claim, code);
  return state_->Ask(claim);
}

bool claim_book::HandOver(const claim_id& claim, instant now) {
  state_->Turn(now);
  return state_->HandOver(claim);
}

void claim_book::EndUnrun(const claim_id& claim, result_code code, instant now) {
  state_->Turn(now);
  state_->EndUnrun(claim, code);
}

void claim_book::Complete(const claim_id& claim, std::string answer, instant now) {
  state_->Turn(now);
  state_->Complete(claim, std::move(answer));
}

void claim_book::BreakOff(const claim_id& claim, result_code code, instant now) {
  state_->Turn(now);
  state_->BreakOff(claim, code);
}

void claim_book::BreakOff(const claim_id& claim, instant now) {
  BreakOff(claim, result_code::kBackendFailed, now);
}

claim_report claim_book::Ask(const claim_id& claim, instant now) {
  state_->Turn(now);
  return state_->Ask(claim);
}

claim_report claim_book::Revoke(const claim_id& claim, instant now) {
  state_->Turn(now);
  return state_->Revoke(claim);
}

//==============================================================================
std::size_t claim_book::tickets() const { return state_->tickets(); }

std::size_t claim_book::answer_bytes() const { return state_->answer_bytes(); }

}  // namespace cuminferry
