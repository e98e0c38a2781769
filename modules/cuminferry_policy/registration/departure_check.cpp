#include "cuminferry_policy/registration/departure_check.h"

#include <algorithm>

namespace cuminferry {

std::string_view ToText(registration_state state) {
  switch (state) {
    case registration_state::kListed:
      return "listed";
    case registration_state::kServing:
      return "serving";
    case registration_state::kUndecided:
      return "undecided";
    case registration_state::kLeaving:
      return "leaving";
  }
  return "";
}

void departure_check::BeginRun(std::string_view id, std::int64_t started_millis) {
  id_ = id;
  started_millis_ = started_millis;
  is_leaving_ = false;
  removed_at_.reset();
  reported_removed_at_.reset();
  request_evidence_.reset();
  probe_evidence_.reset();
  closing_answers_ = 0;
}

//==============================================================================
void departure_check::OnListedRun(std::string_view id, std::int64_t started_millis) {
  if (id != id_ || started_millis != started_millis_) {
    BeginRun(id, started_millis);
  }
  is_listed_ = true;
  removed_at_.reset();
  named_runs_.clear();
}

void departure_check::OnListed(std::string_view id, std::int64_t started_millis) {
  OnListedRun(id, started_millis);
  is_leaving_ = false;
}

void departure_check::OnListedAsDraining(std::string_view id, std::int64_t started_millis) {
  OnListedRun(id, started_millis);
  is_leaving_ = true;
}

void departure_check::OnUnlisted(instant now, const std::optional<instant>& removed_at) {
  if (!is_listed_) {
    return;
  }
  is_listed_ = false;
  interest_at_ = now;
  removed_at_ = std::min(now, removed_at.value_or(now));
  if (reported_removed_at_ && now - reported_at_ <= kInterestTime) {
    removed_at_ = std::min(*removed_at_, *reported_removed_at_);
  }
  reported_removed_at_.reset();
  if (now - closed_at_ > kClosingAnswerTime) {
    closing_answers_ = 0;
  }
  is_leaving_ = is_leaving_ || closing_answers_ >= kClosingAnswers;
}

void departure_check::OnCaller(std::string_view id, std::int64_t started_millis, instant removed_at,
                               instant now) {
  interest_at_ = now;
  removed_at = std::min(removed_at, now);
  if (id != id_) {
    AddNamedRun(id, started_millis);
    return;
  }
  if (is_listed_) {
    // The caller may be ahead of this node, or behind it.
    const bool is_recent = reported_removed_at_ && now - reported_at_ <= kInterestTime;
    reported_removed_at_ = is_recent ? std::min(*reported_removed_at_, removed_at) : removed_at;
    reported_at_ = now;
    return;
  }
  if (started_millis > started_millis_) {
    if (started_millis_ == 0) {
      started_millis_ = started_millis;
    } else {
      BeginRun(id, started_millis);
    }
  }
  if (removed_at_) {
    removed_at_ = std::min(*removed_at_, removed_at);
  }
}

void departure_check::OnAnswer(std::string_view id, bool closes, instant sent_at, instant now) {
  if (id.empty() || id != id_) {
    return;
  }
  if (!closes) {
    closing_answers_ = 0;
    request_evidence_ = std::max(request_evidence_.value_or(sent_at), sent_at);
    return;
  }
  if (now - closed_at_ > kClosingAnswerTime) {
    closing_answers_ = 0;
  }
  ++closing_answers_;
  closed_at_ = now;
  if (!is_listed_ && closing_answers_ >= kClosingAnswers) {
    is_leaving_ = true;
  }
}

void departure_check::OnHealth(std::string_view id, bool healthy, bool closes, instant sent_at,
                               instant now) {
  if (is_listed_) {
    return;
  }
  const bool is_other = !id.empty() && id != id_;
  const bool says_leaving = !healthy && closes;
  const bool says_serving = healthy && !closes && !id.empty();
  if ((!says_leaving && !says_serving) || (is_other && !AdoptNamedRun(id))) {
    return;
  }
  if (says_serving) {
    probe_evidence_ = std::max(probe_evidence_.value_or(sent_at), sent_at);
  } else if (!id_.empty() && !HasRequestEvidence(now)) {
    is_leaving_ = true;
  }
}

//==============================================================================
void departure_check::AddNamedRun(std::string_view id, std::int64_t started_millis) {
  if (is_listed_ || id.empty()) {
    return;
  }
  const auto known = std::ranges::find(named_runs_, id, &named_run::id);
  if (known != named_runs_.end()) {
    known->started_millis = std::max(known->started_millis, started_millis);
    return;
  }
  if (named_runs_.size() >= kMaxNamedRuns) {
    named_runs_.erase(named_runs_.begin());
  }
  named_runs_.push_back({.id = std::string(id), .started_millis = started_millis});
}

// The backend server itself says that it is this instance, which callers have named.
bool departure_check::AdoptNamedRun(std::string_view id) {
  const auto known = std::ranges::find(named_runs_, id, &named_run::id);
  if (known == named_runs_.end()) {
    return false;
  }
  const named_run taken = *known;
  named_runs_.erase(known);
  BeginRun(taken.id, taken.started_millis);
  return true;
}

bool departure_check::HasRequestEvidence(instant now) const {
  return request_evidence_ && now - *request_evidence_ <= kEvidenceTime;
}

registration_state departure_check::StateOf(std::string_view id, instant now) const {
  if (id.empty() || id != id_) {
    return registration_state::kUndecided;
  }
  if (is_leaving_) {
    return registration_state::kLeaving;
  }
  if (is_listed_) {
    return registration_state::kListed;
  }
  const bool has_probe_evidence = probe_evidence_ && now - *probe_evidence_ <= kEvidenceTime;
  return HasRequestEvidence(now) || has_probe_evidence ? registration_state::kServing
                                                       : registration_state::kUndecided;
}

bool departure_check::Accepts(std::string_view id, instant now) const {
  switch (StateOf(id, now)) {
    case registration_state::kListed:
    case registration_state::kServing:
      return true;
    case registration_state::kLeaving:
      return false;
    case registration_state::kUndecided:
      break;
  }
  const duration accepted_for(
      static_cast<duration::rep>(kUndecidedShare * static_cast<double>(drain_.count())));
  return id == id_ && removed_at_ && now - *removed_at_ < accepted_for;
}

bool departure_check::IsAnotherHere(std::string_view id, std::int64_t started_millis,
                                    instant now) const {
  if (id == id_) {
    return false;
  }
  switch (StateOf(id_, now)) {
    case registration_state::kServing:
      return true;
    case registration_state::kListed:
      // A caller that names a later run is ahead of the list here.
      return started_millis <= started_millis_;
    case registration_state::kUndecided:
    case registration_state::kLeaving:
      break;
  }
  return false;
}

bool departure_check::IsProbeDue(instant now) const {
  const auto is_within = [now](const std::optional<instant>& event, duration span) {
    return event && now - *event < span;
  };
  // Callers that name another id may know the successor of a backend server that has left.
  const bool is_in_question = (!id_.empty() && !is_leaving_) || !named_runs_.empty();
  return !is_listed_ && is_in_question && is_within(interest_at_, kInterestTime) &&
         !is_within(request_evidence_, kProbeInterval) &&
         !is_within(probe_evidence_, kProbeInterval) && !is_within(probed_at_, kProbeRetryInterval);
}

std::vector<std::string> departure_check::NamedIds() const {
  std::vector<std::string> ids;
  if (!id_.empty()) {
    ids.push_back(id_);
  }
  for (const named_run& named : named_runs_) {
    ids.push_back(named.id);
  }
  return ids;
}

}  // namespace cuminferry
