#include "cuminferry_node/runtime/peer_side.h"

#include <map>
#include <utility>
#include <vector>

#include "cuminferry_node/runtime/body_pipe.h"

namespace cuminferry {
namespace {

/** Credit for a long body: bytes that the sender may send ahead of the backend server. */
constexpr std::uint64_t kBodyCreditBytes = 256 * 1024;

// Identifies a call of another node. Attempt ids are unique only within a connection.
struct peer_call_id {
  connection_id connection = 0;
  attempt_id attempt = 0;

  auto operator<=>(const peer_call_id&) const = default;
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
    const peer_call_id from{connection, message.attempt};
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
      call.more_body = MakePullHook(from, body);
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
    CancelCall(TakeOpenCall({connection, attempt}));
  }

  void OnChunk(connection_id connection, body_chunk_message chunk) {
    const auto body = BodyOf({connection, chunk.attempt});
    if (body == nullptr) {
      return;
    }
    if (!chunk.bytes.empty() && !body->TryPush(std::move(chunk.bytes))) {
      // The sender exceeded its credit. The part that doesn't fit is dropped, so the whole
      // body fails.
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
      CancelCall(one);
    }
  }

 private:
  // Credit is granted only when the backend server reads the body, so the sender of a
  // refused call sends none of the remaining body.
  std::function<bool(std::string&)> MakePullHook(peer_call_id from,
                                                 std::shared_ptr<body_pipe> body) {
    auto granted = std::make_shared<bool>(false);
    return [this, from, body = std::move(body), granted = std::move(granted)](std::string& part) {
      if (!*granted) {
        *granted = true;
        GrantCredit(from, kBodyCreditBytes);
      }
      const bool whole = body->Pull(part);
      if (whole && !part.empty()) {
        GrantCredit(from, part.size());
      }
      return whole;
    };
  }

  void GrantCredit(peer_call_id from, std::uint64_t bytes) {
    links_->Send(from.connection, FrameOf(body_credit_message{from.attempt, bytes}));
  }

  void OnEnd(peer_call_id from, reply_message reply) {
    const open_call ended = TakeOpenCall(from);
    if (ended.body != nullptr) {
      ended.body->CloseReader();
    }
    reply.attempt = from.attempt;
    links_->Send(from.connection, FrameOf(reply));
  }

  open_call TakeOpenCall(peer_call_id from) {
    ranked_lock lock(mutex_);
    const auto found = open_.find(from);
    if (found == open_.end()) {
      return {};
    }
    open_call taken = found->second;
    open_.erase(found);
    return taken;
  }

  std::shared_ptr<body_pipe> BodyOf(peer_call_id from) {
    ranked_lock lock(mutex_);
    const auto found = open_.find(from);
    return found == open_.end() ? nullptr : found->second.body;
  }

  void CancelCall(const open_call& one) {
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
  std::map<peer_call_id, open_call> open_ ABSL_GUARDED_BY(mutex_);
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
