#include "cuminferry_relay/io/tcp_connection.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "cuminferry_relay/io/socket_options.h"

namespace cuminferry {
namespace {

// Large enough for the largest burst that the window of a link permits.
constexpr std::size_t kReadBufferBytes = 64 * 1024;
// Writes of one loop iteration are combined until they reach this size.
constexpr std::size_t kMaxBatchBytes = 16 * 1024;

std::array<char, kReadBufferBytes>& ReadBuffer() {
  // One buffer for each thread is enough, because a loop passes on the bytes it has read before it
  // reads again.
  thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

}  // namespace

struct tcp_connection::state {
  event_loop* loop = nullptr;
  uv_tcp_t handle{};
  uv_connect_t connect{};
  uv_timer_t connect_timer{};
  uv_shutdown_t shutdown{};
  // The pointer is shared, because a hook that replaces the hooks or destroys the connection would
  // otherwise destroy itself while it runs.
  std::shared_ptr<const hooks> callbacks = std::make_shared<const hooks>();
  duration silence_timeout{};
  std::size_t unsent_bytes = 0;
  int open_handles = 1;
  bool connecting = false;
  bool connected = false;
  bool reading = false;
  bool close_reported = false;
  bool closing = false;
  bool has_timer = false;
  bool reset_on_close = false;
  bool resets_unless_finished = false;
  // A write or shutdown has failed. The kernel reports an error of a connection once, so that a
  // read may find nothing but an end after it.
  bool has_failed = false;
  // Bytes that were written before the connection was established.
  std::string unsent_before_connect;
  // Bytes that were written in this iteration of the loop.
  std::string batch;

  struct write_request {
    uv_write_t request{};
    std::string bytes;
    state* owner = nullptr;
  };

  void ReportClosed(close_reason end) {
    if (close_reported || closing) {
      return;
    }
    close_reported = true;
    uv_read_stop(Stream());
    const auto hooks = callbacks;
    if (hooks->on_end) {
      hooks->on_end(end);
    }
  }

  // libuv reports an end of the stream for a reset connection, too: where a hang-up is pending with
  // the last bytes it doesn't read on, and where a write took the error there is none left to read.
  close_reason ReasonOfEnd() const {
    return !has_failed && ReadsOrderlyEnd(handle) ? close_reason::kClosed
                                                  : close_reason::kConnectionLost;
  }

  uv_stream_t* Stream() { return reinterpret_cast<uv_stream_t*>(&handle); }

  static void OnHandleClosed(state* self) {
    if (--self->open_handles == 0) {
      delete self;
    }
  }

  void StopConnectTimer() {
    if (!has_timer) {
      return;
    }
    has_timer = false;
    uv_close(reinterpret_cast<uv_handle_t*>(&connect_timer),
             [](uv_handle_t* timer) { OnHandleClosed(static_cast<state*>(timer->data)); });
  }

  void Close() {
    if (closing) {
      return;
    }
    SendBatch();
    closing = true;
    StopConnectTimer();
    const auto on_closed = [](uv_handle_t* tcp) { OnHandleClosed(static_cast<state*>(tcp->data)); };
    if (reset_on_close && connected && uv_tcp_close_reset(&handle, on_closed) == 0) {
      return;
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&handle), on_closed);
  }

  void StartReading() {
    if (reading || close_reported || closing) {
      return;
    }
    reading = true;
    uv_read_start(
        Stream(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          buffer->base = ReadBuffer().data();
          buffer->len = kReadBufferBytes;
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
          auto* self = static_cast<state*>(stream->data);
          if (count == 0 || self->closing) {
            return;
          }
          if (count < 0) {
            self->ReportClosed(count == UV_EOF ? self->ReasonOfEnd()
                                               : close_reason::kConnectionLost);
            return;
          }
          const auto hooks = self->callbacks;
          if (hooks->on_data) {
            hooks->on_data({buffer->base, static_cast<std::size_t>(count)});
          }
        });
  }

  void OnConnected(int status) {
    connecting = false;
    StopConnectTimer();
    if (closing || close_reported) {
      return;
    }
    if (status != 0) {
      ReportClosed(close_reason::kNotConnected);
      return;
    }
    connected = true;
    EnableSilenceDetection(handle, silence_timeout);
    StartReading();
    std::string waiting;
    waiting.swap(unsent_before_connect);
    unsent_bytes -= waiting.size();
    const bool was_above_low_water = waiting.size() > kLowWater;
    if (!waiting.empty()) {
      Write(waiting);
    }
    const auto hooks = callbacks;
    if (hooks->on_connected) {
      hooks->on_connected();
    }
    // What was written early may have gone out at once: a producer that paused
    // for it would wait for ever.
    if (was_above_low_water && unsent_bytes <= kLowWater && !closing && hooks->on_writable) {
      hooks->on_writable();
    }
  }

  void Write(std::string_view bytes) {
    if (closing || close_reported || bytes.empty()) {
      return;
    }
    if (connecting) {
      unsent_before_connect.append(bytes);
      unsent_bytes += bytes.size();
      return;
    }
    if (batch.empty()) {
      // This state is deleted only after the iteration in which it is closed, so `this` stays
      // valid.
      loop->RunAtEndOfIteration([this] { SendBatch(); });
    }
    batch.append(bytes);
    if (batch.size() >= kMaxBatchBytes) {
      SendBatch();
    }
  }

