#include "cuminferry_policy/admission/admission_controller.h"

#include <algorithm>
#include <utility>

#include "cuminferry_policy/admission/concurrency_limit.h"
#include "cuminferry_policy/admission/learned_thresholds.h"
#include "cuminferry_policy/admission/path_bulkhead.h"
#include "cuminferry_policy/admission/row_replacement.h"
#include "cuminferry_policy/admission/threshold_controller.h"
#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** A longer gap between two ticks means that this process was paused. */
constexpr milliseconds kMinPause{1000};
constexpr milliseconds kNoRetryHint{0};
constexpr milliseconds kStaticRetryAfter{100};
/** Retry-after time at the threshold, in milliseconds. It grows as the admitted fraction of the
    load falls. */
constexpr double kBaseRetryAfterMillis = 100;
constexpr double kMaxRetryFactor = 20;
/** The minimum hold time of a row is ignored if no call of the row has finished for this long. */
constexpr milliseconds kMinHoldValidity{500};
enum class control_mode : std::uint8_t { kFull, kStatic, kNone };

control_mode ModeOf(const std::string& name) {
  if (name == "none") {
    return control_mode::kNone;
  }
  return name == "static" ? control_mode::kStatic : control_mode::kFull;
}

}  // namespace

class admission_controller::state {
 public:
  explicit state(const options& initial)
      : mode_(ModeOf(initial.control)),
        board_(MakeBoard(initial)),
        limit_(board_),
        threshold_(board_),
        learned_(board_),
        bulkhead_(board_) {
    if (mode_ != control_mode::kFull) {
      board_.limit.limit = initial.slots;
    }
  }

  //============================================================================
  void UseTable(const table_shard& shard) { ReplaceRows(shard, board_); }

  void SetRowShare(std::uint32_t row, std::uint32_t max_running) { RowOf(row).share = max_running; }

  void ReportBackendCap(std::uint32_t max_running, instant now) {
    if (mode_ == control_mode::kFull) {
      limit_.OnReport(max_running, now);
    }
  }

  //============================================================================
  void Offer(const offered_call& call, instant now, admission_actions& out) {
    RowOf(call.row).last_offer = now;
    if (draining_) {
      out.refuse.push_back({call.key, result_code::kRefusedDraining, kNoRetryHint});
      return;
    }
    if (call.deadline <= now) {
      out.refuse.push_back({call.key, result_code::kDeadlineExceeded, kNoRetryHint});
      return;
    }
    if (board_.rows.rows[call.row].limit() == 0) {
      out.refuse.push_back({call.key, result_code::kFleetLimitReached, kStaticRetryAfter});
      return;
    }
    switch (mode_) {
      case control_mode::kNone:
        Start(call.key, call.row, call.rank, now, out);
        return;
      case control_mode::kStatic:
        OfferFifo(call, now, out);
        return;
      case control_mode::kFull:
        OfferRanked(call, now, out);
        return;
    }
  }

  void Abandon(call_key key, admission_actions& out) {
    const std::optional<queued_call> taken = board_.queue.TakeKey(key);
    if (taken.has_value()) {
      CountDequeued(*taken);
      out.refuse.push_back({key, result_code::kCallerGone, kNoRetryHint});
    }
  }

  void BeginWait(call_key key, std::string_view callee, instant now, admission_actions& out) {
    const auto found = board_.calls.running.find(key);
    if (found == board_.calls.running.end()) {
      return;
    }
    running_call& call = found->second;
    if (++call.outstanding_calls > 1) {
      return;
    }
    call.wait_started = now;
    ++board_.calls.waiting;
    bulkhead_.BeginWait(call, callee);
    StartQueued(now, out);
  }

  void EndWait(call_key key, instant now) {
    const auto found = board_.calls.running.find(key);
    if (found == board_.calls.running.end() || found->second.outstanding_calls == 0) {
      return;
    }
    if (--found->second.outstanding_calls == 0) {
      StopWaiting(found->second, now);
    }
  }

