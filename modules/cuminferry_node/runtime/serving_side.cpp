#include "cuminferry_node/runtime/serving_side.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <algorithm>
#include <atomic>
#include <utility>

#include "cuminferry_wire/messages/message_codec.h"

namespace cuminferry {
namespace {

constexpr std::size_t kBackendStackBytes = 256 * 1024;
constexpr std::size_t kMaxBackendThreads = 2048;
constexpr std::size_t kMinBackendThreads = 16;
constexpr std::uint32_t kMaxQueuedCalls = 1024;
constexpr std::chrono::seconds kLimitRecordPeriod{1};

// A call that has no reply yet.
struct pending_call {
  incoming_call call;
  std::shared_ptr<const table_shard> shard;
  const request_row* row = nullptr;
  serving_side::reply_hook on_reply;
  std::shared_ptr<running_request> running;
  /** Whether the call was cancelled. */
  bool cancelled = false;
};

// The admission controller and the shard whose row numbers the controller uses.
struct admission_state {
  explicit admission_state(admission_controller::options chosen) : controller(std::move(chosen)) {}

  admission_controller controller;
  std::shared_ptr<const table_shard> shard;
};

std::uint32_t RowNumber(const table_shard& shard, std::string_view name) {
  const request_row* found = shard.FindRowByName(name);
  return static_cast<std::uint32_t>(found == nullptr ? shard.rows.size()
                                                     : found - shard.rows.data());
}

// The row number in admission's current shard of a row that was found in `shard`.
std::uint32_t RowNumber(const admission_state& admission, const table_shard& shard,
                        const request_row& row) {
  if (admission.shard.get() == &shard) {
    return static_cast<std::uint32_t>(&row - shard.rows.data());
  }
  return RowNumber(*admission.shard, row.name);
}

run_result RunResultOf(backend_outcome outcome) {
  switch (outcome) {
    case backend_outcome::kAnswered:
    case backend_outcome::kAnswerTooLarge:
      return run_result::kAnswered;
    case backend_outcome::kShed:
      return run_result::kOverload;
    case backend_outcome::kTimedOut:
      return run_result::kTimedOut;
    case backend_outcome::kCancelled:
      return run_result::kCancelled;
    case backend_outcome::kNotSent:
    case backend_outcome::kNoCompleteAnswer:
      break;
  }
  return run_result::kFailed;
}

}  // namespace

class serving_side::state {
 public:
  state(options chosen, backend_client& backend, share_side& shares,
        running_request_registry& records, node_metrics& metrics, event_log& events)
      : settings_(chosen.settings),
        backend_(backend),
        shares_(shares),
        records_(records),
        metrics_(metrics),
        events_(events),
        admission_(lock_rank::kAdmission,
                   admission_controller::options{.control = settings_.control,
                                                 .slots = settings_.backend_slots,
                                                 .queue_bound = kMaxQueuedCalls}),
        claims_(chosen.incarnation),
        random_(lock_rank::kRetries, random_source::FromMachine()),
        workers_({.name = "backend",
                  .threads = BackendThreads(settings_),
                  .stack_bytes = kBackendStackBytes,
                  .max_queued_tasks = 2 * kMaxBackendThreads}) {}

  ~state() { workers_.Stop(); }

  void UseTable(const table_shard& shard) {
    auto stored = std::make_shared<const table_shard>(shard);
    admission_.With([&](admission_state& admission) {
      admission.controller.UseTable(*stored, boot_clock::Now());
      admission.shard = std::move(stored);
    });
  }

