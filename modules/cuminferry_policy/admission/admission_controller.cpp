#include "cuminferry_policy/admission/admission_controller.h"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace cuminferry {

class admission_controller::state {
 public:
  explicit state(options chosen) : options_(std::move(chosen)) {}

  void Offer(const offered_call& call, admission_actions& out) {
    if (draining_) {
      out.refuse.push_back({call.key, result_code::kRefusedDraining, std::chrono::milliseconds(0)});
      return;
    }
    if (running_.size() < options_.slots) {
      running_.emplace(call.key, call);
      out.start.push_back(call.key);
      return;
    }
    if (queue_.size() >= options_.queue_bound) {
      out.refuse.push_back(
          {call.key, result_code::kRefusedOverload, std::chrono::milliseconds(100)});
      return;
    }
    queue_.push_back(call);
  }

  void Abandon(call_key key, admission_actions& out) {
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const offered_call& call) { return call.key == key; });
    if (found != queue_.end()) {
      queue_.erase(found);
      out.refuse.push_back({key, result_code::kCallerGone, std::chrono::milliseconds(0)});
    }
  }

  void Finish(call_key key, admission_actions& out) {
    running_.erase(key);
    StartQueued(out);
  }

  void Tick(instant now, admission_actions& out) {
    std::erase_if(queue_, [&](const offered_call& call) {
      if (call.deadline > now) {
        return false;
      }
      out.refuse.push_back(
          {call.key, result_code::kDeadlineExceeded, std::chrono::milliseconds(0)});
      return true;
    });
    StartQueued(out);
  }

  void Drain(admission_actions& out) {
    draining_ = true;
    for (const offered_call& call : queue_) {
      out.refuse.push_back({call.key, result_code::kRefusedDraining, std::chrono::milliseconds(0)});
    }
    queue_.clear();
  }

  std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(queue_.size()); }
  std::uint32_t limit() const { return options_.slots; }

 private:
  void StartQueued(admission_actions& out) {
    while (!queue_.empty() && running_.size() < options_.slots) {
      running_.emplace(queue_.front().key, queue_.front());
      out.start.push_back(queue_.front().key);
      queue_.pop_front();
    }
  }

  options options_;
  bool draining_ = false;
  absl::flat_hash_map<call_key, offered_call> running_;
  std::deque<offered_call> queue_;
};

admission_controller::admission_controller(options chosen)
    : state_(std::make_unique<state>(std::move(chosen))) {}
admission_controller::~admission_controller() = default;
admission_controller::admission_controller(admission_controller&&) noexcept = default;
admission_controller& admission_controller::operator=(admission_controller&&) noexcept = default;

void admission_controller::UseTable(const table_shard& /*shard*/, instant /*now*/) {}
void admission_controller::SetRowShare(std::uint32_t /*row*/, std::uint32_t /*most_running*/) {}
void admission_controller::ReportBackendCap(std::uint32_t /*most_running*/, instant /*now*/) {}

void admission_controller::Offer(const offered_call& call, instant /*now*/,
                                 admission_actions& out) {
  state_->Offer(call, out);
}

void admission_controller::Abandon(call_key key, instant /*now*/, admission_actions& out) {
  state_->Abandon(key, out);
}

void admission_controller::BeginWait(call_key /*key*/, instant /*now*/,
                                     admission_actions& /*out*/) {}
void admission_controller::EndWait(call_key /*key*/, instant /*now*/, admission_actions& /*out*/) {}

void admission_controller::Finish(call_key key, run_result /*result*/, instant /*now*/,
                                  admission_actions& out) {
  state_->Finish(key, out);
}

void admission_controller::Tick(instant now, admission_actions& out) { state_->Tick(now, out); }

void admission_controller::Drain(instant /*now*/, admission_actions& out) { state_->Drain(out); }

void admission_controller::LearnThreshold(std::uint32_t /*caller_row*/,
                                          std::string_view /*callee_service*/,
                                          std::string_view /*callee_row*/, call_rank /*threshold*/,
                                          instant /*now*/) {}

call_rank admission_controller::ThresholdOf(std::uint32_t /*row*/, instant /*now*/) const {
  return {};
}

std::uint32_t admission_controller::running() const { return state_->running(); }
std::uint32_t admission_controller::queued() const { return state_->queued(); }
std::uint32_t admission_controller::limit() const { return state_->limit(); }

}  // namespace cuminferry
