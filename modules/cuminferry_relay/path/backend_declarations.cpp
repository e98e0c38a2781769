#include "cuminferry_relay/path/backend_declarations.h"

#include <utility>

namespace cuminferry {
namespace {

// Shown by the gauge where no rate is declared; zero is a rate.
constexpr double kNoRate = -1.0;

}  // namespace

// A damaged answer, and that of another instance, say nothing about this one.
bool backend_declarations::IsOwnAnswer(const http_head& answer,
                                       const std::optional<relay_outcome>& rejection) const {
  return rejection != relay_outcome::kOtherInstance && rejection != relay_outcome::kDamaged &&
         answer.Find(node_.settings.headers.request_id) != nullptr;
}

void backend_declarations::OnAnswer(const http_head& answer, std::string_view instance,
                                    instant sent_at,
                                    const std::optional<relay_outcome>& rejection) {
  if (!IsOwnAnswer(answer, rejection)) {
    return;
  }
  const backend_declaration declared =
      backend_declaration::ReadFrom(answer, node_.settings.headers);
  const instant now = node_.loop.Now();
  if (!declared.error.ok()) {
    OnError(declared.error);
  }
  bool is_changed = false;
  if (declared.rate) {
    is_changed = rate_.OnDeclared(instance, *declared.rate, now);
    has_logged_error_ = false;
  } else if (declared.error.ok() && !rejection) {
    is_changed = rate_.OnNotDeclared(instance, sent_at);
  }
  if (is_changed) {
    node_.log.LogChange("backend.declared",
                        {{"target", instance}, {"rate", declared.rate.value_or(kNoRate)}});
  }
}

void backend_declarations::OnError(const absl::Status& error) {
  node_.metrics.OnBadDeclaration();
  if (!std::exchange(has_logged_error_, true)) {
    node_.log.LogChange("backend.declaration_refused", {{"error", std::string(error.message())}});
  }
}

void backend_declarations::SetGauges(relay_metrics& metrics) const {
  const auto belief = rate_.BeliefAt(node_.loop.Now());
  metrics.SetGauge("cuminferry_declared_rate", belief ? belief->rate : kNoRate);
}

}  // namespace cuminferry
