#include "soak/site_worker.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTickPeriod = milliseconds(5);
// Requests that are open when the last one was sent get their answers in this time.
constexpr duration kEndTime = seconds(7);
constexpr double kSkew = 1.2;
constexpr double kHotShare = 0.8;
constexpr double kNewConnectionShare = 0.15;
constexpr double kChunkedShare = 0.3;
constexpr double kPiecesShare = 0.3;
constexpr int kMaxPieces = 4;
constexpr duration kAbandonAfter = milliseconds(150);
constexpr duration kMaxRetryDelay = milliseconds(400);
constexpr duration kMaxDeadline = seconds(5);
constexpr int kDeadlineFactor = 3;
// Numbers of backend servers are unique: that of the machine and of its start.
constexpr std::size_t kMaxMachines = 1'000;

target_fault Combine(const target_fault& a, const target_fault& b) {
  return {.work_factor = std::max(a.work_factor, b.work_factor),
          .lost_answers = std::max(a.lost_answers, b.lost_answers),
          .truncated_answers = std::max(a.truncated_answers, b.truncated_answers),
          .invalid_answers = std::max(a.invalid_answers, b.invalid_answers),
          .duplicate_answers = std::max(a.duplicate_answers, b.duplicate_answers),
          .rejections = std::max(a.rejections, b.rejections),
          .late_rejections = std::max(a.late_rejections, b.late_rejections),
          .early_rejections = std::max(a.early_rejections, b.early_rejections),
          .mute_answers = std::max(a.mute_answers, b.mute_answers),
          .passed_on_refusals = std::max(a.passed_on_refusals, b.passed_on_refusals),
          .forgotten_after = std::max(a.forgotten_after, b.forgotten_after)};
}

bool IsActive(const site_event& event, duration now) {
  return now >= event.start && now < event.start + event.span;
}

}  // namespace

struct site_worker::machine {
  std::size_t number = 0;
  std::size_t starts = 0;
  std::unique_ptr<soak_target> target;
  std::unique_ptr<soak_client> clients;
};

site_worker::site_worker(const site_layout& layout, std::size_t number,
                         const std::vector<site_event>& plan, std::uint64_t seed,
                         soak_ledger& ledger)
    : layout_(layout),
      plan_(plan),
      ledger_(ledger),
      random_(seed * kMaxMachines + number),
      tick_(loop_),
      number_(number) {
  for (std::size_t at = number; at < layout.machines; at += layout.threads) {
    machines_.push_back(std::make_unique<machine>());
    machines_.back()->number = at;
    machines_.back()->clients =
        std::make_unique<soak_client>(loop_, layout.outbound_of(at), ledger);
    StartTarget(*machines_.back());
  }
}

site_worker::~site_worker() {
  for (const auto& each : machines_) {
    each->clients.reset();
    each->target.reset();
  }
}

double site_worker::ShareOf(int customer) {
  static const double kSum = [] {
    double sum = 0.0;
    for (int i = 0; i < site_shape::kCustomers; ++i) {
      sum += std::pow(i + 1.0, -kSkew);
    }
    return sum;
  }();
  return std::pow(customer + 1.0, -kSkew) / kSum;
}

void site_worker::Run() {
  ticked_at_ = layout_.begin;
  tick_.StartPeriodic(kTickPeriod, [this] { OnTick(); });
  loop_.Run();
}

target_work site_worker::WorkOf(std::string_view path) {
  const std::string_view name = path.substr(1, path.find('/', 1) - 1);
  const site_row& row = site_shape::RowOf(name);
  target_work work{.time = row.work, .calls = {}};
  for (int i = 0; i < row.call.times; ++i) {
    const site_row& called = site_shape::RowOf(row.call.row);
    work.calls.push_back({.row = std::string(called.name),
                          .service = std::string(called.service),
                          .timeout = called.timeout});
  }
  return work;
}

void site_worker::StartTarget(machine& at) {
  const site_service& service = site_shape::ServiceOfMachine(at.number, layout_.machines);
  const std::size_t target = kMaxMachines * ++at.starts + at.number;
  at.target = std::make_unique<soak_target>(
      loop_,
      soak_target::options{.listen_address = layout_.backend_of(at.number),
                           .node = layout_.outbound_of(at.number),
                           .id = TargetId(target),
                           .number = target,
                           .node_number = at.number,
                           .service = std::string(service.name),
                           .work_of = [this](std::string_view path) { return WorkOf(path); },
                           .slots = service.slots,
                           .queue = service.queue},
      ledger_, random_);
  layout_.targets->at(at.number) = target;
}