  call_key Begin(incoming_call call, reply_hook on_reply) {
    const call_key key = next_key_.fetch_add(1);
    pending_call pending{.call = std::move(call),
                         .shard = CurrentShard(),
                         .row = nullptr,
                         .on_reply = std::move(on_reply),
                         .running = nullptr,
                         .cancelled = false};
    const result_code fault = Prepare(pending);
    if (fault != result_code::kOk) {
      Reply(pending, claims_.Refuse(pending.call.claim, pending.call.request, fault));
      return key;
    }
    auto known = claims_.Begin(pending.call.claim, pending.call.request);
    if (known.has_value()) {
      Reply(pending, std::move(*known));
      return key;
    }
    // The ticket is checked first: outcomes from before the drain are still reported.
    if (draining_ && !pending.call.accepted_before_drain) {
      claims_.MarkNotRun(pending.call.claim, result_code::kRefusedDraining);
      Reply(pending, MakeNotRunReply(pending.call.request, result_code::kRefusedDraining));
      return key;
    }
    Offer(key, std::move(pending));
    return key;
  }

  void Cancel(call_key key) {
    std::shared_ptr<running_request> running;
    {
      ranked_lock lock(calls_mutex_);
      const auto found = calls_.find(key);
      if (found == calls_.end()) {
        return;
      }
      pending_call& pending = found->second;
      if (pending.running != nullptr && !pending.call.claim.empty()) {
        // The call was handed over. If it were aborted, its outcome would be unknown for good;
        // if it completes, the caller can query the answer by the ticket.
        return;
      }
      pending.cancelled = true;
      running = pending.running;
    }
    if (running != nullptr) {
      running->Cancel();
      return;
    }
    WithAdmission([&](admission_state& admission, admission_actions& actions) {
      admission.controller.Abandon(key, boot_clock::Now(), actions);
    });
  }

  void BeginWait(call_key key, std::string_view callee_service) {
    WithAdmission([&](admission_state& admission, admission_actions& actions) {
      admission.controller.BeginWait(key, callee_service, boot_clock::Now(), actions);
    });
  }

  void EndWait(call_key key) {
    WithAdmission([&](admission_state& admission, admission_actions& actions) {
      admission.controller.EndWait(key, boot_clock::Now(), actions);
    });
  }

  void LearnThreshold(std::string_view caller_row, std::string_view callee_service,
                      std::string_view callee_row, call_rank threshold) {
    admission_.With([&](admission_state& admission) {
      if (admission.shard == nullptr) {
        return;
      }
      const std::uint32_t row = RowNumber(*admission.shard, caller_row);
      if (row < admission.shard->rows.size()) {
        admission.controller.LearnThreshold(row, callee_service, callee_row, threshold,
                                            boot_clock::Now());
      }
    });
  }

  query_reply_message Query(const query_message& query) { return claims_.Query(query); }

  void ReportHealth(const backend_health& health) {
    if (!health.reachable || health.slots == 0) {
      return;
    }
    admission_.With([&](admission_state& admission) {
      admission.controller.ReportBackendCap(health.slots, boot_clock::Now());
    });
  }

  void Drain() { draining_ = true; }

  void Tick(instant now) {
    WithAdmission([&](admission_state& admission, admission_actions& actions) {
      admission.controller.Tick(now, actions);
    });
    if (now - limits_recorded_at_ >= kLimitRecordPeriod) {
      limits_recorded_at_ = now;
      RecordLimitChanges();
    }
  }

  std::vector<row_threshold> Thresholds() {
    return admission_.With([](admission_state& admission) {
      std::vector<row_threshold> thresholds;
      for (std::uint32_t row = 0; admission.shard != nullptr && row < admission.shard->rows.size();
           ++row) {
        thresholds.push_back({admission.shard->rows[row].name,
                              admission.controller.ThresholdOf(row, boot_clock::Now())});
      }
      return thresholds;
    });
  }

  load_report Load() { return Load(nullptr, nullptr); }

