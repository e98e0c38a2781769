#include "cuminferry_relay/path/decision_log.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminferry {
namespace {

// A pipe accepts this much in one write; readers may see a longer write in parts.
constexpr std::size_t kMaxBatchBytes = 16 * 1024;

// Token bucket for log lines: refilled evenly, with a capacity of one second's lines.
class line_budget {
 public:
  explicit line_budget(double lines_per_second)
      : lines_per_second_(lines_per_second), available_lines_(lines_per_second) {}

  bool Take(instant now) {
    if (refilled_at_ != instant{}) {
      const double seconds = ToSeconds(now - refilled_at_);
      available_lines_ =
          std::min(lines_per_second_, available_lines_ + seconds * lines_per_second_);
    }
    refilled_at_ = now;
    if (available_lines_ < 1.0) {
      return false;
    }
    available_lines_ -= 1.0;
    return true;
  }

 private:
  double lines_per_second_;
  double available_lines_;
  instant refilled_at_{};
};

}  // namespace

double RoundForLog(double figure) {
  constexpr double kThousandths = 1000.0;
  return std::round(figure * kThousandths) / kThousandths;
}

struct decision_log::state {
  event_loop& loop;
  std::string instance;
  loop_timer flush;
  std::shared_ptr<spdlog::details::thread_pool> writer;
  std::shared_ptr<spdlog::async_logger> logger;
  std::string batch;
  line_budget ordinary_budget{kMaxOrdinaryLinesPerSecond};
  line_budget notable_budget{kMaxNotableLinesPerSecond};
  line_budget evidence_budget{kMaxEvidenceLinesPerSecond};
  std::uint64_t left_out = 0;
  std::uint64_t evidence_left_out = 0;

  state(event_loop& loop, std::string instance)
      : loop(loop), instance(std::move(instance)), flush(loop) {}

  void Append(std::string_view event, const nlohmann::ordered_json& detail) {
    nlohmann::ordered_json line;
    // The time of day is for human readers only, because it may jump.
    line["time_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    line["boot_us"] = ToMicros(loop.Now());
    line["instance"] = instance;
    line["event"] = event;
    line.update(detail);
    batch += line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    batch += '\n';
    if (batch.size() >= kMaxBatchBytes) {
      PassBatchToWriter();
    }
  }

  void PassBatchToWriter() {
    logger->info(spdlog::string_view_t(batch));
    batch.clear();
  }
};

decision_log::decision_log(event_loop& loop, std::string instance)
    : state_(std::make_unique<state>(loop, std::move(instance))) {
  state_->writer = std::make_shared<spdlog::details::thread_pool>(kMaxQueuedBatches, 1);
  state_->logger = std::make_shared<spdlog::async_logger>(
      "decisions", std::make_shared<spdlog::sinks::stdout_sink_st>(), state_->writer,
      spdlog::async_overflow_policy::overrun_oldest);
  // Each line of a batch already ends with a newline.
  state_->logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      "%v", spdlog::pattern_time_type::local, std::string()));
  state_->logger->flush_on(spdlog::level::info);
  state_->flush.StartPeriodic(kFlushPeriod, [this] { Flush(); });
}

decision_log::~decision_log() { Flush(); }

bool decision_log::TryReserveLine(line_kind kind) {
  const bool is_evidence = kind == line_kind::kEvidence;
  line_budget& budget = is_evidence                   ? state_->evidence_budget
                        : kind == line_kind::kNotable ? state_->notable_budget
                                                      : state_->ordinary_budget;
  const bool wanted = budget.Take(state_->loop.Now());
  state_->left_out += wanted ? 0 : 1;
  state_->evidence_left_out += !wanted && is_evidence ? 1 : 0;
  return wanted;
}

void decision_log::LogRequest(std::string_view event, nlohmann::ordered_json detail) {
  state_->Append(event, detail);
}

void decision_log::LogChange(std::string_view event, nlohmann::ordered_json detail) {
  state_->Append(event, detail);
}

void decision_log::Flush() {
  if (state_->left_out > 0) {
    state_->Append("log.left_out", {{"lines", state_->left_out},
                                    {"evidence", state_->evidence_left_out},
                                    {"batches_lost", state_->writer->overrun_counter()}});
    state_->left_out = 0;
    state_->evidence_left_out = 0;
  }
  if (!state_->batch.empty()) {
    state_->PassBatchToWriter();
  }
}

}  // namespace cuminferry