void site_worker::OnTick() {
  const instant now = loop_.Now();
  if (now < layout_.begin) {
    return;
  }
  const duration since = now - layout_.begin;
  if (since > layout_.length + kEndTime) {
    loop_.Stop();
    return;
  }
  for (const auto& each : machines_) {
    ApplyFaults(*each, since);
    if (since < layout_.length) {
      SendDue(*each, since);
    }
  }
  ticked_at_ = now;
  const auto due = std::partition(retries_.begin(), retries_.end(),
                                  [now](const retry& waiting) { return waiting.due > now; });
  const std::vector<retry> sent(due, retries_.end());
  retries_.erase(due, retries_.end());
  for (const retry& each : sent) {
    Send(*each.at, *each.row, true);
  }
}

void site_worker::ApplyFaults(machine& at, duration now) {
  target_fault fault;
  bool is_down = false;
  for (const site_event& event : plan_) {
    if (!IsActive(event, now) || !event.Affects(at.number)) {
      continue;
    }
    if (event.what == site_event::kind::kTargets) {
      fault = Combine(fault, event.fault);
    }
    is_down = is_down || event.what == site_event::kind::kTargetCrash;
  }
  if (is_down && at.target) {
    layout_.targets->at(at.number) = 0;
    at.target.reset();
  } else if (!is_down && !at.target) {
    StartTarget(at);
  }
  if (at.target) {
    at.target->SetFault(fault);
  }
}

double site_worker::FactorOf(site_event::kind what, double otherwise, duration now) const {
  double factor = otherwise;
  for (const site_event& event : plan_) {
    if (event.what == what && IsActive(event, now)) {
      factor = std::max(factor, event.factor);
    }
  }
  return factor;
}

void site_worker::SendDue(machine& at, duration now) {
  const double spent = ToSeconds(loop_.Now() - ticked_at_);
  const double burst = FactorOf(site_event::kind::kBurst, 1.0, now);
  for (const site_row& row : site_shape::Rows()) {
    const double factor = row.kind == "unsafe" ? burst : 1.0;
    double expected = site_shape::kRequestsPerMachine * layout_.load * row.share * factor * spent;
    while (random_.Fraction() < expected) {
      Send(at, row, false);
      expected -= 1.0;
    }
  }
}

int site_worker::DrawCustomer() {
  if (FactorOf(site_event::kind::kHotCustomer, 0.0, loop_.Now() - layout_.begin) > 0.0 &&
      random_.Fraction() < kHotShare) {
    return 0;
  }
  double draw = random_.Fraction();
  for (int customer = 0; customer < site_shape::kCustomers; ++customer) {
    draw -= ShareOf(customer);
    if (draw < 0.0) {
      return customer;
    }
  }
  return 0;
}

void site_worker::Send(machine& at, const site_row& row, bool is_retry) {
  const duration since = loop_.Now() - layout_.begin;
  const bool is_safe = row.kind == "safe";
  client_request_options request{
      .method = is_safe ? "GET" : "POST",
      .path = fmt::format("/{}/x", row.name),
      .key = KeyOf(DrawCustomer()),
      .reuse_connection = !is_retry && random_.Fraction() >= kNewConnectionShare};
  if (row.body_bytes > 0) {
    request.body_bytes = row.body_bytes / 2 + random_.Below(row.body_bytes);
    if (random_.Fraction() < 0.05) {
      request.body_bytes *= 5;
    }
    request.chunked = random_.Fraction() < kChunkedShare;
    if (random_.Fraction() < kPiecesShare) {
      request.body_pieces = 1 + static_cast<int>(random_.Below(kMaxPieces));
    }
  }
  if (random_.Fraction() < FactorOf(site_event::kind::kImpatience, 0.0, since)) {
    request.abandon_after = kAbandonAfter;
  }
  if (!is_retry) {
    request.on_end = [this, &at, &row, is_safe](const sent_request& ended) {
      const bool is_refused = ended.outcome == request_outcome::kRefused;
      const bool is_unserved = ended.outcome != request_outcome::kAnswered &&
                               ended.outcome != request_outcome::kAbandoned;
      if (is_refused || (is_safe && is_unserved)) {
        const duration delay(static_cast<duration::rep>(
            random_.Fraction() * static_cast<double>(kMaxRetryDelay.count())));
        retries_.push_back({.due = loop_.Now() + delay, .at = &at, .row = &row});
      }
    };
  }
  at.clients->Send(request,
                   {.id = fmt::format("r{}-{}", number_, ++requests_sent_),
                    .row = std::string(row.name),
                    .service = std::string(row.service),
                    .node = at.number,
                    .idempotent = is_safe,
                    .timeout = std::min<duration>(kMaxDeadline, kDeadlineFactor * row.timeout)});
}

}  // namespace cuminferry::testing