  void SendBatch() {
    if (closing || close_reported || batch.empty()) {
      return;
    }
    const std::string pending = std::exchange(batch, {});
    std::string_view bytes = pending;
    if (unsent_bytes == 0) {
      uv_buf_t direct =
          uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
      const int accepted_bytes = uv_try_write(Stream(), &direct, 1);
      if (accepted_bytes > 0) {
        bytes.remove_prefix(static_cast<std::size_t>(accepted_bytes));
      } else if (accepted_bytes != UV_EAGAIN) {
        has_failed = true;
      }
    }
    if (!bytes.empty()) {
      QueueWrite(bytes);
    }
  }

  void QueueWrite(std::string_view bytes) {
    auto* queued = new write_request;
    queued->bytes = bytes;
    queued->owner = this;
    queued->request.data = queued;
    unsent_bytes += bytes.size();
    uv_buf_t buffer =
        uv_buf_init(queued->bytes.data(), static_cast<unsigned>(queued->bytes.size()));
    const int status =
        uv_write(&queued->request, Stream(), &buffer, 1, [](uv_write_t* request, int result) {
          std::unique_ptr<write_request> done(static_cast<write_request*>(request->data));
          done->owner->OnWritten(done->bytes.size(), result);
        });
    if (status != 0) {
      has_failed = true;
      unsent_bytes -= bytes.size();
      delete queued;
    }
  }

  void OnWritten(std::size_t size, int result) {
    const bool was_above_low_water = unsent_bytes > kLowWater;
    unsent_bytes -= size;
    if (closing) {
      return;
    }
    if (result < 0) {
      has_failed = true;
      ReportClosed(close_reason::kConnectionLost);
      return;
    }
    const auto hooks = callbacks;
    if (was_above_low_water && unsent_bytes <= kLowWater && hooks->on_writable) {
      hooks->on_writable();
    }
  }
};

std::unique_ptr<tcp_connection> tcp_connection::Connect(event_loop& loop, const endpoint& to,
                                                        duration connect_timeout,
                                                        duration silence_timeout, hooks hooks) {
  auto* new_state = new state;
  std::unique_ptr<tcp_connection> connection(new tcp_connection(new_state));
  connection->SetHooks(std::move(hooks));
  new_state->loop = &loop;
  new_state->silence_timeout = silence_timeout;
  uv_tcp_init(loop.raw(), &new_state->handle);
  new_state->handle.data = new_state;
  uv_tcp_nodelay(&new_state->handle, 1);
  uv_timer_init(loop.raw(), &new_state->connect_timer);
  new_state->connect_timer.data = new_state;
  new_state->open_handles = 2;
  new_state->has_timer = true;
  new_state->connecting = true;
  new_state->connect.data = new_state;
  const sockaddr_in address = ToSocketAddress(to);
  const int status = uv_tcp_connect(&new_state->connect, &new_state->handle,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    [](uv_connect_t* request, int result) {
                                      static_cast<state*>(request->data)->OnConnected(result);
                                    });
  // An immediate failure is reported from the loop, like a later one.
  const std::uint64_t limit =
      status != 0
          ? 0
          : static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(connect_timeout).count());
  uv_timer_start(
      &new_state->connect_timer,
      [](uv_timer_t* timer) {
        static_cast<state*>(timer->data)->ReportClosed(close_reason::kNotConnected);
      },
      limit, 0);
  return connection;
}

tcp_connection::~tcp_connection() { state_->Close(); }

void tcp_connection::SetHooks(hooks hooks) {
  state_->callbacks = std::make_shared<const tcp_connection::hooks>(std::move(hooks));
}
void tcp_connection::Write(std::string_view bytes) { state_->Write(bytes); }

void tcp_connection::FinishWriting() {
  if (state_->closing || state_->close_reported) {
    return;
  }
  state_->SendBatch();
  state_->shutdown.data = state_;
  const int status =
      uv_shutdown(&state_->shutdown, state_->Stream(), [](uv_shutdown_t* request, int result) {
        auto* self = static_cast<state*>(request->data);
        if (result != 0) {
          self->has_failed = true;
        } else if (!self->closing && self->resets_unless_finished) {
          SetResetWhenClosed(self->handle, false);
        }
      });
  state_->has_failed = state_->has_failed || status != 0;
}

void tcp_connection::PauseReading() {
  if (state_->reading && !state_->closing) {
    state_->reading = false;
    uv_read_stop(state_->Stream());
  }
}

void tcp_connection::ResumeReading() {
  if (!state_->connecting) {
    state_->StartReading();
  }
}

void tcp_connection::ResetOnClose() { state_->reset_on_close = true; }

void tcp_connection::ResetUnlessFinished() {
  state_->resets_unless_finished = true;
  SetResetWhenClosed(state_->handle, true);
}

std::size_t tcp_connection::unsent_bytes() const { return state_->unsent_bytes; }
bool tcp_connection::connected() const { return state_->connected && !state_->close_reported; }

bool tcp_connection::IsClosedByPeer() const {
  uv_os_fd_t socket = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&state_->handle), &socket) != 0) {
    return true;
  }
  pollfd polled{.fd = socket, .events = POLLRDHUP, .revents = 0};
  return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::unique_ptr<tcp_connection> tcp_connection::Accept(event_loop& loop, uv_stream_t* listening,
                                                       duration silence_timeout) {
  auto* new_state = new state;
  std::unique_ptr<tcp_connection> connection(new tcp_connection(new_state));
  new_state->loop = &loop;
  uv_tcp_init(loop.raw(), &new_state->handle);
  new_state->handle.data = new_state;
  if (uv_accept(listening, new_state->Stream()) != 0) {
    return nullptr;
  }
  new_state->connected = true;
  uv_tcp_nodelay(&new_state->handle, 1);
  EnableSilenceDetection(new_state->handle, silence_timeout);
  new_state->StartReading();
  return connection;
}

}  // namespace cuminferry
