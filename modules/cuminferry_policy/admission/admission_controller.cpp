#include "cuminferry_policy/admission/admission_controller.h"

#include <algorithm>
#include <utility>

#include "cuminferry_policy/admission/concurrency_limit.h"
#include "cuminferry_policy/admission/learned_thresholds.h"
#include "cuminferry_policy/admission/path_bulkhead.h"
#include "cuminferry_policy/admission/table_change.h"
#include "cuminferry_policy/admission/threshold_controller.h"
#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** A longer gap between ticks means that this process was paused. */
constexpr milliseconds kPause{1000};
constexpr milliseconds kNoRetryHint{0};
constexpr milliseconds kStaticRetryAfter{100};
/** When to come back: this at the threshold, more the less of the load is let in. */
constexpr double kRetryAfterMillis = 100;
constexpr double kLargestRetryFactor = 20;
/** Without an end for so long, a row's quickest run is not used any more. */
constexpr milliseconds kQuickestLasts{500};
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
  explicit state(const options& chosen)
      : mode_(ModeOf(chosen.control)),
        board_(MakeBoard(chosen)),
        limit_(board_),
        threshold_(board_),
        learned_(board_),
        bulkhead_(board_) {
    if (mode_ != control_mode::kFull) {
      board_.limit.limit = chosen.slots;
    }
  }

  //============================================================================
  void UseTable(const table_shard& shard) { UseRows(shard, board_); }

  void SetRowShare(std::uint32_t row, std::uint32_t most_running) {
    RowOf(row).share = most_running;
  }

  void ReportBackendCap(std::uint32_t most_running, instant now) {
    if (mode_ == control_mode::kFull) {
      limit_.OnReport(most_running, now);
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
      NoteDequeued(*taken);
      out.refuse.push_back({key, result_code::kCallerGone, kNoRetryHint});
    }
  }

  void BeginWait(call_key key, std::string_view callee, instant now, admission_actions& out) {
    const auto found = board_.calls.running.find(key);
    if (found == board_.calls.running.end()) {
      return;
    }
    running_call& call = found->second;
    if (++call.waits > 1) {
      return;
    }
    call.wait_began = now;
    ++board_.calls.waiting;
    bulkhead_.BeginWait(call, callee);
    StartQueued(now, out);
  }

  void EndWait(call_key key, instant now) {
    const auto found = board_.calls.running.find(key);
    if (found == board_.calls.running.end() || found->second.waits == 0) {
      return;
    }
    if (--found->second.waits == 0) {
      StopWaiting(found->second, now);
    }
  }

  void Finish(call_key key, run_result result, instant now, admission_actions& out) {
    const auto found = board_.calls.running.find(key);
    if (found == board_.calls.running.end()) {
      return;
    }
    running_call& call = found->second;
    if (call.waits > 0) {
      call.waits = 0;
      StopWaiting(call, now);
    }
    const running_call ended = call;
    board_.calls.running.erase(found);
    --RowOf(ended.row).running;
    if (mode_ == control_mode::kFull) {
      LearnFromEnd(ended, result, now);
    }
    StartQueued(now, out);
  }

  void Tick(instant now, admission_actions& out) {
    if (last_tick_ != instant() && now - last_tick_ > kPause) {
      ForgetLoad(now);
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
    return std::max(board_.threshold.own, learned_.Of(row, now));
  }

  std::uint32_t running() const { return board_.running(); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(board_.queue.size()); }
  std::uint32_t queued(std::uint32_t row) const {
    return row < board_.rows.rows.size() ? board_.rows.rows[row].queued : 0;
  }
  std::uint32_t limit() const { return static_cast<std::uint32_t>(board_.limit.limit); }

 private:
  static admission_blackboard MakeBoard(const options& chosen) {
    admission_blackboard board;
    board.fixed.slots = std::max<std::uint32_t>(1, chosen.slots);
    board.fixed.queue_bound = chosen.queue_bound;
    board.calls.running.reserve(board.fixed.slots);
    board.queue.Reserve(chosen.queue_bound);
    return board;
  }

  /** Rows not known by the table yet are kept as rows without limits. */
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
    const bool apart = board_.IsBounded(call.row);
    if (!apart) {
      board_.offered.Record(call.rank);
    }
    if (now + QuickestRun(call.row, now) > call.deadline) {
      out.refuse.push_back({call.key, result_code::kDeadlineExceeded, kNoRetryHint});
      return;
    }
    if (!call.rank.under_way() && IsBelowThreshold(call, now)) {
      out.refuse.push_back(Overload(call.key, call.row, call.rank, now));
      return;
    }
    if (board_.queued_together() == 0 && MayStart(call.row)) {
      Start(call.key, call.row, call.rank, now, out);
      return;
    }
    const duration wait = threshold_.WaitBehind(board_.queue.CountAhead(call.rank));
    if (now + wait + QuickestRun(call.row, now) > call.deadline) {
      out.refuse.push_back(Overload(call.key, call.row, call.rank, now));
      return;
    }
    Enqueue(call, call.rank, now);
    StartQueued(now, out);
    EvictLowest(call.row, now, out);
  }

  /** The own threshold binds only where the queue is as long as it is meant to be,
      as in a shorter one a slot might stay free, and where nothing of a lower
      weight waits, as that is to be evicted first. */
  bool IsBelowThreshold(const offered_call& call, instant now) {
    const double queued = static_cast<double>(board_.queued_together());
    const bool queue_is_long = queued >= threshold_.AimedQueue();
    const bool goes_first = call.rank.weight() > LowestWeight(false);
    if (queue_is_long && !goes_first && !board_.IsBounded(call.row) &&
        call.rank < board_.threshold.own) {
      return true;
    }
    const call_rank learned = learned_.Of(call.row, now).ForNewRequests();
    if (learned == call_rank()) {
      return false;
    }
    const bool below = call.rank < std::max(learned, board_.threshold.answered);
    return below && !learned_.TakeProbe(call.row, now);
  }

  /** Keeps the queue short: of what waits in it together, the lowest rank goes. */
  void EvictLowest(std::uint32_t row, instant now, admission_actions& out) {
    const row_record& record = board_.rows.rows[row];
    const bool apart = board_.IsBounded(row);
    const std::size_t together = apart ? board_.queued_apart : board_.queued_together();
    const std::size_t most =
        apart ? bulkhead_.LongestApart() : threshold_.LongestQueue(LowestWeight(apart), now);
    if (together > most) {
      EvictFirst(now, out,
                 [&](const queued_call& call) { return board_.IsBounded(call.row) == apart; });
    } else if (record.queued > std::max<std::uint32_t>(1, record.limit())) {
      EvictFirst(now, out, [&](const queued_call& call) { return call.row == row; });
      out.refuse.back().code = result_code::kFleetLimitReached;
    }
  }

  std::uint16_t LowestWeight(bool apart) const {
    for (const queued_call& call : board_.queue.calls()) {
      if (board_.IsBounded(call.row) == apart) {
        return call.rank.weight();
      }
    }
    return 0;
  }

  template <typename Condition>
  void EvictFirst(instant now, admission_actions& out, Condition&& condition) {
    const std::vector<queued_call>& calls = board_.queue.calls();
    const auto lowest = std::find_if(calls.begin(), calls.end(), condition);
    if (lowest != calls.end()) {
      RefuseAt(static_cast<std::size_t>(lowest - calls.begin()), now, out);
    }
  }

  void RefuseAt(std::size_t place, instant now, admission_actions& out) {
    const queued_call call = Dequeue(place);
    out.refuse.push_back(Overload(call.key, call.row, call.rank, now));
  }

  /** A refusal for load. The less of what is offered is let in, the later the
      caller should come back; the request's hash spreads the callers. */
  refused_call Overload(call_key key, std::uint32_t row, call_rank rank, instant now) {
    const call_rank threshold =
        std::max(board_.threshold.own, learned_.Of(row, now).ForNewRequests());
    const double above = board_.offered.RateAbove(threshold);
    const double offered = board_.offered.rate();
    const double factor = std::clamp(offered / std::max(above, 1.0), 1.0, kLargestRetryFactor);
    const double jitter = 0.5 + rank.hash() / 65536.0;
    const auto millis = static_cast<std::int64_t>(kRetryAfterMillis * factor * jitter);
    return {key, result_code::kRefusedOverload, milliseconds(millis)};
  }

  //============================================================================
  bool MayStart(std::uint32_t row) const {
    const row_record& record = board_.rows.rows[row];
    return board_.HasRoom() && record.running < record.limit() && !bulkhead_.Holds(row);
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
    board_.queued_apart += board_.IsBounded(call.row) ? 1 : 0;
  }

  queued_call Dequeue(std::size_t place) {
    const queued_call call = board_.queue.TakeAt(place);
    NoteDequeued(call);
    return call;
  }

  void NoteDequeued(const queued_call& call) {
    --board_.rows.rows[call.row].queued;
    board_.queued_apart -= board_.IsBounded(call.row) && board_.queued_apart > 0 ? 1 : 0;
  }

  /** Starts the highest ranks while there is room, passing over rows that are
      held back by a limit of their own. */
  void StartQueued(instant now, admission_actions& out) {
    std::size_t place = board_.queue.size();
    while (place > 0 && board_.HasRoom()) {
      --place;
      if (!MayStart(board_.queue.calls()[place].row)) {
        continue;
      }
      const queued_call call = Dequeue(place);
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
    return now + QuickestRun(call.row, now) <= call.deadline;
  }

  /** The least time that a call of the row takes at present; 0 where unknown. */
  duration QuickestRun(std::uint32_t row, instant now) const {
    const row_record& record = board_.rows.rows[row];
    return now - record.last_end > kQuickestLasts ? duration(0) : record.quickest.value();
  }

  void StopWaiting(running_call& call, instant now) {
    call.waited += now - call.wait_began;
    --board_.calls.waiting;
    bulkhead_.EndWait(call);
  }

  void LearnFromEnd(const running_call& call, run_result result, instant now) {
    const duration hold = now - call.started;
    const bool overloaded = result == run_result::kOverload;
    learned_.OnEnded(call.row);
    if (!overloaded) {
      threshold_.OnEnded();
    }
    if (result == run_result::kCancelled) {
      return;
    }
    limit_.OnEnded(call, overloaded, hold - call.waited, hold, now);
    if (result == run_result::kAnswered) {
      threshold_.OnAnswered();
      FollowQuickest(board_.rows.rows[call.row], hold, now);
    }
  }

  static void FollowQuickest(row_record& row, duration hold, instant now) {
    row.last_end = now;
    row.quickest.Add(hold);
  }

  //============================================================================
  template <typename Condition>
  void RefuseWhere(result_code code, admission_actions& out, Condition&& condition) {
    std::erase_if(board_.queue.calls(), [&](const queued_call& call) {
      if (!condition(call)) {
        return false;
      }
      NoteDequeued(call);
      out.refuse.push_back({call.key, code, kNoRetryHint});
      return true;
    });
  }

  void RefuseExpired(instant now, admission_actions& out) {
    RefuseWhere(result_code::kDeadlineExceeded, out,
                [&](const queued_call& call) { return call.deadline <= now; });
  }

  /** A call below the threshold that has waited about as long as a call runs will
      not come to its turn: its caller is told now instead of near its deadline.
      Never one of a higher weight before all of the lower ones. */
  void RefuseStale(instant now, admission_actions& out) {
    const auto longest = std::max<duration>(
        milliseconds(50), duration(static_cast<std::int64_t>(board_.limit.hold_micros)));
    std::optional<std::uint16_t> kept;
    std::size_t place = 0;
    while (place < board_.queue.size()) {
      const queued_call& call = board_.queue.calls()[place];
      if (call.rank >= board_.threshold.own ||
          call.rank.weight() > kept.value_or(call.rank.weight())) {
        return;
      }
      if (now - call.arrived > longest) {
        RefuseAt(place, now, out);
      } else {
        kept = call.rank.weight();
        ++place;
      }
    }
  }

  // After a pause of this process the load, the callees and the thresholds are
  // others than before. Refusing on the old ones would show as refusals by an
  // idle instance.
  void ForgetLoad(instant now) {
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

admission_controller::admission_controller(options chosen)
    : state_(std::make_unique<state>(chosen)) {}
admission_controller::~admission_controller() = default;
admission_controller::admission_controller(admission_controller&&) noexcept = default;
admission_controller& admission_controller::operator=(admission_controller&&) noexcept = default;

void admission_controller::UseTable(const table_shard& shard, instant /*now*/) {
  state_->UseTable(shard);
}
void admission_controller::SetRowShare(std::uint32_t row, std::uint32_t most_running) {
  state_->SetRowShare(row, most_running);
}
void admission_controller::ReportBackendCap(std::uint32_t most_running, instant now) {
  state_->ReportBackendCap(most_running, now);
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