  void ApplyShares() {
    const auto shard = CurrentShard();
    if (shard == nullptr) {
      return;
    }
    std::vector<std::uint32_t> usable;
    for (const request_row& row : shard->rows) {
      usable.push_back(shares_.UsableLimit(row.name));
    }
    std::vector<std::uint32_t> waiting(shard->rows.size(), 0);
    admission_.With([&](admission_state& admission) {
      if (admission.shard != shard) {
        return;
      }
      for (std::uint32_t row = 0; row < usable.size(); ++row) {
        admission.controller.SetRowShare(row, usable[row]);
        waiting[row] = admission.controller.queued(row);
      }
    });
    for (std::uint32_t row = 0; row < usable.size(); ++row) {
      if (shard->rows[row].fleet_limit != 0) {
        shares_.SetWaitingCount(shard->rows[row].name, waiting[row]);
      }
    }
  }

  // Includes the threshold of `row`, unless it is null.
  load_report Load(const table_shard* shard, const request_row* row) {
    load_report load;
    admission_.With([&](admission_state& admission) {
      load.in_flight = admission.controller.running() + admission.controller.queued();
      load.limit = admission.controller.limit();
      if (row != nullptr) {
        const std::uint32_t number = RowNumber(admission, *shard, *row);
        load.threshold = admission.controller.ThresholdOf(number, boot_clock::Now()).packed();
      }
    });
    load.window = ClaimWindow();
    load.draining = draining_ ? 1 : 0;
    return load;
  }

  std::uint32_t ClaimWindow() { return claims_.CurrentWindow(); }

  bool draining() const { return draining_; }

  std::uint32_t running() {
    return admission_.With([](admission_state& state) { return state.controller.running(); });
  }
  std::uint32_t queued() {
    return admission_.With([](admission_state& state) { return state.controller.queued(); });
  }
  std::uint32_t limit() {
    return admission_.With([](admission_state& state) { return state.controller.limit(); });
  }

 private:
  static std::size_t BackendThreads(const node_settings& settings) {
    const std::size_t wanted =
        std::max<std::size_t>(settings.backend_slots * 2, settings.backend_connections);
    return std::clamp(wanted, kMinBackendThreads, kMaxBackendThreads);
  }

  std::shared_ptr<const table_shard> CurrentShard() {
    return admission_.With([](admission_state& admission) { return admission.shard; });
  }

  // Finds the row. At the ingress node, also sets rank, deadline and retries from the row.
  result_code Prepare(pending_call& pending) {
    if (pending.shard == nullptr) {
      return result_code::kNoTableYet;
    }
    incoming_call& call = pending.call;
    pending.row = pending.shard->FindRow(call.method, call.target);
    if (pending.row == nullptr) {
      return result_code::kNoSuchRow;
    }
    if (call.is_ingress) {
      ApplyRowDefaults(call, *pending.row);
    }
    if (!pending.row->idempotent && call.claim.empty()) {
      return result_code::kTicketRequired;
    }
    return result_code::kOk;
  }

  void ApplyRowDefaults(incoming_call& call, const request_row& row) {
    const auto hash = random_.With(
        [](random_source& random) { return static_cast<std::uint16_t>(random.Next()); });
    call.rank = call_rank(row.weight, false, hash);
    call.retries = row.retry_allowance;
    call.deadline = std::min(call.deadline, boot_clock::Now() + row.deadline);
  }

  void Offer(call_key key, pending_call pending) {
    offered_call offered{
        .key = key, .row = 0, .rank = pending.call.rank, .deadline = pending.call.deadline};
    const std::shared_ptr<const table_shard> shard = pending.shard;
    const request_row& row = *pending.row;
    {
      ranked_lock lock(calls_mutex_);
      calls_.emplace(key, std::move(pending));
    }
    WithAdmission([&](admission_state& admission, admission_actions& actions) {
      offered.row = RowNumber(admission, *shard, row);
      if (offered.row == admission.shard->rows.size()) {
        // A table update removed the row after it was found.
        actions.refuse.push_back({key, result_code::kNoSuchRow, std::chrono::milliseconds(0)});
        return;
      }
      admission.controller.Offer(offered, boot_clock::Now(), actions);
    });
  }

