#include "cuminferry_node/peers/peer_links.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace cuminferry {
namespace {

/** Heartbeats go out this often on connections with work outstanding. */
constexpr std::chrono::milliseconds kHeartbeatEvery{100};
/** And this often on idle ones. */
constexpr std::chrono::seconds kIdleHeartbeatEvery{5};
/** Silence that makes a connection suspect while a heartbeat is unanswered. */
constexpr std::chrono::milliseconds kLongestSilence{400};
/** The same while it is still being opened. */
constexpr std::chrono::milliseconds kLongestOpening{400};

// One connection as this node knows it.
struct link {
  endpoint peer;
  bool outgoing = false;
  bool hello_seen = false;
  peer_links::peer_facts facts;
  instant last_heard;
  instant last_beat;
  std::uint32_t outstanding = 0;
};

// Who waits for what comes under a number, and on which connection it must come.
struct waiter {
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
  state(hooks chosen, event_log& events)
      : hooks_(std::move(chosen)),
        events_(events),
        hub_(std::make_unique<tcp_hub>(HubHooks(), tcp_hub::options{})) {}

  // The hub's thread uses every other member: it ends first.
  ~state() { hub_.reset(); }

  absl::Status Listen(endpoint& at) { return hub_->Listen(at); }

  std::shared_ptr<outgoing_attempt> StartCall(endpoint to, call_message& call) {
    auto attempt = Register(to);
    call.attempt = attempt->id();
    call.sent = events_.Now();
    return SendOrForget(std::move(attempt), FrameOf(call));
  }

  std::shared_ptr<outgoing_attempt> Ask(endpoint to, ask_message& question) {
    auto attempt = Register(to);
    question.question = attempt->id();
    return SendOrForget(std::move(attempt), FrameOf(question));
  }

  bool AskFor(const std::shared_ptr<outgoing_attempt>& attempt, endpoint to,
              ask_message& question) {
    connection_id connection = 0;
    {
      ranked_lock lock(mutex_);
      connection = ConnectionTo(to);
      question.question = next_attempt_++;
      attempt->MarkAsked();
      AddWaiter(question.question, {attempt, connection});
    }
    return hub_->SendMessage(connection, question);
  }

  void Abandon(const outgoing_attempt& attempt) {
    hub_->SendMessage(attempt.connection(), cancel_message{attempt.id()});
    Forget(attempt);
  }

  void Forget(const outgoing_attempt& attempt) {
    ranked_lock lock(mutex_);
    const auto found = waiters_.find(attempt.id());
    if (found != waiters_.end()) {
      NoteAnswered(found->second.connection);
      waiters_.erase(found);
    }
    if (attempt.asked()) {
      ForgetQuestions(attempt);
    }
  }

  std::optional<peer_facts> FactsOf(endpoint peer, instant until) {
    ranked_lock lock(mutex_);
    while (true) {
      const connection_id connection = ConnectionTo(peer);
      const link& known = links_.at(connection);
      if (known.hello_seen) {
        return known.facts;
      }
      const duration left = until - boot_clock::Now();
      if (left <= duration::zero()) {
        return std::nullopt;
      }
      mutex_.WaitFor(hello_came_, absl::FromChrono(left));
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

  void AnnounceLeaving(const leaving_message& message) {
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
    std::vector<connection_id> beat;
    std::vector<connection_id> silent;
    {
      ranked_lock lock(mutex_);
      for (auto& [connection, known] : links_) {
        if (paused) {
          // What came in while we slept is still unread.
          known.last_heard = now;
        }
        if (IsSilent(known, now)) {
          silent.push_back(connection);
        } else if (now - known.last_beat >= BeatEvery(known)) {
          known.last_beat = now;
          beat.push_back(connection);
        }
      }
    }
    for (const connection_id connection : silent) {
      GiveUp(connection);
    }
    for (const connection_id connection : beat) {
      heartbeat_message message{.number = 0, .load = hooks_.own_load(), .sent = events_.Now()};
      hub_->SendMessage(connection, message);
    }
  }

  void Stop() {
    hub_->Stop();
    ranked_lock lock(mutex_);
    for (const auto& [id, waiting] : waiters_) {
      waiting.attempt->MarkLost(false);
    }
    hello_came_.SignalAll();
  }

  std::size_t connections() const { return hub_->connections(); }

  std::size_t attempts_outstanding() {
    ranked_lock lock(mutex_);
    return waiters_.size();
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
                            const absl::Status& why) { OnClosed(connection, why); },
    };
  }

  static duration BeatEvery(const link& known) {
    return known.outstanding > 0 ? duration(kHeartbeatEvery) : duration(kIdleHeartbeatEvery);
  }

