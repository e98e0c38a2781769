#include "cuminferry_relay/path/registration_controller.h"

#include <string>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/answer_check.h"
#include "cuminferry_relay/path/outbound_call.h"

namespace cuminferry {
namespace {

// Queries that wait for one probe. Each node sends a query a second for an instance.
constexpr std::size_t kMaxWaitingQueries = 8'192;

}  // namespace

registration_controller::registration_controller(relay_board& node,
                                                 std::function<void()> on_leaving)
    : node_(node),
      on_leaving_(std::move(on_leaving)),
      check_(node.settings.drain),
      probe_(
          node.loop, node.settings.backend,
          [this](const health_probe::answer* answer) { OnProbeEnd(answer); },
          [this](const invalid_answer& invalid) { node_.OnInvalidAnswer("health", invalid); }) {}

//==============================================================================
void registration_controller::OnInstancesChanged() {
  check_.SetDrainTime(node_.settings.drain);
  const service_instance* own = node_.OwnInstance();
  const bool was_listed = check_.is_listed();
  const instant now = node_.loop.Now();
  const bool was_draining = check_.StateOf(check_.id(), now) == registration_state::kLeaving;
  const auto unlisted_since = own == nullptr ? std::nullopt : node_.unlisted_since(own->id);
  if (own == nullptr || unlisted_since) {
    check_.OnUnlisted(now, unlisted_since);
  } else if (own->draining) {
    check_.OnListedAsDraining(own->id, own->started_millis);
  } else {
    check_.OnListed(own->id, own->started_millis);
  }
  if (!is_on()) {
    return;
  }
  if (was_listed && !check_.is_listed()) {
    unlisted_at_ = now;
    node_.log.LogChange("registration.unlisted",
                        {{"target", check_.id()},
                         {"run", check_.started_millis()},
                         {"state", ToText(check_.StateOf(check_.id(), now))}});
  } else if (!was_listed && check_.is_listed() && unlisted_at_ != instant{}) {
    node_.log.LogChange("registration.listed", {{"target", check_.id()},
                                                {"run", check_.started_millis()},
                                                {"after_us", (now - unlisted_at_).count()}});
  }
  Update(was_draining ? "draining" : "answers");
  ProbeIfDue();
}

void registration_controller::OnNotice(std::string_view instance, const unlisted_notice& notice) {
  const instant now = node_.loop.Now();
  check_.OnCaller(instance, notice.started_millis, now - notice.unlisted_for, now);
}

void registration_controller::OnRequest(std::string_view instance,
                                        const std::optional<unlisted_notice>& notice) {
  if (notice && !instance.empty()) {
    OnNotice(instance, *notice);
  } else {
    check_.OnRequest(node_.loop.Now());
  }
  if (!check_.is_listed()) {
    Update("caller");
    ProbeIfDue();
  }
}

// A damaged answer, and that of another instance, say nothing about this one.
void registration_controller::OnAnswer(const http_head& answer, std::string_view instance,
                                       instant sent_at,
                                       const std::optional<relay_outcome>& rejection) {
  if (rejection == relay_outcome::kOtherInstance || rejection == relay_outcome::kDamaged ||
      answer.Find(node_.settings.headers.request_id) == nullptr) {
    return;
  }
  check_.OnAnswer(instance, answer.AnnouncesClose(), sent_at, node_.loop.Now());
  Update("answers");
}

void registration_controller::OnProbeEnd(const health_probe::answer* answer) {
  if (answer != nullptr) {
    check_.OnHealth(answer->FindId(check_.NamedIds()), answer->head.status == http_status::kOk,
                    answer->head.AnnouncesClose(), answer->sent_at, node_.loop.Now());
    Update("health");
  }
  for (const waiting_query& waiting : std::exchange(waiting_queries_, {})) {
    Reply(*waiting.peer, waiting.query);
  }
}

void registration_controller::ProbeIfDue() {
  const instant now = node_.loop.Now();
  if (!is_on() || probe_.is_under_way() || !check_.IsProbeDue(now) || node_.table() == nullptr) {
    return;
  }
  const routed_service* service = node_.table()->FindService(node_.settings.service);
  if (service != nullptr && !service->health_path.empty()) {
    check_.OnProbeSent(now);
    probe_.Send(service->health_path);
  }
}

void registration_controller::Step() {
  check_.SetDrainTime(node_.settings.drain);
  ProbeIfDue();
  // The own list retains the instance for as long as other nodes do.
  if (is_on() && !check_.is_listed() &&
      check_.StateOf(check_.id(), node_.loop.Now()) == registration_state::kServing) {
    node_.on_instance_confirmed(check_.id(), check_.started_millis());
  }
}

void registration_controller::Update(std::string_view cause) {
  if (!is_on()) {
    return;
  }
  const bool is_leaving = !check_.is_listed() && check_.StateOf(check_.id(), node_.loop.Now()) ==
                                                     registration_state::kLeaving;
  if (is_leaving && !std::exchange(is_leaving_logged_, true)) {
    node_.log.LogChange(
        "registration.leaving",
        {{"target", check_.id()}, {"run", check_.started_millis()}, {"cause", cause}});
    on_leaving_();
  }
  is_leaving_logged_ = is_leaving;
}

//==============================================================================
bool registration_controller::IsJustRemoved() const {
  return may_refuse() && unlisted_at_ != instant{} &&
         node_.loop.Now() - unlisted_at_ < node_.settings.drain;
}

bool registration_controller::Decides(std::string_view instance) const {
  return is_on() && !check_.is_listed() && !instance.empty() && instance == check_.id();
}

std::optional<relay_outcome> registration_controller::RefusalOf(
    std::string_view instance, const std::optional<unlisted_notice>& notice) const {
  const instant now = node_.loop.Now();
  if (Decides(instance)) {
    if (check_.StateOf(instance, now) == registration_state::kLeaving) {
      return relay_outcome::kLeaving;
    }
    return check_.Accepts(instance, now) ? std::nullopt
                                         : std::optional(relay_outcome::kUnconfirmed);
  }
  if (!is_on() || !notice || instance.empty() || instance == check_.id()) {
    return std::nullopt;
  }
  return check_.IsAnotherHere(instance, notice->started_millis, now) ? relay_outcome::kLeaving
                                                                     : relay_outcome::kUnconfirmed;
}

std::string_view registration_controller::TextFor(const registration_query& query) const {
  const instant now = node_.loop.Now();
  if (node_.refuses_runs || node_.HasDeclaredLeaving(query.instance)) {
    return kLeavingReply;
  }
  switch (check_.StateOf(query.instance, now)) {
    case registration_state::kListed:
    case registration_state::kServing:
      return kServingReply;
    case registration_state::kLeaving:
      return kLeavingReply;
    case registration_state::kUndecided:
      break;
  }
  return check_.IsAnotherHere(query.instance, query.notice.started_millis, now) ? kOtherReply
                                                                                : kUndecidedReply;
}

void registration_controller::Reply(server_exchange& peer, const registration_query& query) const {
  if (!peer.client_gone()) {
    peer.Answer(MakeAnswer(http_status::kOk), TextFor(query));
  }
}

void registration_controller::OnQuery(std::shared_ptr<server_exchange> peer) {
  const auto query = registration_query::Parse(peer->request().target);
  if (!is_on() || !query) {
    peer->Answer(MakeAnswer(http_status::kBadRequest), "");
    return;
  }
  OnNotice(query->instance, query->notice);
  Update("caller");
  ProbeIfDue();
  if (TextFor(*query) == kUndecidedReply && probe_.is_under_way() &&
      waiting_queries_.size() < kMaxWaitingQueries) {
    waiting_queries_.push_back({.peer = std::move(peer), .query = *query});
    return;
  }
  Reply(*peer, *query);
}

void registration_controller::AddReport(std::string_view instance,
                                        const std::optional<unlisted_notice>& notice,
                                        http_head& answer) const {
  answer.Remove(kServingField);
  if (!is_on() || !notice || node_.refuses_runs || node_.HasDeclaredLeaving(instance)) {
    return;
  }
  const registration_state state = check_.StateOf(instance, node_.loop.Now());
  if (state == registration_state::kListed || state == registration_state::kServing) {
    answer.Set(kServingField, std::to_string(check_.started_millis()));
  }
}

void registration_controller::SetGauges(relay_metrics& metrics) const {
  if (is_on()) {
    const registration_state state = check_.StateOf(check_.id(), node_.loop.Now());
    metrics.SetGauge("cuminferry_registration_state", static_cast<double>(state));
  }
}

}  // namespace cuminferry
