#include "cuminferry_node/peers/peer_links.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace cuminferry {
namespace {

/** Heartbeat interval of connections with outstanding work. */
constexpr std::chrono::milliseconds kHeartbeatInterval{100};
/** Heartbeat interval of idle connections. */
constexpr std::chrono::seconds kIdleHeartbeatInterval{5};
/** A connection with outstanding work is closed after this time without a message. */
constexpr std::chrono::milliseconds kSilenceTimeout{400};
/** A connection is closed if no hello is received in this time. */
constexpr std::chrono::milliseconds kOpenTimeout{400};

// The state of one connection.
struct link {
  endpoint peer;
  bool outgoing = false;
  bool hello_received = false;
  peer_links::peer_info info;
  instant last_received;
  instant last_heartbeat;
  std::uint32_t outstanding = 0;
};

// The attempt that waits for a reply, and the connection on which the reply must be received.
struct pending_reply {
  std::shared_ptr<outgoing_attempt> attempt;
  connection_id connection = 0;
};

template <typename Message>
bool Decode(std::span<const char> payload, Message& into) {
  return DecodeMessage(payload, into).ok();
}

}  // namespace

class peer_links::state {
 public:
  state(hooks node_hooks, event_log& events)
      : hooks_(std::move(node_hooks)),
        events_(events),
        hub_(std::make_unique<tcp_hub>(HubHooks(), tcp_hub::options{})) {}

  // The hub's thread uses all other members, so it must finish first.
  ~state() { hub_.reset(); }

  absl::Status Listen(endpoint& address) { return hub_->Listen(address); }

  std::shared_ptr<outgoing_attempt> StartCall(endpoint to, call_message& call) {
    auto attempt = Register(to);
    call.attempt = attempt->id();
    call.sent = events_.Now();
    return SendOrRemove(std::move(attempt), FrameOf(call));
  }

  std::shared_ptr<outgoing_attempt> Query(endpoint to, query_message& query) {
    auto attempt = Register(to);
    query.query_id = attempt->id();
    return SendOrRemove(std::move(attempt), FrameOf(query));
  }

  bool QueryFor(const std::shared_ptr<outgoing_attempt>& attempt, endpoint to,
                query_message& query) {
    connection_id connection = 0;
    {
      ranked_lock lock(mutex_);
      connection = ConnectionTo(to);
      query.query_id = next_attempt_++;
      attempt->MarkQueried();
      AddPendingReply(query.query_id, {attempt, connection});
    }
    return hub_->SendMessage(connection, query);
  }

  void Abandon(const outgoing_attempt& attempt) {
    hub_->SendMessage(attempt.connection(), cancel_message{attempt.id()});
    Forget(attempt);
  }

  void Forget(const outgoing_attempt& attempt) {
    ranked_lock lock(mutex_);
    const auto found = pending_replies_.find(attempt.id());
    if (found != pending_replies_.end()) {
      DecrementOutstanding(found->second.connection);
      pending_replies_.erase(found);
    }
    if (attempt.has_queries()) {
      ForgetQueries(attempt);
    }
  }

  std::optional<peer_info> AwaitPeerInfo(endpoint peer, instant until) {
    ranked_lock lock(mutex_);
    while (true) {
      const connection_id connection = ConnectionTo(peer);
      const link& known = links_.at(connection);
      if (known.hello_received) {
        return known.info;
      }
      const duration remaining = until - boot_clock::Now();
      if (remaining <= duration::zero()) {
        return std::nullopt;
      }
      mutex_.WaitFor(hello_arrived_, absl::FromChrono(remaining));
      if (!links_.contains(connection)) {
        return std::nullopt;
      }
    }
  }

  bool SendTo(endpoint peer, std::string frame) {
    connection_id connection = 0;
    {
      ranked_lock lock(mutex_);
      connection = ConnectionTo(peer);
    }
    return hub_->Send(connection, std::move(frame));
  }

  bool Send(connection_id connection, std::string frame) {
    return hub_->Send(connection, std::move(frame));
  }

