#include "cuminferry_policy/claims/claim_registry.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cassert>
#include <compare>
#include <map>
#include <utility>

#include "cuminferry_policy/claims/claim_outcome.h"

namespace cuminferry {
namespace {

/** Number of the first window. Window 0 does not exist, so an empty ticket is never accepted. */
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

struct claim_record {
  /** Key in answers_; 0 if no answer is stored. */
  std::uint64_t answer_key = 0;
  /** Window in which the call finished; never earlier than the window of the ticket. */
  std::uint32_t final_window = 0;
  result_code code = result_code::kOk;
  claim_state state = claim_state::kWaiting;
};

/** A stored answer and the claim that it belongs to. */
struct stored_answer {
  claim_id claim;
  std::string text;
};

std::size_t StoredBytesOf(const std::string& answer) {
  return answer.size() + claim_registry::kOverheadBytesPerAnswer;
}

using claims_of_window = absl::flat_hash_map<nonce, claim_record>;

}  // namespace

class claim_registry::state {
 public:
  state(options settings, instant now) : options_(settings), boot_time_(now) {
    assert(settings.incarnation != 0);
    assert(settings.windows_accepted > 0 && settings.window_length.count() > 0);
  }

  std::uint32_t AdvanceWindow(instant now) {
    const auto passed = std::max(now - boot_time_, duration::zero()) / options_.window_length;
    const std::uint32_t window = kFirstWindow + static_cast<std::uint32_t>(passed);
    if (window > window_) {
      window_ = window;
      EvictOldWindows();
    }
    return window_;
  }

  claim_report Begin(const claim_id& claim) {
    if (const claim_record* found = Find(claim)) {
      return ReportFor(*found);
    }
    if (!IsAcceptable(claim)) {
      return ReportForUnknown(claim);
    }
    if (tickets_ >= options_.max_tickets) {
      return RefuseForFullRegistry();
    }
    Add(claim, {.final_window = claim.window});
    return {};
  }

  claim_report Query(const claim_id& claim) const {
    const claim_record* found = Find(claim);
    return found != nullptr ? ReportFor(*found) : ReportForUnknown(claim);
  }

  claim_report Revoke(const claim_id& claim) {
    claim_record* found = Find(claim);
    if (found != nullptr) {
      if (found->state == claim_state::kWaiting) {
        Finish(*found, claim_state::kTombstone, result_code::kTicketRevoked);
      }
      return ReportFor(*found);
    }
    if (!IsAcceptable(claim)) {
      return ReportForUnknown(claim);
    }
    if (tickets_ >= options_.max_tickets) {
      return RefuseForFullRegistry();
    }
    Add(claim, {.final_window = window_,
                .code = result_code::kTicketRevoked,
                .state = claim_state::kTombstone});
    return {claim_state::kTombstone, result_code::kTicketRevoked, {}};
  }

  bool HandOver(const claim_id& claim) {
    claim_record* found = Find(claim);
    if (found == nullptr || found->state != claim_state::kWaiting) {
      return false;
    }
    found->state = claim_state::kRunning;
    return true;
  }

  void MarkNotRun(const claim_id& claim, result_code code) {
    claim_record* found = Find(claim);
    // A call that was revoked while it waited has a tombstone already.
    if (found != nullptr && !IsFinal(found->state)) {
      Finish(*found, claim_state::kTombstone, code);
    }
  }

  void Complete(const claim_id& claim, std::string answer) {
    claim_record* found = Find(claim);
    assert(found != nullptr && found->state == claim_state::kRunning);
    if (found == nullptr || found->state != claim_state::kRunning) {
      return;
    }
    if (StoredBytesOf(answer) > options_.max_answer_bytes) {
      Finish(*found, claim_state::kAnswerForgotten, result_code::kTicketAnswerForgotten);
      return;
    }
    EvictAnswersFor(StoredBytesOf(answer));
    Finish(*found, claim_state::kCompleted, result_code::kOk);
    found->answer_key = ++last_answer_key_;
    answer_bytes_ += StoredBytesOf(answer);
    answers_.emplace(last_answer_key_, stored_answer{claim, std::move(answer)});
  }