  void Finish(call_key key, run_result result, instant now, admission_actions& out) {
    const auto found = board_.calls.running.find(key);
    if (found == board_.calls.running.end()) {
      return;
    }
    running_call& call = found->second;
    if (call.outstanding_calls > 0) {
      call.outstanding_calls = 0;
      StopWaiting(call, now);
    }
    const running_call finished_call = call;
    board_.calls.running.erase(found);
    --RowOf(finished_call.row).running;
    if (mode_ == control_mode::kFull) {
      LearnFromOutcome(finished_call, result, now);
    }
    StartQueued(now, out);
  }

  void Tick(instant now, admission_actions& out) {
    if (last_tick_ != instant() && now - last_tick_ > kMinPause) {
      ForgetLoadHistory(now);
    }
    last_tick_ = now;
    if (mode_ == control_mode::kFull) {
      limit_.OnTick(now);
      threshold_.OnTick(now);
      bulkhead_.OnTick(now);
      RefuseStale(now, out);
    }
    RefuseExpired(now, out);
    StartQueued(now, out);
  }

  void Drain(admission_actions& out) {
    draining_ = true;
    RefuseWhere(result_code::kRefusedDraining, out, [](const queued_call&) { return true; });
  }

  //============================================================================
  void LearnThreshold(std::uint32_t row, std::string_view service, std::string_view callee_row,
                      call_rank threshold, instant now) {
    if (mode_ == control_mode::kFull) {
      learned_.Learn(row, service, callee_row, threshold, now);
    }
  }

  call_rank ThresholdOf(std::uint32_t row, instant now) const {
    return std::max(board_.threshold.own, learned_.ThresholdFor(row, now));
  }

  std::uint32_t running() const { return board_.running(); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(board_.queue.size()); }
  std::uint32_t queued(std::uint32_t row) const {
    return row < board_.rows.rows.size() ? board_.rows.rows[row].queued : 0;
  }
  std::uint32_t limit() const { return static_cast<std::uint32_t>(board_.limit.limit); }

 private:
  static admission_blackboard MakeBoard(const options& initial) {
    admission_blackboard board;
    board.fixed.slots = std::max<std::uint32_t>(1, initial.slots);
    board.fixed.queue_bound = initial.queue_bound;
    board.calls.running.reserve(board.fixed.slots);
    board.queue.Reserve(initial.queue_bound);
    return board;
  }

  /** Returns the record of a row. A row that the table doesn't define yet gets a record without
      limits. */
  row_record& RowOf(std::uint32_t row) {
    if (row >= board_.rows.rows.size()) {
      board_.rows.rows.resize(row + 1);
      board_.paths.rows.resize(row + 1);
    }
    return board_.rows.rows[row];
  }

  //============================================================================
  void OfferFifo(const offered_call& call, instant now, admission_actions& out) {
    if (board_.queue.empty() && MayStart(call.row)) {
      Start(call.key, call.row, call.rank, now, out);
      return;
    }
    if (board_.queue.size() >= board_.fixed.queue_bound) {
      out.refuse.push_back({call.key, result_code::kRefusedOverload, kStaticRetryAfter});
      return;
    }
    Enqueue(call, call_rank(), now);
    StartQueued(now, out);
  }

  void OfferRanked(const offered_call& call, instant now, admission_actions& out) {
    const bool behind_bulkhead = board_.IsBehindBulkhead(call.row);
    if (!behind_bulkhead) {
      board_.offered.Record(call.rank);
    }
    if (now + MinHoldTime(call.row, now) > call.deadline) {
      out.refuse.push_back({call.key, result_code::kDeadlineExceeded, kNoRetryHint});
      return;
    }
    if (!call.rank.under_way() && IsBelowThreshold(call, now)) {
      out.refuse.push_back(OverloadRefusal(call.key, call.row, call.rank, now));
      return;
    }
    if (board_.queued_outside_bulkheads() == 0 && MayStart(call.row)) {
      Start(call.key, call.row, call.rank, now, out);
      return;
    }
    const duration wait = threshold_.ExpectedWait(board_.queue.CountAhead(call.rank));
    if (now + wait + MinHoldTime(call.row, now) > call.deadline) {
      out.refuse.push_back(OverloadRefusal(call.key, call.row, call.rank, now));
      return;
    }
    Enqueue(call, call.rank, now);
    StartQueued(now, out);
    EvictLowest(call.row, now, out);
  }