  void AnnounceDraining(const draining_message& message) {
    std::vector<connection_id> connections;
    {
      ranked_lock lock(mutex_);
      for (const auto& [connection, known] : links_) {
        connections.push_back(connection);
      }
    }
    for (const connection_id connection : connections) {
      hub_->SendMessage(connection, message);
    }
  }

  void Tick(instant now, bool paused) {
    std::vector<connection_id> heartbeats_due;
    std::vector<connection_id> silent;
    {
      ranked_lock lock(mutex_);
      for (auto& [connection, known] : links_) {
        if (paused) {
          // Messages that were received while the process was paused are still unread.
          known.last_received = now;
        }
        if (IsSilent(known, now)) {
          silent.push_back(connection);
        } else if (now - known.last_heartbeat >= HeartbeatIntervalOf(known)) {
          known.last_heartbeat = now;
          heartbeats_due.push_back(connection);
        }
      }
    }
    for (const connection_id connection : silent) {
      CloseSilent(connection);
    }
    for (const connection_id connection : heartbeats_due) {
      heartbeat_message message{
          .heartbeat_number = 0, .load = hooks_.own_load(), .sent = events_.Now()};
      hub_->SendMessage(connection, message);
    }
  }

  void Stop() {
    hub_->Stop();
    ranked_lock lock(mutex_);
    for (const auto& [id, pending] : pending_replies_) {
      pending.attempt->MarkConnectionLost(false);
    }
    hello_arrived_.SignalAll();
  }

  std::size_t connections() const { return hub_->connections(); }

  std::size_t attempts_outstanding() {
    ranked_lock lock(mutex_);
    return pending_replies_.size();
  }

 private:
  tcp_hub::hooks HubHooks() {
    return {
        .on_open = [this](connection_id connection,
                          bool accepted) { OnOpen(connection, accepted); },
        .on_message = [this](
                          connection_id connection, message_type type,
                          std::span<const char> payload) { OnMessage(connection, type, payload); },
        .on_closed = [this](connection_id connection,
                            const absl::Status& reason) { OnClosed(connection, reason); },
    };
  }

  static duration HeartbeatIntervalOf(const link& known) {
    return known.outstanding > 0 ? duration(kHeartbeatInterval) : duration(kIdleHeartbeatInterval);
  }

  // Heartbeats are sent much more often than the timeout, so that a timeout means that at least two
  // of them were not answered.
  static bool IsSilent(const link& known, instant now) {
    if (!known.hello_received) {
      return now - known.last_received > kOpenTimeout;
    }
    const duration timeout =
        known.outstanding > 0 ? duration(kSilenceTimeout) : duration(3 * kIdleHeartbeatInterval);
    return now - known.last_received > timeout && known.last_heartbeat > known.last_received;
  }

  // The connection that calls to a node take; opened where there is none.
  connection_id ConnectionTo(endpoint peer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto found = outgoing_.find(peer);
    if (found != outgoing_.end()) {
      return found->second;
    }
    const connection_id connection = hub_->Connect(peer);
    const instant now = boot_clock::Now();
    links_.emplace(connection, link{.peer = peer,
                                    .outgoing = true,
                                    .hello_received = false,
                                    .info = {},
                                    .last_received = now,
                                    .last_heartbeat = now,
                                    .outstanding = 0});
    outgoing_.emplace(peer, connection);
    // The hub queues the hello until the connection is open, and it is always the first message.
    hub_->SendMessage(connection, hooks_.own_hello());
    return connection;
  }

  std::shared_ptr<outgoing_attempt> Register(endpoint to) {
    ranked_lock lock(mutex_);
    const connection_id connection = ConnectionTo(to);
    auto attempt = std::make_shared<outgoing_attempt>(next_attempt_++, connection);
    AddPendingReply(attempt->id(), {attempt, connection});
    return attempt;
  }