  // Heartbeats go out well before the limit, so this much silence means that at
  // least two of them were not answered.
  static bool IsSilent(const link& known, instant now) {
    if (!known.hello_seen) {
      return now - known.last_heard > kLongestOpening;
    }
    const duration limit =
        known.outstanding > 0 ? duration(kLongestSilence) : duration(3 * kIdleHeartbeatEvery);
    return now - known.last_heard > limit && known.last_beat > known.last_heard;
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
                                    .hello_seen = false,
                                    .facts = {},
                                    .last_heard = now,
                                    .last_beat = now,
                                    .outstanding = 0});
    outgoing_.emplace(peer, connection);
    // Queued by the hub until the connection is open; always the first message.
    hub_->SendMessage(connection, hooks_.own_hello());
    return connection;
  }

  std::shared_ptr<outgoing_attempt> Register(endpoint to) {
    ranked_lock lock(mutex_);
    const connection_id connection = ConnectionTo(to);
    auto attempt = std::make_shared<outgoing_attempt>(next_attempt_++, connection);
    AddWaiter(attempt->id(), {attempt, connection});
    return attempt;
  }

  void AddWaiter(attempt_id id, waiter waiting) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    link& known = links_.at(waiting.connection);
    if (known.outstanding == 0) {
      // Idle silence does not count: the other side had nothing to say.
      known.last_heard = std::max(known.last_heard, boot_clock::Now() - kHeartbeatEvery);
    }
    ++known.outstanding;
    waiters_.emplace(id, std::move(waiting));
  }

  void ForgetQuestions(const outgoing_attempt& attempt) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    for (auto next = waiters_.begin(); next != waiters_.end();) {
      const auto here = next++;
      if (here->second.attempt.get() == &attempt) {
        NoteAnswered(here->second.connection);
        waiters_.erase(here);
      }
    }
  }

  void NoteAnswered(connection_id connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto found = links_.find(connection);
    if (found != links_.end() && found->second.outstanding > 0) {
      --found->second.outstanding;
    }
  }

  std::shared_ptr<outgoing_attempt> SendOrForget(std::shared_ptr<outgoing_attempt> attempt,
                                                 std::string frame) {
    if (hub_->Send(attempt->connection(), std::move(frame))) {
      return attempt;
    }
    Forget(*attempt);
    return nullptr;
  }

  // The attempt that waits for this number on this connection; nullptr where it
  // was given up: what comes late finds nobody and is dropped.
  std::shared_ptr<outgoing_attempt> FindAttempt(connection_id connection, attempt_id id) {
    ranked_lock lock(mutex_);
    const auto found = waiters_.find(id);
    if (found == waiters_.end() || found->second.connection != connection) {
      return nullptr;
    }
    return found->second.attempt;
  }

  void OnOpen(connection_id connection, bool accepted) {
    if (!accepted) {
      return;  // ConnectionTo() has said hello already.
    }
    {
      ranked_lock lock(mutex_);
      const instant now = boot_clock::Now();
      links_.emplace(connection, link{.peer = {},
                                      .outgoing = false,
                                      .hello_seen = false,
                                      .facts = {},
                                      .last_heard = now,
                                      .last_beat = now,
                                      .outstanding = 0});
    }
    hub_->SendMessage(connection, hooks_.own_hello());
  }

  void OnClosed(connection_id connection, const absl::Status& why) {
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
      Detach(connection, found->second);
      links_.erase(found);
      for (const auto& [id, waiting] : waiters_) {
        if (waiting.connection == connection) {
          lost.push_back(waiting.attempt);
        }
      }
      hello_came_.SignalAll();
    }
    for (const auto& attempt : lost) {
      attempt->MarkLost(CodeOf(why) == result_code::kTargetUnreachable);
    }
    hooks_.on_lost(connection);
    if (unreachable) {
      hooks_.on_unreachable(peer);
    }
  }

  void Detach(connection_id connection, const link& known) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto found = outgoing_.find(known.peer);
    if (known.outgoing && found != outgoing_.end() && found->second == connection) {
      outgoing_.erase(found);
    }
  }

  // New calls must not wait for the close to come through: it may never.
  void GiveUp(connection_id connection) {
    endpoint peer;
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return;
      }
      peer = found->second.peer;
      Detach(connection, found->second);
      if (found->second.outgoing && found->second.hello_seen) {
        // Whether the node still lives shows by its hello on a new connection.
        // Without it the target would wait for a call to be sent there again. Once:
        // a node that is cut off for an hour would be knocked at all the time.
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
    bool known_peer = false;
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return;
      }
      found->second.last_heard = boot_clock::Now();
      peer = found->second.peer;
      known_peer = found->second.hello_seen;
    }
    if (type != message_type::kHello && !known_peer) {
      hub_->Close(connection);
      return;
    }
    if (!Dispatch(connection, peer, type, payload)) {
      // A frame whose digest fits but whose message does not: a fault in the
      // other process. What it means by the rest can't be trusted either.
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
      case message_type::kAsk:
        return OnAsk(connection, payload);
      case message_type::kAskReply:
        return OnAskReply(connection, payload);
      case message_type::kLeaving:
        return OnLeaving(peer, payload);
      case message_type::kHeartbeat:
        return OnHeartbeat(connection, payload);
      case message_type::kHeartbeatReply:
        return OnHeartbeatReply(connection, payload);
      case message_type::kGossip:
        return false;  // Travels by UDP only.
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
      known.hello_seen = true;
      known.facts = {hello.incarnation, hello.load.window};
      if (!known.outgoing) {
        known.peer = hello.listens_at;
      }
      hello_came_.SignalAll();
    }
    hooks_.on_hello(hello);
    if (hello.load.leaving != 0) {
      hooks_.on_leaving(hello.listens_at, hello.incarnation);
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
    NoteLoad(connection, reply.load);
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

  bool OnAsk(connection_id connection, std::span<const char> payload) {
    ask_message ask;
    if (!Decode(payload, ask)) {
      return false;
    }
    hub_->SendMessage(connection, hooks_.on_ask(ask));
    return true;
  }

  bool OnAskReply(connection_id connection, std::span<const char> payload) {
    ask_reply_message reply;
    if (!Decode(payload, reply)) {
      return false;
    }
    const auto attempt = FindAttempt(connection, reply.question);
    if (attempt != nullptr) {
      attempt->Deliver(std::move(reply));
    }
    return true;
  }

  bool OnLeaving(endpoint peer, std::span<const char> payload) {
    leaving_message leaving;
    if (!Decode(payload, leaving)) {
      return false;
    }
    hooks_.on_leaving(peer, leaving.incarnation);
    return true;
  }

  bool OnHeartbeat(connection_id connection, std::span<const char> payload) {
    heartbeat_message beat;
    if (!Decode(payload, beat)) {
      return false;
    }
    events_.Observe(beat.sent);
    NoteLoad(connection, beat.load);
    hub_->SendMessage(connection,
                      heartbeat_reply_message{
                          .number = beat.number, .load = hooks_.own_load(), .sent = events_.Now()});
    return true;
  }

  bool OnHeartbeatReply(connection_id connection, std::span<const char> payload) {
    heartbeat_reply_message beat;
    if (!Decode(payload, beat)) {
      return false;
    }
    events_.Observe(beat.sent);
    NoteLoad(connection, beat.load);
    return true;
  }

  void NoteLoad(connection_id connection, const load_advert& load) {
    endpoint leaving;
    incarnation_id incarnation = 0;
    {
      ranked_lock lock(mutex_);
      const auto found = links_.find(connection);
      if (found == links_.end()) {
        return;
      }
      found->second.facts.window = load.window;
      if (load.leaving == 0) {
        return;
      }
      leaving = found->second.peer;
      incarnation = found->second.facts.incarnation;
    }
    hooks_.on_leaving(leaving, incarnation);
  }

  const hooks hooks_;
  event_log& events_;
  ranked_mutex mutex_{lock_rank::kNodePeers};
  absl::CondVar hello_came_;
  absl::flat_hash_map<connection_id, link> links_ ABSL_GUARDED_BY(mutex_);
  std::map<endpoint, connection_id> outgoing_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<attempt_id, waiter> waiters_ ABSL_GUARDED_BY(mutex_);
  attempt_id next_attempt_ ABSL_GUARDED_BY(mutex_) = 1;
  std::unique_ptr<tcp_hub> hub_;
};

