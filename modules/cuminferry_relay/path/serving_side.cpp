#include "cuminferry_relay/path/serving_side.h"

#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/serving_call.h"

namespace cuminferry {

struct serving_side::state {
  serving_context context;
  std::uint64_t last_id = 0;

  explicit state(relay_board& node) : context(node) {}
};

serving_side::serving_side(relay_board& board) : state_(std::make_unique<state>(board)) {}

serving_side::~serving_side() = default;

void serving_side::OnRequest(std::shared_ptr<server_exchange> peer) {
  const std::string* field = peer->request().Find(kCallField);
  const auto header = field == nullptr ? std::nullopt : call_header::Parse(*field);
  if (!header) {
    peer->Answer(MakeAnswer(http_status::kBadRequest), "");
    return;
  }
  const std::uint64_t id = ++state_->last_id;
  auto call = std::make_shared<serving_call>(state_->context, id, std::move(peer), *header);
  state_->context.calls.emplace(id, call);
  call->Begin();
}

void serving_side::OnRegistrationQuery(std::shared_ptr<server_exchange> peer) {
  state_->context.registration.OnQuery(std::move(peer));
}

void serving_side::OnPublishedItemsChanged() {
  state_->context.OnInstancesChanged();
  const std::uint32_t slots = state_->context.node.own_slots();
  if (slots > 0) {
    state_->context.gate.SetSlots(slots);
    state_->context.declarations.OnInstancesChanged();
    state_->context.StartWaiting();
    state_->context.gate.Displace(state_->context.node.loop.Now());
    state_->context.RefuseDisplaced();
  }
}

std::size_t serving_side::in_progress() const { return state_->context.calls.size(); }

void serving_side::SetGauges(relay_metrics& metrics) const {
  const serving_context& context = state_->context;
  context.declarations.SetGauges(metrics);
  context.registration.SetGauges(metrics);
  context.repeat_decisions.SetGauges(metrics);
  metrics.SetGauge("cuminferry_level", context.level.share());
  metrics.SetGauge("cuminferry_slots_running", context.gate.running());
  metrics.SetGauge("cuminferry_slots_limit", context.gate.limit());
  metrics.SetGauge("cuminferry_queue", context.gate.waiting());
  metrics.SetGauge("cuminferry_queue_waiting", {{"kind", "client"}},
                   context.gate.waiting() - context.gate.waiting_nested());
  metrics.SetGauge("cuminferry_queue_waiting", {{"kind", "nested"}}, context.gate.waiting_nested());
  const call_attribution& attribution = context.node.attribution;
  for (const std::string& row : attribution.rows()) {
    metrics.SetGauge("cuminferry_limit_known", {{"row", row}},
                     attribution.KnowsCallsOf(row) ? 1.0 : 0.0);
    for (const std::string& called : attribution.called_rows()) {
      metrics.SetGauge("cuminferry_calls_per_run", {{"row", row}, {"called", called}},
                       attribution.CallsPerRun(row, called));
    }
  }
}

}  // namespace cuminferry