  /** Returns whether a new call is refused because of a threshold. The node's own threshold applies
      only while the queue has reached its desired length, as a slot might stay free with a shorter
      queue. It also applies only while no call of a lower weight is queued, as that call has to be
      evicted first. */
  bool IsBelowThreshold(const offered_call& call, instant now) {
    const double queued = static_cast<double>(board_.queued_outside_bulkheads());
    const bool queue_is_long = queued >= threshold_.DesiredQueueLength();
    const bool outranks_queue = call.rank.weight() > LowestWeight(false);
    if (queue_is_long && !outranks_queue && !board_.IsBehindBulkhead(call.row) &&
        call.rank < board_.threshold.own) {
      return true;
    }
    const call_rank learned = learned_.ThresholdFor(call.row, now).ForNewRequests();
    if (learned == call_rank()) {
      return false;
    }
    const bool below = call.rank < std::max(learned, board_.threshold.answer_rate_threshold);
    return below && !learned_.TakeProbe(call.row, now);
  }

  /** Bounds the queue that the row's calls share, by evicting its call of the lowest rank. */
  void EvictLowest(std::uint32_t row, instant now, admission_actions& out) {
    const row_record& record = board_.rows.rows[row];
    const bool behind_bulkhead = board_.IsBehindBulkhead(row);
    const std::size_t queue_length =
        behind_bulkhead ? board_.queued_behind_bulkhead : board_.queued_outside_bulkheads();
    const std::size_t max_length =
        behind_bulkhead ? bulkhead_.MaxBulkheadQueue()
                        : threshold_.MaxQueueLength(LowestWeight(behind_bulkhead), now);
    if (queue_length > max_length) {
      EvictLowestMatching(now, out, [&](const queued_call& call) {
        return board_.IsBehindBulkhead(call.row) == behind_bulkhead;
      });
    } else if (record.queued > std::max<std::uint32_t>(1, record.limit())) {
      EvictLowestMatching(now, out, [&](const queued_call& call) { return call.row == row; });
      out.refuse.back().code = result_code::kFleetLimitReached;
    }
  }

  std::uint16_t LowestWeight(bool behind_bulkhead) const {
    for (const queued_call& call : board_.queue.calls()) {
      if (board_.IsBehindBulkhead(call.row) == behind_bulkhead) {
        return call.rank.weight();
      }
    }
    return 0;
  }

  template <typename Condition>
  void EvictLowestMatching(instant now, admission_actions& out, Condition&& condition) {
    const std::vector<queued_call>& calls = board_.queue.calls();
    const auto lowest = std::find_if(calls.begin(), calls.end(), condition);
    if (lowest != calls.end()) {
      RefuseAt(static_cast<std::size_t>(lowest - calls.begin()), now, out);
    }
  }

  void RefuseAt(std::size_t index, instant now, admission_actions& out) {
    const queued_call call = Dequeue(index);
    out.refuse.push_back(OverloadRefusal(call.key, call.row, call.rank, now));
  }

  /** Returns a refusal because of load. The smaller the admitted fraction of the offered load, the
      longer the retry-after time; the request's hash spreads the retries of different callers. */
  refused_call OverloadRefusal(call_key key, std::uint32_t row, call_rank rank, instant now) {
    const call_rank threshold =
        std::max(board_.threshold.own, learned_.ThresholdFor(row, now).ForNewRequests());
    const double admitted_rate = board_.offered.RateAbove(threshold);
    const double offered = board_.offered.rate();
    const double factor = std::clamp(offered / std::max(admitted_rate, 1.0), 1.0, kMaxRetryFactor);
    const double jitter = 0.5 + rank.hash() / 65536.0;
    const auto millis = static_cast<std::int64_t>(kBaseRetryAfterMillis * factor * jitter);
    return {key, result_code::kRefusedOverload, milliseconds(millis)};
  }