peer_links::peer_links(hooks chosen, event_log& events)
    : state_(std::make_unique<state>(std::move(chosen), events)) {}
peer_links::~peer_links() = default;

absl::Status peer_links::Listen(endpoint& at) { return state_->Listen(at); }

std::shared_ptr<outgoing_attempt> peer_links::StartCall(endpoint to, call_message& call) {
  return state_->StartCall(to, call);
}

std::shared_ptr<outgoing_attempt> peer_links::Ask(endpoint to, ask_message& question) {
  return state_->Ask(to, question);
}

bool peer_links::AskFor(const std::shared_ptr<outgoing_attempt>& attempt, endpoint to,
                        ask_message& question) {
  return state_->AskFor(attempt, to, question);
}

void peer_links::Abandon(const outgoing_attempt& attempt) { state_->Abandon(attempt); }
void peer_links::Forget(const outgoing_attempt& attempt) { state_->Forget(attempt); }

std::optional<peer_links::peer_facts> peer_links::FactsOf(endpoint peer, instant until) {
  return state_->FactsOf(peer, until);
}

bool peer_links::SendTo(endpoint peer, std::string frame) {
  return state_->SendTo(peer, std::move(frame));
}

bool peer_links::Send(connection_id connection, std::string frame) {
  return state_->Send(connection, std::move(frame));
}

void peer_links::AnnounceLeaving(const leaving_message& message) {
  state_->AnnounceLeaving(message);
}

void peer_links::Tick(instant now, bool paused) { state_->Tick(now, paused); }

void peer_links::Stop() { state_->Stop(); }

std::size_t peer_links::connections() const { return state_->connections(); }
std::size_t peer_links::attempts_outstanding() const { return state_->attempts_outstanding(); }

}  // namespace cuminferry
