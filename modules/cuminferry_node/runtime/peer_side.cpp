#include "cuminferry_node/runtime/peer_side.h"

#include <map>
#include <utility>
#include <vector>

#include "cuminferry_node/runtime/body_pipe.h"

namespace cuminferry {
namespace {

/** Bytes of a long body that the sender may have on its way. */
constexpr std::uint64_t kBodyWindow = 256 * 1024;

// Names a call of another node: attempts are numbered by each connection's sender.
struct foreign_call {
  connection_id connection = 0;
  attempt_id attempt = 0;

  auto operator<=>(const foreign_call&) const = default;
};

struct open_call {
  call_key key = 0;
  std::shared_ptr<body_pipe> body;
};

}  // namespace

class peer_side::state {
 public:
  explicit state(serving_side& serving) : serving_(serving) {}

  void SetLinks(peer_links& links) { links_ = &links; }

  void OnCall(connection_id connection, call_message message) {
    const foreign_call from{connection, message.attempt};
    incoming_call call;
    call.request = message.request;
    call.method = std::move(message.method);
    call.target = std::move(message.target);
    call.headers = std::move(message.headers);
    call.body = std::move(message.body);
    call.deadline = boot_clock::Now() + duration(message.time_left_micros);
    call.rank = call_rank(message.rank);
    call.retries = message.retries_lent;
    call.claim = message.claim;
    std::shared_ptr<body_pipe> body;
    if (message.chunks_follow != 0) {
      body = std::make_shared<body_pipe>();
      call.more_body = PullHook(from, body);
    }
    {
      ranked_lock lock(mutex_);
      open_[from] = {0, body};
    }
    const call_key key = serving_.Begin(
        std::move(call), [this, from](reply_message reply) { OnEnd(from, std::move(reply)); });
    ranked_lock lock(mutex_);
    const auto found = open_.find(from);
    if (found != open_.end()) {
      found->second.key = key;
    }
  }

  void OnCancel(connection_id connection, attempt_id attempt) {
    CancelOne(Take({connection, attempt}));
  }

  void OnChunk(connection_id connection, body_chunk_message chunk) {
    const auto body = BodyOf({connection, chunk.attempt});
    if (body == nullptr) {
      return;
    }
    if (!chunk.bytes.empty() && !body->TryPush(std::move(chunk.bytes))) {
      // More than the credit that was given: the part that doesn't fit is lost,
      // so the body as a whole is.
      body->Fail();
    } else if (chunk.last != 0) {
      body->Finish();
    }
  }

  void OnLost(connection_id connection) {
    std::vector<open_call> lost;
    {
      ranked_lock lock(mutex_);
      auto next = open_.lower_bound({connection, 0});
      while (next != open_.end() && next->first.connection == connection) {
        lost.push_back(next->second);
        next = open_.erase(next);
      }
    }
    for (const open_call& one : lost) {
      CancelOne(one);
    }
  }

 private:
  // Credit goes out when the backend server takes the body, so a call that is
  // refused costs the sender no part of it.
  std::function<bool(std::string&)> PullHook(foreign_call from, std::shared_ptr<body_pipe> body) {
    auto granted = std::make_shared<bool>(false);
    return [this, from, body = std::move(body), granted = std::move(granted)](std::string& part) {
      if (!*granted) {
        *granted = true;
        Grant(from, kBodyWindow);
      }
      const bool whole = body->Pull(part);
      if (whole && !part.empty()) {
        Grant(from, part.size());
      }
      return whole;
    };
  }

  void Grant(foreign_call from, std::uint64_t bytes) {
    links_->Send(from.connection, FrameOf(body_credit_message{from.attempt, bytes}));
  }

  void OnEnd(foreign_call from, reply_message reply) {
    const open_call ended = Take(from);
    if (ended.body != nullptr) {
      ended.body->CloseReader();
    }
    reply.attempt = from.attempt;
    links_->Send(from.connection, FrameOf(reply));
  }

  open_call Take(foreign_call from) {
    ranked_lock lock(mutex_);
    const auto found = open_.find(from);
    if (found == open_.end()) {
      return {};
    }
    open_call taken = found->second;
    open_.erase(found);
    return taken;
  }

  std::shared_ptr<body_pipe> BodyOf(foreign_call from) {
    ranked_lock lock(mutex_);
    const auto found = open_.find(from);
    return found == open_.end() ? nullptr : found->second.body;
  }

  void CancelOne(const open_call& one) {
    if (one.body != nullptr) {
      one.body->Fail();
    }
    if (one.key != 0) {
      serving_.Cancel(one.key);
    }
  }

  serving_side& serving_;
  peer_links* links_ = nullptr;
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  std::map<foreign_call, open_call> open_ ABSL_GUARDED_BY(mutex_);
};

peer_side::peer_side(serving_side& serving) : state_(std::make_unique<state>(serving)) {}
peer_side::~peer_side() = default;

void peer_side::SetLinks(peer_links& links) { state_->SetLinks(links); }

void peer_side::OnCall(connection_id connection, call_message message) {
  state_->OnCall(connection, std::move(message));
}

void peer_side::OnCancel(connection_id connection, attempt_id attempt) {
  state_->OnCancel(connection, attempt);
}

void peer_side::OnChunk(connection_id connection, body_chunk_message chunk) {
  state_->OnChunk(connection, std::move(chunk));
}

void peer_side::OnLost(connection_id connection) { state_->OnLost(connection); }

}  // namespace cuminferry