  void MarkAborted(const claim_id& claim, result_code code) {
    claim_record* found = Find(claim);
    assert(found != nullptr && found->state == claim_state::kRunning);
    if (found != nullptr && found->state == claim_state::kRunning) {
      Finish(*found, claim_state::kAborted, code);
    }
  }

  std::size_t tickets() const { return tickets_; }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  /** Returns whether a ticket that is not in the registry may still run. */
  bool IsAcceptable(const claim_id& claim) const {
    return claim.incarnation == options_.incarnation && claim.window > last_closed_window_ &&
           claim.window <= window_ && window_ - claim.window < options_.windows_accepted;
  }

  bool IsRetained(std::uint32_t window) const {
    return window >= kFirstWindow && window <= window_ &&
           window_ - window < options_.windows_accepted + options_.windows_retained;
  }

  claim_report ReportForUnknown(const claim_id& claim) const {
    if (claim.incarnation != options_.incarnation) {
      return {claim_state::kRefused, result_code::kTicketOtherIncarnation, {}};
    }
    if (IsAcceptable(claim)) {
      return {};
    }
    // A sender binds tickets to a window that the home instance has reported, never to a future
    // one. Such a ticket would be accepted once its window begins, so no tombstone may be reported
    // for it.
    if (!IsRetained(claim.window)) {
      return {claim_state::kRefused, result_code::kTicketForgotten, {}};
    }
    return {claim_state::kTombstone, result_code::kTicketExpired, {}};
  }

  claim_report ReportFor(const claim_record& found) const {
    claim_report report{found.state, found.code, {}};
    if (found.state == claim_state::kCompleted) {
      report.answer = answers_.at(found.answer_key).text;
    }
    if (!IsFinal(found.state)) {
      report.code = result_code::kTicketRunning;
    }
    return report;
  }

  /** Refuses a ticket because the registry is full and cannot store the refusal. If a late
      second copy arrived when there is room again, it would run although `not_run` was
      reported, and a call that was then sent to another instance would run twice. Therefore no
      further ticket is accepted for the windows up to the current one. This costs no capacity,
      because tickets are removed only when a window ends. */
  claim_report RefuseForFullRegistry() {
    last_closed_window_ = window_;
    return {claim_state::kTombstone, result_code::kTicketTableFull, {}};
  }

  const claim_record* Find(const claim_id& claim) const {
    if (claim.incarnation != options_.incarnation) {
      return nullptr;
    }
    const auto window = windows_.find(claim.window);
    if (window == windows_.end()) {
      return nullptr;
    }
    const auto found = window->second.find(NonceOf(claim));
    return found != window->second.end() ? &found->second : nullptr;
  }

  claim_record* Find(const claim_id& claim) {
    return const_cast<claim_record*>(std::as_const(*this).Find(claim));
  }

  void Add(const claim_id& claim, claim_record added) {
    windows_[claim.window].emplace(NonceOf(claim), added);
    ++tickets_;
  }

  void Finish(claim_record& record, claim_state final_state, result_code code) {
    record.state = final_state;
    record.code = code;
    record.final_window = std::max(record.final_window, window_);
  }

  /** Removes the oldest answers to make room for `bytes`. Their tickets still show that the calls
      ran. */
  void EvictAnswersFor(std::size_t bytes) {
    while (answer_bytes_ + bytes > options_.max_answer_bytes) {
      const claim_id oldest = answers_.begin()->second.claim;
      claim_record* owner = Find(oldest);
      assert(owner != nullptr);
      DropAnswer(*owner);
      owner->state = claim_state::kAnswerForgotten;
      owner->code = result_code::kTicketAnswerForgotten;
    }
  }