  void AddPendingReply(attempt_id id, pending_reply pending) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    link& known = links_.at(pending.connection);
    if (known.outstanding == 0) {
      // Silence before the first outstanding request is expected and does not count.
      known.last_received = std::max(known.last_received, boot_clock::Now() - kHeartbeatInterval);
    }
    ++known.outstanding;
    pending_replies_.emplace(id, std::move(pending));
  }

  void ForgetQueries(const outgoing_attempt& attempt) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    for (auto next = pending_replies_.begin(); next != pending_replies_.end();) {
      const auto here = next++;
      if (here->second.attempt.get() == &attempt) {
        DecrementOutstanding(here->second.connection);
        pending_replies_.erase(here);
      }
    }
  }

  void DecrementOutstanding(connection_id connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto found = links_.find(connection);
    if (found != links_.end() && found->second.outstanding > 0) {
      --found->second.outstanding;
    }
  }

  std::shared_ptr<outgoing_attempt> SendOrRemove(std::shared_ptr<outgoing_attempt> attempt,
                                                 std::string frame) {
    if (hub_->Send(attempt->connection(), std::move(frame))) {
      return attempt;
    }
    Forget(*attempt);
    return nullptr;
  }

  // Returns the attempt that waits for this id on this connection, or nullptr if it was removed, in
  // which case the late message is dropped.
  std::shared_ptr<outgoing_attempt> FindAttempt(connection_id connection, attempt_id id) {
    ranked_lock lock(mutex_);
    const auto found = pending_replies_.find(id);
    if (found == pending_replies_.end() || found->second.connection != connection) {
      return nullptr;
    }
    return found->second.attempt;
  }

  void OnOpen(connection_id connection, bool accepted) {
    if (!accepted) {
      return;  // ConnectionTo() has already sent the hello.
    }
    {
      ranked_lock lock(mutex_);
      const instant now = boot_clock::Now();
      links_.emplace(connection, link{.peer = {},
                                      .outgoing = false,
                                      .hello_received = false,
                                      .info = {},
                                      .last_received = now,
                                      .last_heartbeat = now,
                                      .outstanding = 0});
    }
    hub_->SendMessage(connection, hooks_.own_hello());
  }

  void OnClosed(connection_id connection, const absl::Status& reason) {
    std::vector<std::shared_ptr<outgoing_attempt>> lost;
    endpoint peer;
    bool unreachable = false;
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return;
      }
      peer = found->second.peer;
      unreachable = found->second.outgoing;
      RemoveOutgoing(connection, found->second);
      links_.erase(found);
      for (const auto& [id, pending] : pending_replies_) {
        if (pending.connection == connection) {
          lost.push_back(pending.attempt);
        }
      }
      hello_arrived_.SignalAll();
    }
    for (const auto& attempt : lost) {
      attempt->MarkConnectionLost(CodeOf(reason) == result_code::kTargetUnreachable);
    }
    hooks_.on_connection_lost(connection);
    if (unreachable) {
      hooks_.on_unreachable(peer);
    }
  }

  void RemoveOutgoing(connection_id connection, const link& known)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto found = outgoing_.find(known.peer);
    if (known.outgoing && found != outgoing_.end() && found->second == connection) {
      outgoing_.erase(found);
    }
  }

  // Removes the connection from `outgoing_` before closing it: the close may never be completed,
  // and new calls must not wait for it.
  void CloseSilent(connection_id connection) {
    endpoint peer;
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return;
      }
      peer = found->second.peer;
      RemoveOutgoing(connection, found->second);
      if (found->second.outgoing && found->second.hello_received) {
        // The hello on a new connection shows that the node is still running. Without it, the
        // target would stay unavailable until a call is sent there again. Only one connection is
        // opened, as a node that is cut off for an hour would otherwise get constant attempts.
        ConnectionTo(peer);
      }
    }
    events_.Add({.kind = event_kind::kConnectionSilent,
                 .code = result_code::kPeerSilent,
                 .subject = peer.ToString()});
    hub_->Close(connection);
  }

  void OnMessage(connection_id connection, message_type type, std::span<const char> payload) {
    endpoint peer;
    bool has_sent_hello = false;
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return;
      }
      found->second.last_received = boot_clock::Now();
      peer = found->second.peer;
      has_sent_hello = found->second.hello_received;
    }
    if (type != message_type::kHello && !has_sent_hello) {
      hub_->Close(connection);
      return;
    }
    if (!Dispatch(connection, peer, type, payload)) {
      // A message that is invalid although its frame's digest is correct shows a fault in the other
      // process, so its further messages can't be trusted either.
      hub_->Close(connection);
    }
  }

  bool Dispatch(connection_id connection, endpoint peer, message_type type,
                std::span<const char> payload) {
    switch (type) {
      case message_type::kHello:
        return OnHello(connection, payload);
      case message_type::kCall:
        return OnCall(connection, payload);
      case message_type::kReply:
        return OnReply(connection, payload);
      case message_type::kBodyChunk:
        return OnChunk(connection, payload);
      case message_type::kBodyCredit:
        return OnCredit(connection, payload);
      case message_type::kCancel:
        return OnCancel(connection, payload);
      case message_type::kQuery:
        return OnQuery(connection, payload);
      case message_type::kQueryReply:
        return OnQueryReply(connection, payload);
      case message_type::kDraining:
        return OnDraining(peer, payload);
      case message_type::kHeartbeat:
        return OnHeartbeat(connection, payload);
      case message_type::kHeartbeatReply:
        return OnHeartbeatReply(connection, payload);
      case message_type::kGossip:
        return false;  // Gossip is sent over UDP only.
      default:
        hooks_.on_fleet_message(peer, type, payload);
        return true;
    }
  }

  bool OnHello(connection_id connection, std::span<const char> payload) {
    hello_message hello;
    if (!Decode(payload, hello)) {
      return false;
    }
    events_.Observe(hello.sent);
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return true;
      }
      link& known = found->second;
      known.hello_received = true;
      known.info = {hello.incarnation, hello.load.window};
      if (!known.outgoing) {
        known.peer = hello.listen_address;
      }
      hello_arrived_.SignalAll();
    }
    hooks_.on_hello(hello);
    if (hello.load.draining != 0) {
      hooks_.on_draining(hello.listen_address, hello.incarnation);
    }
    return true;
  }

  bool OnCall(connection_id connection, std::span<const char> payload) {
    call_message call;
    if (!Decode(payload, call)) {
      return false;
    }
    events_.Observe(call.sent);
    hooks_.on_call(connection, std::move(call));
    return true;
  }

  bool OnReply(connection_id connection, std::span<const char> payload) {
    reply_message reply;
    if (!Decode(payload, reply)) {
      return false;
    }
    events_.Observe(reply.sent);
    OnLoadReport(connection, reply.load);
    const auto attempt = FindAttempt(connection, reply.attempt);
    if (attempt != nullptr) {
      attempt->Deliver(std::move(reply));
    }
    return true;
  }

  bool OnChunk(connection_id connection, std::span<const char> payload) {
    body_chunk_message chunk;
    if (!Decode(payload, chunk)) {
      return false;
    }
    hooks_.on_chunk(connection, std::move(chunk));
    return true;
  }

  bool OnCredit(connection_id connection, std::span<const char> payload) {
    body_credit_message credit;
    if (!Decode(payload, credit)) {
      return false;
    }
    const auto attempt = FindAttempt(connection, credit.attempt);
    if (attempt != nullptr) {
      attempt->AddCredit(credit.bytes);
    }
    return true;
  }

  bool OnCancel(connection_id connection, std::span<const char> payload) {
    cancel_message cancel;
    if (!Decode(payload, cancel)) {
      return false;
    }
    hooks_.on_cancel(connection, cancel.attempt);
    return true;
  }

  bool OnQuery(connection_id connection, std::span<const char> payload) {
    query_message query;
    if (!Decode(payload, query)) {
      return false;
    }
    hub_->SendMessage(connection, hooks_.on_query(query));
    return true;
  }

  bool OnQueryReply(connection_id connection, std::span<const char> payload) {
    query_reply_message reply;
    if (!Decode(payload, reply)) {
      return false;
    }
    const auto attempt = FindAttempt(connection, reply.query_id);
    if (attempt != nullptr) {
      attempt->Deliver(std::move(reply));
    }
    return true;
  }

  bool OnDraining(endpoint peer, std::span<const char> payload) {
    draining_message draining;
    if (!Decode(payload, draining)) {
      return false;
    }
    hooks_.on_draining(peer, draining.incarnation);
    return true;
  }

  bool OnHeartbeat(connection_id connection, std::span<const char> payload) {
    heartbeat_message heartbeat;
    if (!Decode(payload, heartbeat)) {
      return false;
    }
    events_.Observe(heartbeat.sent);
    OnLoadReport(connection, heartbeat.load);
    hub_->SendMessage(connection,
                      heartbeat_reply_message{.heartbeat_number = heartbeat.heartbeat_number,
                                              .load = hooks_.own_load(),
                                              .sent = events_.Now()});
    return true;
  }

  bool OnHeartbeatReply(connection_id connection, std::span<const char> payload) {
    heartbeat_reply_message heartbeat;
    if (!Decode(payload, heartbeat)) {
      return false;
    }
    events_.Observe(heartbeat.sent);
    OnLoadReport(connection, heartbeat.load);
    return true;
  }

  void OnLoadReport(connection_id connection, const load_report& load) {
    endpoint draining_peer;
    incarnation_id incarnation = 0;
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return;
      }
      found->second.info.window = load.window;
      if (load.draining == 0) {
        return;
      }
      draining_peer = found->second.peer;
      incarnation = found->second.info.incarnation;
    }
    hooks_.on_draining(draining_peer, incarnation);
  }

  const hooks hooks_;
  event_log& events_;
  ranked_mutex mutex_{lock_rank::kNodePeers};
  absl::CondVar hello_arrived_;
  absl::flat_hash_map<connection_id, link> links_ ABSL_GUARDED_BY(mutex_);
  std::map<endpoint, connection_id> outgoing_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<attempt_id, pending_reply> pending_replies_ ABSL_GUARDED_BY(mutex_);
  attempt_id next_attempt_ ABSL_GUARDED_BY(mutex_) = 1;
  std::unique_ptr<tcp_hub> hub_;
};