  // Runs an operation on the controller with the lock held, then executes the resulting
  // actions without a lock.
  template <typename Operation>
  void WithAdmission(Operation&& operation) {
    admission_actions actions;
    admission_.With([&](admission_state& admission) { operation(admission, actions); });
    for (const refused_call& refused : actions.refuse) {
      Refuse(refused);
    }
    for (const call_key key : actions.start) {
      if (!workers_.Submit([this, key] { Run(key); })) {
        Refuse({key, result_code::kRefusedInstanceOnly, std::chrono::milliseconds(0)});
        FinishAdmission(key, run_result::kFailed);
      }
    }
  }

  void FinishAdmission(call_key key, run_result result) {
    WithAdmission([&](admission_state& admission, admission_actions& actions) {
      admission.controller.Finish(key, result, boot_clock::Now(), actions);
    });
  }

  bool TakePending(call_key key, pending_call& into) {
    ranked_lock lock(calls_mutex_);
    const auto found = calls_.find(key);
    if (found == calls_.end()) {
      return false;
    }
    into = std::move(found->second);
    calls_.erase(found);
    return true;
  }

  void Refuse(const refused_call& refused) {
    pending_call pending;
    if (!TakePending(refused.key, pending)) {
      return;
    }
    claims_.MarkNotRun(pending.call.claim, refused.code);
    Reply(pending, MakeNotRunReply(pending.call.request, refused.code, refused.retry_after));
  }

  // Hands the call over to the backend server and answers it. Runs on a worker thread.
  void Run(call_key key) {
    bool cancelled = false;
    pending_call* pending = MarkRunning(key, cancelled);
    if (pending == nullptr) {
      FinishAdmission(key, run_result::kCancelled);
      return;
    }
    reply_message reply = MakeNotRunReply(pending->call.request, result_code::kCallerGone);
    if (cancelled) {
      claims_.MarkNotRun(pending->call.claim, result_code::kCallerGone);
      FinishAdmission(key, run_result::kCancelled);
    } else {
      reply = RunWithinFleetLimit(*pending, key);
    }
    pending_call ended;
    if (TakePending(key, ended)) {
      Reply(ended, std::move(reply));
    }
  }

  reply_message RunWithinFleetLimit(const pending_call& pending, call_key key) {
    const std::string& row = pending.row->name;
    if (boot_clock::Now() >= pending.call.deadline) {
      // The process was paused after admission, so the caller no longer waits.
      return FinishWithoutRun(pending, key, result_code::kDeadlineExceeded, run_result::kTimedOut);
    }
    if (!shares_.TryBeginCall(row, pending.call.deadline)) {
      return FinishWithoutRun(pending, key, result_code::kFleetLimitReached,
                              run_result::kCancelled);
    }
    reply_message reply = MakeNotRunReply(pending.call.request, result_code::kTicketRevoked);
    if (claims_.HandOver(pending.call.claim)) {
      reply = RunOnBackend(pending, key);
    } else {
      FinishAdmission(key, run_result::kCancelled);
    }
    shares_.EndCall(row);
    return reply;
  }

  // Finishes a call that was admitted but not handed over.
  reply_message FinishWithoutRun(const pending_call& pending, call_key key, result_code code,
                                 run_result result) {
    claims_.MarkNotRun(pending.call.claim, code);
    FinishAdmission(key, result);
    return MakeNotRunReply(pending.call.request, code);
  }

  // The map is node-based, so the returned address is valid until this thread removes the
  // entry.
  pending_call* MarkRunning(call_key key, bool& cancelled) {
    ranked_lock lock(calls_mutex_);
    const auto found = calls_.find(key);
    if (found == calls_.end()) {
      return nullptr;
    }
    pending_call& pending = found->second;
    cancelled = pending.cancelled;
    pending.running = std::make_shared<running_request>(
        running_request::request_info{.key = key,
                                      .id = pending.call.request,
                                      .rank = pending.call.rank,
                                      .deadline = pending.call.deadline,
                                      .row = pending.row->name},
        pending.call.retries);
    return &pending;
  }