  void DropAnswer(claim_record& owner) {
    const auto found = answers_.find(owner.answer_key);
    if (found == answers_.end()) {
      return;
    }
    answer_bytes_ -= StoredBytesOf(found->second.text);
    answers_.erase(found);
    owner.answer_key = 0;
  }

  void EvictOldWindows() {
    for (auto window = windows_.begin(); window != windows_.end();) {
      if (IsRetained(window->first)) {
        break;
      }
      EvictFinished(window->second);
      window = window->second.empty() ? windows_.erase(window) : std::next(window);
    }
  }

  void EvictFinished(claims_of_window& claims) {
    absl::erase_if(claims, [this](auto& each) {
      claim_record& record = each.second;
      if (!IsFinal(record.state) || IsRetained(record.final_window)) {
        return false;
      }
      DropAnswer(record);
      --tickets_;
      return true;
    });
  }

  options options_;
  instant boot_time_;
  std::uint32_t window_ = kFirstWindow;
  /** Tickets of windows up to this one are no longer accepted, regardless of their age. */
  std::uint32_t last_closed_window_ = 0;
  std::map<std::uint32_t, claims_of_window> windows_;
  std::size_t tickets_ = 0;
  /** Ordered by completion; the first answer is the oldest. */
  std::map<std::uint64_t, stored_answer> answers_;
  std::uint64_t last_answer_key_ = 0;
  std::size_t answer_bytes_ = 0;
};

//==============================================================================
claim_registry::claim_registry(options settings, instant now)
    : state_(std::make_unique<state>(settings, now)) {}

claim_registry::claim_registry(const claim_registry& other)
    : state_(std::make_unique<state>(*other.state_)) {}

claim_registry::claim_registry(claim_registry&& other) noexcept = default;

claim_registry& claim_registry::operator=(const claim_registry& other) {
  return *this = claim_registry(other);
}

claim_registry& claim_registry::operator=(claim_registry&& other) noexcept = default;

claim_registry::~claim_registry() = default;

//==============================================================================
std::uint32_t claim_registry::CurrentWindow(instant now) { return state_->AdvanceWindow(now); }

claim_report claim_registry::Begin(const claim_id& claim, instant now) {
  state_->AdvanceWindow(now);
  return state_->Begin(claim);
}

claim_report claim_registry::Refuse(const claim_id& claim, result_code code, instant now) {
  const claim_report report = Begin(claim, now);
  if (report.state != claim_state::kNeverSeen) {
    return report;
  }
  state_->MarkNotRun(claim, code);
  return state_->Query(claim);
}

bool claim_registry::HandOver(const claim_id& claim, instant now) {
  state_->AdvanceWindow(now);
  return state_->HandOver(claim);
}

void claim_registry::MarkNotRun(const claim_id& claim, result_code code, instant now) {
  state_->AdvanceWindow(now);
  state_->MarkNotRun(claim, code);
}

void claim_registry::Complete(const claim_id& claim, std::string answer, instant now) {
  state_->AdvanceWindow(now);
  state_->Complete(claim, std::move(answer));
}

void claim_registry::MarkAborted(const claim_id& claim, result_code code, instant now) {
  state_->AdvanceWindow(now);
  state_->MarkAborted(claim, code);
}

void claim_registry::MarkAborted(const claim_id& claim, instant now) {
  MarkAborted(claim, result_code::kBackendFailed, now);
}

claim_report claim_registry::Query(const claim_id& claim, instant now) {
  state_->AdvanceWindow(now);
  return state_->Query(claim);
}

claim_report claim_registry::Revoke(const claim_id& claim, instant now) {
  state_->AdvanceWindow(now);
  return state_->Revoke(claim);
}

//==============================================================================
std::size_t claim_registry::tickets() const { return state_->tickets(); }

std::size_t claim_registry::answer_bytes() const { return state_->answer_bytes(); }

}  // namespace cuminferry