  //============================================================================
  bool MayStart(std::uint32_t row) const {
    const row_record& record = board_.rows.rows[row];
    return board_.HasCapacity() && record.running < record.limit() && !bulkhead_.BlocksRow(row);
  }

  void Start(call_key key, std::uint32_t row, call_rank rank, instant now, admission_actions& out) {
    board_.offered.RecordStart(rank, now);
    running_call call;
    call.row = row;
    call.epoch = board_.limit.epoch;
    call.started = now;
    board_.calls.running.emplace(key, call);
    ++board_.rows.rows[row].running;
    out.start.push_back(key);
  }

  void Enqueue(const offered_call& call, call_rank rank, instant now) {
    queued_call waiting;
    waiting.key = call.key;
    waiting.rank = rank;
    waiting.row = call.row;
    waiting.deadline = call.deadline;
    waiting.arrived = now;
    board_.queue.Insert(waiting);
    ++board_.rows.rows[call.row].queued;
    board_.queued_behind_bulkhead += board_.IsBehindBulkhead(call.row) ? 1 : 0;
  }

  queued_call Dequeue(std::size_t index) {
    const queued_call call = board_.queue.TakeAt(index);
    CountDequeued(call);
    return call;
  }

  void CountDequeued(const queued_call& call) {
    --board_.rows.rows[call.row].queued;
    board_.queued_behind_bulkhead -=
        board_.IsBehindBulkhead(call.row) && board_.queued_behind_bulkhead > 0 ? 1 : 0;
  }

  /** Starts the calls of the highest ranks while there is capacity, skipping calls of rows that
      have reached a limit of their own. */
  void StartQueued(instant now, admission_actions& out) {
    std::size_t index = board_.queue.size();
    while (index > 0 && board_.HasCapacity()) {
      --index;
      if (!MayStart(board_.queue.calls()[index].row)) {
        continue;
      }
      const queued_call call = Dequeue(index);
      if (CanStillFinish(call, now)) {
        Start(call.key, call.row, call.rank, now, out);
      } else {
        out.refuse.push_back({call.key, result_code::kDeadlineExceeded, kNoRetryHint});
      }
    }
  }

  bool CanStillFinish(const queued_call& call, instant now) const {
    if (mode_ != control_mode::kFull) {
      return call.deadline > now;
    }
    return now + MinHoldTime(call.row, now) <= call.deadline;
  }

  /** Returns the minimum time that a call of the row currently takes; 0 if unknown. */
  duration MinHoldTime(std::uint32_t row, instant now) const {
    const row_record& record = board_.rows.rows[row];
    return now - record.last_finished > kMinHoldValidity ? duration(0) : record.min_hold.value();
  }

  void StopWaiting(running_call& call, instant now) {
    call.waited += now - call.wait_started;
    --board_.calls.waiting;
    bulkhead_.EndWait(call);
  }

  void LearnFromOutcome(const running_call& call, run_result result, instant now) {
    const duration hold = now - call.started;
    const bool overloaded = result == run_result::kOverload;
    learned_.OnFinished(call.row);
    if (!overloaded) {
      threshold_.OnFinished();
    }
    if (result == run_result::kCancelled) {
      return;
    }
    limit_.OnFinished(call, overloaded, hold - call.waited, hold, now);
    if (result == run_result::kAnswered) {
      threshold_.OnAnswered();
      UpdateMinHold(board_.rows.rows[call.row], hold, now);
    }
  }

  static void UpdateMinHold(row_record& row, duration hold, instant now) {
    row.last_finished = now;
    row.min_hold.Add(hold);
  }

  //============================================================================
  template <typename Condition>
  void RefuseWhere(result_code code, admission_actions& out, Condition&& condition) {
    std::erase_if(board_.queue.calls(), [&](const queued_call& call) {
      if (!condition(call)) {
        return false;
      }
      CountDequeued(call);
      out.refuse.push_back({call.key, code, kNoRetryHint});
      return true;
    });
  }