  reply_message RunOnBackend(const pending_call& pending, call_key key) {
    running_request& running = *pending.running;
    const std::string handle = records_.Add(pending.running);
    RecordAdmission(pending);
    backend_answer answer = backend_.Send(RequestOf(pending, handle), running.cancel());
    records_.Remove(handle);
    FinishAdmission(key, RunResultOf(answer.outcome));
    reply_message reply = ReplyFrom(std::move(answer), pending.call.request);
    reply.retries_left = running.WithRetryAllowance(
        [](const retry_allowance& retries, std::uint32_t) { return retries.left(); });
    claims_.StoreOutcome(pending.call.claim, reply);
    return reply;
  }

  static backend_request RequestOf(const pending_call& pending, const std::string& handle) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(pending.call.deadline -
                                                                            boot_clock::Now());
    backend_request request{.method = pending.call.method,
                            .target = pending.call.target,
                            .headers = pending.call.headers,
                            .body = pending.call.body,
                            .more_body = pending.call.more_body,
                            .deadline = pending.call.deadline,
                            .max_answer_bytes = pending.row->max_answer_bytes,
                            .idempotent = pending.row->idempotent};
    request.headers.push_back({header_names::kContext, handle});
    request.headers.push_back({header_names::kTimeLeft, std::to_string(left.count())});
    return request;
  }

  static reply_message ReplyFrom(backend_answer answer, request_id request) {
    switch (answer.outcome) {
      case backend_outcome::kAnswered: {
        reply_message reply;
        reply.request = request;
        reply.outcome = call_outcome::kCompleted;
        reply.http_status = static_cast<std::uint16_t>(answer.http_status);
        reply.headers = std::move(answer.headers);
        reply.body = std::move(answer.body);
        reply.body_digest = answer.body_digest;
        return reply;
      }
      case backend_outcome::kShed:
      case backend_outcome::kNotSent:
        return MakeNotRunReply(request, result_code::kRefusedInstanceOnly);
      case backend_outcome::kTimedOut:
        return MakeUnknownReply(request, result_code::kDeadlineExceeded);
      case backend_outcome::kAnswerTooLarge:
        return MakeUnknownReply(request, result_code::kAnswerTooLarge);
      case backend_outcome::kCancelled:
        return MakeUnknownReply(request, result_code::kCallerGone);
      case backend_outcome::kNoCompleteAnswer:
        break;
    }
    return MakeUnknownReply(request, result_code::kBackendFailed);
  }

  void Reply(const pending_call& pending, reply_message reply) {
    const std::string_view row =
        pending.row == nullptr ? "none" : std::string_view(pending.row->name);
    reply.request = pending.call.request;
    reply.load = Load(pending.shard.get(), pending.row);
    if (reply.outcome == call_outcome::kNotRun) {
      reply.retries_left = pending.call.retries;
    }
    metrics_.CountServed(row, reply.outcome, reply.code);
    Record(pending, reply, row);
    pending.on_reply(std::move(reply));
  }

  void RecordAdmission(const pending_call& pending) {
    if (!IsSampled(pending.call.request)) {
      return;
    }
    const auto kind =
        pending.call.is_ingress ? event_kind::kRequestEntered : event_kind::kCallAdmitted;
    events_.Add({.kind = kind,
                 .request = pending.call.request,
                 .subject = pending.row->name,
                 .value = pending.call.rank.weight()});
  }

  void Record(const pending_call& pending, const reply_message& reply, std::string_view row) {
    event_kind kind = event_kind::kCallCompleted;
    if (reply.outcome == call_outcome::kUnknown) {
      kind = event_kind::kCallUnknown;
    } else if (!IsSampled(pending.call.request)) {
      return;
    } else if (reply.outcome == call_outcome::kNotRun) {
      kind = event_kind::kCallRefused;
    }
    events_.Add({.when = {},
                 .kind = kind,
                 .code = static_cast<result_code>(reply.code),
                 .request = pending.call.request,
                 .subject = std::string(row),
                 .value = reply.http_status});
  }

