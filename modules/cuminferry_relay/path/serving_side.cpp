#include "cuminferry_relay/path/serving_side.h"

#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/serving_call.h"

namespace cuminferry {

struct serving_side::state {
  serving_board board;
  std::uint64_t last_id = 0;

  explicit state(relay_board& node) : board(node) {}
};

serving_side::serving_side(relay_board& board) : state_(std::make_unique<state>(board)) {}

serving_side::~serving_side() = default;

void serving_side::OnRequest(std::shared_ptr<server_exchange> peer) {
  const std::string* field = peer->request().Find(kCallField);
  const auto about = field == nullptr ? std::nullopt : call_header::Parse(*field);
  if (!about) {
    peer->Answer(MakeAnswer(http_status::kBadRequest), "");
    return;
  }
  const std::uint64_t id = ++state_->last_id;
  auto made = std::make_shared<serving_call>(state_->board, id, std::move(peer), *about);
  state_->board.calls.emplace(id, made);
  made->Begin();
}

void serving_side::OnBoardChanged() {
  const std::uint32_t slots = state_->board.node.own_slots();
  if (slots > 0) {
    state_->board.gate.SetSlots(slots);
    state_->board.StartWaiting();
  }
}

std::size_t serving_side::in_progress() const { return state_->board.calls.size(); }

void serving_side::ReportTo(relay_metrics& metrics) const {
  const serving_board& board = state_->board;
  metrics.SetGauge("cuminferry_level", board.level.share());
  metrics.SetGauge("cuminferry_slots_running", board.gate.running());
  metrics.SetGauge("cuminferry_slots_limit", board.gate.limit());
  metrics.SetGauge("cuminferry_queue", board.gate.waiting());
  const row_causes& causes = board.node.causes;
  for (const std::string& row : causes.rows()) {
    metrics.SetGauge("cuminferry_limit_known", {{"row", row}}, causes.IsKnown(row) ? 1.0 : 0.0);
    for (const std::string& called : causes.called_rows()) {
      metrics.SetGauge("cuminferry_calls_per_run", {{"row", row}, {"called", called}},
                       causes.CallsPerRun(row, called));
    }
  }
}

}  // namespace cuminferry