  void RefuseExpired(instant now, admission_actions& out) {
    RefuseWhere(result_code::kDeadlineExceeded, out,
                [&](const queued_call& call) { return call.deadline <= now; });
  }

  /** Refuses queued calls below the threshold that have waited about as long as a call runs. Such a
      call is unlikely to start before its deadline, so its caller is informed now. A call of a
      higher weight is never refused before all calls of lower weights. */
  void RefuseStale(instant now, admission_actions& out) {
    const auto max_wait = std::max<duration>(
        milliseconds(50), duration(static_cast<std::int64_t>(board_.limit.hold_micros)));
    std::optional<std::uint16_t> retained_weight;
    std::size_t index = 0;
    while (index < board_.queue.size()) {
      const queued_call& call = board_.queue.calls()[index];
      if (call.rank >= board_.threshold.own ||
          call.rank.weight() > retained_weight.value_or(call.rank.weight())) {
        return;
      }
      if (now - call.arrived > max_wait) {
        RefuseAt(index, now, out);
      } else {
        retained_weight = call.rank.weight();
        ++index;
      }
    }
  }

  // After a pause of this process the load, the callees and the thresholds differ from those before
  // it. If the node refused requests on outdated values, an idle instance would refuse them.
  void ForgetLoadHistory(instant now) {
    threshold_.Reset(now);
    learned_.Reset();
  }

  control_mode mode_;
  admission_blackboard board_;
  concurrency_limit limit_;
  threshold_controller threshold_;
  learned_thresholds learned_;
  path_bulkhead bulkhead_;
  bool draining_ = false;
  instant last_tick_;
};

admission_controller::admission_controller(options initial)
    : state_(std::make_unique<state>(initial)) {}
admission_controller::~admission_controller() = default;
admission_controller::admission_controller(admission_controller&&) noexcept = default;
admission_controller& admission_controller::operator=(admission_controller&&) noexcept = default;

void admission_controller::UseTable(const table_shard& shard, instant /*now*/) {
  state_->UseTable(shard);
}
void admission_controller::SetRowShare(std::uint32_t row, std::uint32_t max_running) {
  state_->SetRowShare(row, max_running);
}
void admission_controller::ReportBackendCap(std::uint32_t max_running, instant now) {
  state_->ReportBackendCap(max_running, now);
}

void admission_controller::Offer(const offered_call& call, instant now, admission_actions& out) {
  state_->Offer(call, now, out);
}
void admission_controller::Abandon(call_key key, instant /*now*/, admission_actions& out) {
  state_->Abandon(key, out);
}
void admission_controller::BeginWait(call_key key, instant now, admission_actions& out) {
  state_->BeginWait(key, {}, now, out);
}
void admission_controller::BeginWait(call_key key, std::string_view callee_service, instant now,
                                     admission_actions& out) {
  state_->BeginWait(key, callee_service, now, out);
}
void admission_controller::EndWait(call_key key, instant now, admission_actions& /*out*/) {
  state_->EndWait(key, now);
}
void admission_controller::Finish(call_key key, run_result result, instant now,
                                  admission_actions& out) {
  state_->Finish(key, result, now, out);
}
void admission_controller::Tick(instant now, admission_actions& out) { state_->Tick(now, out); }
void admission_controller::Drain(instant /*now*/, admission_actions& out) { state_->Drain(out); }

void admission_controller::LearnThreshold(std::uint32_t caller_row, std::string_view callee_service,
                                          std::string_view callee_row, call_rank threshold,
                                          instant now) {
  state_->LearnThreshold(caller_row, callee_service, callee_row, threshold, now);
}
call_rank admission_controller::ThresholdOf(std::uint32_t row, instant now) const {
  return state_->ThresholdOf(row, now);
}

std::uint32_t admission_controller::running() const { return state_->running(); }
std::uint32_t admission_controller::queued() const { return state_->queued(); }
std::uint32_t admission_controller::queued(std::uint32_t row) const { return state_->queued(row); }
std::uint32_t admission_controller::limit() const { return state_->limit(); }

}  // namespace cuminferry
