#include "cuminferry_relay/path/declaration_controller.h"

#include <utility>

namespace cuminferry {
namespace {

// Shown by log and gauge where no rate is declared; zero is a rate.
constexpr double kNoRate = -1.0;
// A rate that each answer declares a little different would fill the log.
constexpr duration kMinLogInterval = std::chrono::seconds(1);

}  // namespace

// A damaged answer, and that of another instance, say nothing about this one.
bool declaration_controller::IsOwnAnswer(const http_head& answer,
                                         const std::optional<relay_outcome>& rejection) const {
  return rejection != relay_outcome::kOtherInstance && rejection != relay_outcome::kDamaged &&
         answer.Find(node_.settings.headers.request_id) != nullptr;
}

void declaration_controller::OnAnswer(const http_head& answer, std::string_view instance,
                                      instant sent_at,
                                      const std::optional<relay_outcome>& rejection) {
  if (!IsOwnAnswer(answer, rejection)) {
    return;
  }
  const backend_declaration declared =
      backend_declaration::ReadFrom(answer, node_.settings.headers);
  if (!declared.error.ok()) {
    OnError(declared.error);
  }
  if (declared.leaving &&
      node_.OnDeclaredLeaving(node_.settings.service, instance, node_.RunOf(instance))) {
    node_.log.LogChange("backend.leaving", {{"target", instance}});
    on_leaving_();
  }
  bool is_changed = false;
  if (declared.rate) {
    is_changed = rate_.OnDeclared(instance, *declared.rate, node_.loop.Now());
    has_logged_error_ = false;
  } else if (declared.error.ok() && !rejection) {
    is_changed = rate_.OnNotDeclared(instance, sent_at);
  }
  UpdatePace();
  if (is_changed) {
    OnRateChanged(instance, "answer");
  }
}

// What was declared by an earlier run of the backend server doesn't count.
void declaration_controller::OnRequest(std::string_view instance, const rate_request& told) {
  const bool is_listed = instance == listed_id_ && listed_started_millis_ != 0;
  if (!told.declared || (is_listed && told.started_millis != listed_started_millis_)) {
    return;
  }
  if (rate_.OnBelief(instance, *told.declared, node_.loop.Now())) {
    OnRateChanged(instance, "calling_node");
  }
}

void declaration_controller::OnInstancesChanged() {
  const service_instance* own = node_.OwnInstance();
  if (own == nullptr) {
    return;
  }
  const bool is_another_run =
      own->id != listed_id_ || own->started_millis != listed_started_millis_;
  const bool had_another = !listed_id_.empty();
  listed_id_ = own->id;
  listed_started_millis_ = own->started_millis;
  if (is_another_run && had_another && rate()) {
    rate_.Forget();
    OnRateChanged(own->id, "other_run");
  }
}

void declaration_controller::OnRateChanged(std::string_view instance, std::string_view source) {
  UpdatePace();
  const auto belief = rate();
  const instant now = node_.loop.Now();
  const bool has_begun_or_ended = belief.has_value() != was_rate_logged_;
  if (!has_begun_or_ended && now - rate_logged_at_ < kMinLogInterval) {
    return;
  }
  was_rate_logged_ = belief.has_value();
  rate_logged_at_ = now;
  node_.log.LogChange("backend.declared", {{"target", instance},
                                           {"rate", belief ? belief->rate : kNoRate},
                                           {"age_us", belief ? belief->age.count() : 0},
                                           {"from", source}});
}

void declaration_controller::UpdatePace() {
  const instant now = node_.loop.Now();
  gate_.SetRate(rate_.PacedRateAt(now), now);
}

void declaration_controller::OnError(const absl::Status& error) {
  node_.metrics.OnBadDeclaration();
  if (!std::exchange(has_logged_error_, true)) {
    node_.log.LogChange("backend.declaration_refused", {{"error", std::string(error.message())}});
  }
}

void declaration_controller::Step(duration wait) {
  rate_.Step(wait, node_.loop.Now());
  if (!rate() && gate_.has_rate()) {
    // No answer has confirmed it for too long.
    OnRateChanged(listed_id_, "silence");
  }
  UpdatePace();
}

void declaration_controller::AddReport(std::string_view instance, http_head& answer) const {
  answer.Remove(kLeavingField);
  if (const auto run = node_.LeavingRunOf(instance)) {
    answer.Set(kLeavingField, std::to_string(*run));
  }
  answer.Remove(kRateField);
  if (const auto report = rate_.ReportAt(node_.loop.Now())) {
    answer.Set(kRateField, ToText(*report));
  }
}

void declaration_controller::SetGauges(relay_metrics& metrics) const {
  const auto belief = rate();
  metrics.SetGauge("cuminferry_declared_rate", belief ? belief->rate : kNoRate);
  metrics.SetGauge("cuminferry_declared_rate_age_seconds", belief ? ToSeconds(belief->age) : 0.0);
  metrics.SetGauge("cuminferry_declared_rate_level", admitted_share());
  metrics.SetGauge("cuminferry_targets_declared_leaving",
                   static_cast<double>(node_.declared_leaving_count()));
}

}  // namespace cuminferry