peer_links::peer_links(hooks node_hooks, event_log& events)
    : state_(std::make_unique<state>(std::move(node_hooks), events)) {}
peer_links::~peer_links() = default;

absl::Status peer_links::Listen(endpoint& address) { return state_->Listen(address); }

std::shared_ptr<outgoing_attempt> peer_links::StartCall(endpoint to, call_message& call) {
  return state_->StartCall(to, call);
}

std::shared_ptr<outgoing_attempt> peer_links::Query(endpoint to, query_message& query) {
  return state_->Query(to, query);
}

bool peer_links::QueryFor(const std::shared_ptr<outgoing_attempt>& attempt, endpoint to,
                          query_message& query) {
  return state_->QueryFor(attempt, to, query);
}

void peer_links::Abandon(const outgoing_attempt& attempt) { state_->Abandon(attempt); }
void peer_links::Forget(const outgoing_attempt& attempt) { state_->Forget(attempt); }

std::optional<peer_links::peer_info> peer_links::AwaitPeerInfo(endpoint peer, instant until) {
  return state_->AwaitPeerInfo(peer, until);
}

bool peer_links::SendTo(endpoint peer, std::string frame) {
  return state_->SendTo(peer, std::move(frame));
}

bool peer_links::Send(connection_id connection, std::string frame) {
  return state_->Send(connection, std::move(frame));
}

void peer_links::AnnounceDraining(const draining_message& message) {
  state_->AnnounceDraining(message);
}

void peer_links::Tick(instant now, bool paused) { state_->Tick(now, paused); }

void peer_links::Stop() { state_->Stop(); }

std::size_t peer_links::connections() const { return state_->connections(); }
std::size_t peer_links::attempts_outstanding() const { return state_->attempts_outstanding(); }

}  // namespace cuminferry
