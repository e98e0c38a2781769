#include "cuminferry_relay/io/event_loop.h"

#include <utility>

namespace cuminferry {
namespace {

std::uint64_t ToTimerMillis(duration delay) {
  const auto micros = delay.count();
  return micros <= 0 ? 0 : static_cast<std::uint64_t>((micros + 999) / 1000);
}

}  // namespace

struct event_loop::signal_watch {
  uv_signal_t handle{};
  std::function<void()> hook;
};

event_loop::event_loop() {
  uv_loop_init(&loop_);
  uv_prepare_init(&loop_, &before_wait_);
  uv_check_init(&loop_, &after_wait_);
  before_wait_.data = this;
  after_wait_.data = this;
  uv_prepare_start(&before_wait_, [](uv_prepare_t* handle) {
    static_cast<event_loop*>(handle->data)->RunEndOfIterationHooks();
  });
  uv_check_start(&after_wait_, [](uv_check_t* handle) {
    static_cast<event_loop*>(handle->data)->RunEndOfIterationHooks();
  });
  // Unreferenced handles do not keep the loop running.
  uv_unref(reinterpret_cast<uv_handle_t*>(&before_wait_));
  uv_unref(reinterpret_cast<uv_handle_t*>(&after_wait_));
}

void event_loop::RunEndOfIterationHooks() {
  while (!end_of_iteration_hooks_.empty()) {
    std::vector<std::function<void()>> hooks;
    hooks.swap(end_of_iteration_hooks_);
    for (const auto& hook : hooks) {
      hook();
    }
  }
}

event_loop::~event_loop() {
  uv_close(reinterpret_cast<uv_handle_t*>(&before_wait_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&after_wait_), nullptr);
  for (const auto& watch : signals_) {
    uv_close(reinterpret_cast<uv_handle_t*>(&watch->handle), nullptr);
  }
  // One more iteration runs the close callbacks of the handles.
  uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
}

void event_loop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

void event_loop::Stop() { uv_stop(&loop_); }

void event_loop::OnSignal(int signal, std::function<void()> hook) {
  auto watch = std::make_unique<signal_watch>();
  watch->hook = std::move(hook);
  uv_signal_init(&loop_, &watch->handle);
  watch->handle.data = watch.get();
  uv_signal_start(
      &watch->handle,
      [](uv_signal_t* handle, int) { static_cast<signal_watch*>(handle->data)->hook(); }, signal);
  signals_.push_back(std::move(watch));
}

//==============================================================================
struct loop_timer::state {
  uv_timer_t handle{};
  std::function<void()> hook;
  bool periodic = false;
};

loop_timer::loop_timer(event_loop& loop) : state_(new state) {
  uv_timer_init(loop.raw(), &state_->handle);
  state_->handle.data = state_;
}

loop_timer::~loop_timer() {
  uv_timer_stop(&state_->handle);
  uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
           [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

void loop_timer::StartOnce(duration delay, std::function<void()> hook) {
  state_->hook = std::move(hook);
  state_->periodic = false;
  uv_timer_start(
      &state_->handle,
      [](uv_timer_t* handle) {
        // The hook is moved out first, because it may restart this timer or destroy it.
        auto hook = std::move(static_cast<state*>(handle->data)->hook);
        hook();
      },
      ToTimerMillis(delay), 0);
}

void loop_timer::StartPeriodic(duration period, std::function<void()> hook) {
  state_->hook = std::move(hook);
  state_->periodic = true;
  const std::uint64_t millis = std::max<std::uint64_t>(1, ToTimerMillis(period));
  uv_timer_start(
      &state_->handle, [](uv_timer_t* handle) { static_cast<state*>(handle->data)->hook(); },
      millis, millis);
}

void loop_timer::Stop() { uv_timer_stop(&state_->handle); }

}  // namespace cuminferry