  // Records changes of the limit and of the highest threshold at most once per second. Under
  // overload both change with each tick and would displace all other events from the log.
  void RecordLimitChanges() {
    const std::uint32_t new_limit = limit();
    if (new_limit != recorded_limit_) {
      events_.Add({.kind = event_kind::kLimitMoved, .value = new_limit});
      recorded_limit_ = new_limit;
    }
    std::uint16_t weight = 0;
    for (const row_threshold& one : Thresholds()) {
      weight = std::max(weight, one.threshold.weight());
    }
    if (weight != recorded_threshold_weight_) {
      events_.Add({.kind = event_kind::kThresholdMoved, .value = weight});
      recorded_threshold_weight_ = weight;
    }
  }

  bool IsSampled(const request_id& request) const {
    return request.low % settings_.sample_every == 0;
  }

  const node_settings settings_;
  backend_client& backend_;
  share_side& shares_;
  running_request_registry& records_;
  node_metrics& metrics_;
  event_log& events_;
  // Used only by the thread that calls Tick().
  instant limits_recorded_at_;
  std::uint32_t recorded_limit_ = 0;
  std::uint16_t recorded_threshold_weight_ = 0;
  std::atomic<bool> draining_ = false;
  std::atomic<call_key> next_key_ = 1;
  section<admission_state> admission_;
  local_claims claims_;
  section<random_source> random_;
  ranked_mutex calls_mutex_{lock_rank::kNodeCalls};
  // Node-based: Run() holds a pointer to its entry while other entries are added and removed.
  absl::node_hash_map<call_key, pending_call> calls_ ABSL_GUARDED_BY(calls_mutex_);
  worker_pool workers_;
};

serving_side::serving_side(options chosen, backend_client& backend, share_side& shares,
                           running_request_registry& records, node_metrics& metrics,
                           event_log& events)
    : state_(
          std::make_unique<state>(std::move(chosen), backend, shares, records, metrics, events)) {}
serving_side::~serving_side() = default;

void serving_side::UseTable(const table_shard& shard) { state_->UseTable(shard); }

call_key serving_side::Begin(incoming_call call, reply_hook on_reply) {
  return state_->Begin(std::move(call), std::move(on_reply));
}

void serving_side::Cancel(call_key key) { state_->Cancel(key); }
void serving_side::BeginWait(call_key key, std::string_view callee_service) {
  state_->BeginWait(key, callee_service);
}
void serving_side::EndWait(call_key key) { state_->EndWait(key); }

void serving_side::LearnThreshold(std::string_view caller_row, std::string_view callee_service,
                                  std::string_view callee_row, call_rank threshold) {
  state_->LearnThreshold(caller_row, callee_service, callee_row, threshold);
}

query_reply_message serving_side::Query(const query_message& query) { return state_->Query(query); }
void serving_side::ReportHealth(const backend_health& health) { state_->ReportHealth(health); }
void serving_side::Drain() { state_->Drain(); }
void serving_side::Tick(instant now) { state_->Tick(now); }
void serving_side::ApplyShares() { state_->ApplyShares(); }
std::vector<serving_side::row_threshold> serving_side::Thresholds() { return state_->Thresholds(); }
load_report serving_side::Load() { return state_->Load(); }
std::uint32_t serving_side::ClaimWindow() { return state_->ClaimWindow(); }
bool serving_side::draining() const { return state_->draining(); }
std::uint32_t serving_side::running() { return state_->running(); }
std::uint32_t serving_side::queued() { return state_->queued(); }
std::uint32_t serving_side::limit() { return state_->limit(); }

}  // namespace cuminferry
