#include "cuminferry_relay/path/relay_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cuminferry {
namespace {

// Upper bounds of the buckets in seconds, from a local answer to the longest deadline in use.
const prometheus::Histogram::BucketBoundaries kDurationBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                               0.4,   0.8,  1.5,   3.0,  6.0};

using family_of_counters = prometheus::Family<prometheus::Counter>;

family_of_counters& MakeCounters(prometheus::Registry& registry, const char* name,
                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& MakeHistograms(prometheus::Registry& registry,
                                                          const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

}  // namespace

struct relay_metrics::state {
  // Counters are cached by key, because the registry's own look-up hashes all labels.
  struct row_counters {
    prometheus::Counter* count;
    prometheus::Histogram* durations;
  };
  struct served_counters {
    prometheus::Counter* count;
    prometheus::Histogram* waits;
    prometheus::Histogram* runs;
  };

  prometheus::Registry registry;
  family_of_counters& requests{MakeCounters(registry, "cuminferry_requests_total",
                                            "Requests that entered here, by row and outcome.")};
  prometheus::Family<prometheus::Histogram>& request_durations{
      MakeHistograms(registry, "cuminferry_request_duration_seconds",
                     "From a request's head to its last answer byte.")};
  family_of_counters& served{
      MakeCounters(registry, "cuminferry_served_total", "Requests for the own backend server.")};
  prometheus::Family<prometheus::Histogram>& waits{MakeHistograms(
      registry, "cuminferry_gate_wait_seconds", "Wait for a slot of the backend server.")};
  prometheus::Family<prometheus::Histogram>& runs{MakeHistograms(
      registry, "cuminferry_backend_duration_seconds", "Time in the backend server.")};
  family_of_counters& displaced{MakeCounters(
      registry, "cuminferry_queue_displaced_total",
      "Waiting requests that were refused in favour of more important ones, by kind.")};
  prometheus::Counter& displaced_clients{displaced.Add({{"kind", "client"}})};
  prometheus::Counter& displaced_nested{displaced.Add({{"kind", "nested"}})};
  family_of_counters& repeats{
      MakeCounters(registry, "cuminferry_repeats_total",
                   "Requests that came to the own backend server once more.")};
  family_of_counters& denied_repeats{
      MakeCounters(registry, "cuminferry_repeats_denied_total",
                   "Requests that the bound on repeats kept from the own backend server.")};
  family_of_counters& customers{MakeCounters(registry, "cuminferry_customer_requests_total",
                                             "Requests with a customer's key, by outcome.")};
  family_of_counters& control_messages{
      MakeCounters(registry, "cuminferry_control_messages_total",
                   "Messages between nodes that are not part of a request, by kind.")};
  family_of_counters& control_bytes{
      MakeCounters(registry, "cuminferry_control_bytes_total",
                   "Bytes of these messages without their HTTP heads, by kind.")};
  prometheus::Counter& sends{MakeCounters(registry, "cuminferry_backend_sends_total",
                                          "Requests sent to the own backend server, repeats too.")
                                 .Add({})};
  prometheus::Counter& disproved_rejections{
      MakeCounters(registry, "cuminferry_rejections_disproved_total",
                   "Rejections by the own backend server whose requests it answered later.")
          .Add({})};
  prometheus::Counter& bad_declarations{
      MakeCounters(registry, "cuminferry_bad_declarations_total",
                   "Answers of the own backend server that declare what can't be read.")
          .Add({})};
  prometheus::Counter& unreadable_items{
      MakeCounters(registry, "cuminferry_unreadable_items_total",
                   "Arrivals of published items that can't be read.")
          .Add({})};
  family_of_counters& invalid_answers{
      MakeCounters(registry, "cuminferry_invalid_answers_total",
                   "What came in the place of an answer, by sender and what is wrong with it.")};
  prometheus::Counter& backend_crashes{
      MakeCounters(registry, "cuminferry_backend_ends_total",
                   "Times that the own backend server ended while it ran requests.")
          .Add({})};
  prometheus::Counter& runs_lost{MakeCounters(registry, "cuminferry_runs_ended_total",
                                              "Runs that ended with the own backend server.")
                                     .Add({})};
  prometheus::Family<prometheus::Gauge>& customer_shares{
      prometheus::BuildGauge()
          .Name("cuminferry_customer_share")
          .Help("Admitted share of the requests of each customer of whom not all are admitted.")
          .Register(registry)};
  std::vector<prometheus::Gauge*> customer_share_gauges;
  std::set<std::string, std::less<>> named_customers;
  std::map<std::string, prometheus::Counter*, std::less<>> counters_by_customer;
  std::map<std::pair<std::string, labels>, prometheus::Gauge*> gauges;
  // Series by outcome, of each row.
  template <typename Counters>
  using by_outcome = std::map<std::string, Counters, std::less<>>;
  struct row_series {
    by_outcome<row_counters> requests;
    by_outcome<served_counters> served;
    prometheus::Counter* repeats = nullptr;
    prometheus::Counter* denied_repeats = nullptr;
  };
  std::map<std::string, row_series, std::less<>> rows;
  struct control_counters {
    prometheus::Counter* messages;
    prometheus::Counter* bytes;
  };
  std::map<std::pair<std::string, std::string>, control_counters> counters_by_control;

  // Also sets `row` to the label value that it gets.
  row_series& SeriesOf(std::string_view& row) {
    const bool is_named = rows.contains(row) || rows.size() < kMaxNamedRows;
    row = is_named ? row : kOtherRowsLabel;
    const auto found = rows.find(row);
    return found != rows.end() ? found->second : rows.emplace(row, row_series{}).first->second;
  }

  void Drop(const row_series& series) {
    for (const auto& [outcome, counters] : series.requests) {
      requests.Remove(counters.count);
      request_durations.Remove(counters.durations);
    }
    for (const auto& [outcome, counters] : series.served) {
      served.Remove(counters.count);
      waits.Remove(counters.waits);
      runs.Remove(counters.runs);
    }
    repeats.Remove(series.repeats);
    denied_repeats.Remove(series.denied_repeats);
  }
};

relay_metrics::relay_metrics() : state_(std::make_unique<state>()) {}
relay_metrics::~relay_metrics() = default;

void relay_metrics::KeepRows(const std::function<bool(std::string_view)>& is_kept) {
  std::erase_if(state_->rows, [&](const auto& row) {
    if (is_kept(row.first)) {
      return false;
    }
    state_->Drop(row.second);
    return true;
  });
}

void relay_metrics::OnRequestEnd(std::string_view row, std::string_view outcome, duration took) {
  auto& series = state_->SeriesOf(row).requests;
  auto found = series.find(outcome);
  if (found == series.end()) {
    const prometheus::Labels labels{{"row", std::string(row)}, {"outcome", std::string(outcome)}};
    const state::row_counters counters{
        .count = &state_->requests.Add(labels),
        .durations = &state_->request_durations.Add(labels, kDurationBuckets)};
    found = series.emplace(outcome, counters).first;
  }
  found->second.count->Increment();
  found->second.durations->Observe(ToSeconds(took));
}

void relay_metrics::OnBackendCrash(std::size_t runs) {
  state_->backend_crashes.Increment();
  state_->runs_lost.Increment(static_cast<double>(runs));
}

void relay_metrics::OnSentToBackend() { state_->sends.Increment(); }

void relay_metrics::OnRejectionDisproved() { state_->disproved_rejections.Increment(); }

void relay_metrics::OnUnreadableItem() { state_->unreadable_items.Increment(); }

void relay_metrics::OnBadDeclaration() { state_->bad_declarations.Increment(); }

void relay_metrics::OnInvalidAnswer(std::string_view from, std::string_view problem) {
  state_->invalid_answers.Add({{"from", std::string(from)}, {"problem", std::string(problem)}})
      .Increment();
}

void relay_metrics::OnServed(std::string_view row, std::string_view outcome, duration waited,
                             duration ran) {
  auto& series = state_->SeriesOf(row).served;
  auto found = series.find(outcome);
  if (found == series.end()) {
    const prometheus::Labels labels{{"row", std::string(row)}, {"outcome", std::string(outcome)}};
    const state::served_counters counters{.count = &state_->served.Add(labels),
                                          .waits = &state_->waits.Add(labels, kDurationBuckets),
                                          .runs = &state_->runs.Add(labels, kDurationBuckets)};
    found = series.emplace(outcome, counters).first;
  }
  found->second.count->Increment();
  found->second.waits->Observe(ToSeconds(waited));
  found->second.runs->Observe(ToSeconds(ran));
}

void relay_metrics::OnControlMessage(std::string_view kind, std::string_view direction,
                                     std::size_t bytes) {
  const std::pair<std::string, std::string> key{kind, direction};
  auto found = state_->counters_by_control.find(key);
  if (found == state_->counters_by_control.end()) {
    const prometheus::Labels labels{{"kind", std::string(kind)},
                                    {"direction", std::string(direction)}};
    const state::control_counters counters{.messages = &state_->control_messages.Add(labels),
                                           .bytes = &state_->control_bytes.Add(labels)};
    found = state_->counters_by_control.emplace(key, counters).first;
  }
  found->second.messages->Increment();
  found->second.bytes->Increment(static_cast<double>(bytes));
}

void relay_metrics::OnDisplaced(bool nested) {
  (nested ? state_->displaced_nested : state_->displaced_clients).Increment();
}

void relay_metrics::OnRepeat(std::string_view row) {
  auto& counter = state_->SeriesOf(row).repeats;
  if (counter == nullptr) {
    counter = &state_->repeats.Add({{"row", std::string(row)}});
  }
  counter->Increment();
}

void relay_metrics::OnRepeatDenied(std::string_view row) {
  auto& counter = state_->SeriesOf(row).denied_repeats;
  if (counter == nullptr) {
    counter = &state_->denied_repeats.Add({{"row", std::string(row)}});
  }
  counter->Increment();
}

void relay_metrics::OnCustomerRequest(std::string_view customer, std::string_view outcome) {
  if (!state_->named_customers.contains(customer)) {
    if (state_->named_customers.size() < kMaxNamedCustomers) {
      state_->named_customers.emplace(customer);
    } else {
      customer = kOtherCustomersLabel;
    }
  }
  prometheus::Counter*& counter =
      state_->counters_by_customer[std::string(customer) + "\n" + std::string(outcome)];
  if (counter == nullptr) {
    counter = &state_->customers.Add(
        {{"customer", std::string(customer)}, {"outcome", std::string(outcome)}});
  }
  counter->Increment();
}

void relay_metrics::SetCustomerShares(const std::map<std::string, double>& held) {
  for (prometheus::Gauge* const gauge : state_->customer_share_gauges) {
    state_->customer_shares.Remove(gauge);
  }
  state_->customer_share_gauges.clear();
  std::vector<std::pair<double, std::string_view>> smallest;
  for (const auto& [name, share] : held) {
    smallest.emplace_back(share, name);
  }
  std::ranges::sort(smallest);
  smallest.resize(std::min(smallest.size(), kMaxNamedCustomers));
  for (const auto& [share, name] : smallest) {
    prometheus::Gauge& gauge = state_->customer_shares.Add({{"customer", std::string(name)}});
    gauge.Set(share);
    state_->customer_share_gauges.push_back(&gauge);
  }
}

void relay_metrics::SetGauge(std::string_view name, const labels& series_labels, double value) {
  prometheus::Gauge*& gauge = state_->gauges[{std::string(name), series_labels}];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge()
                 .Name(std::string(name))
                 .Help("State at the time of reading.")
                 .Register(state_->registry)
                 .Add(series_labels);
  }
  gauge->Set(value);
}

std::string relay_metrics::ToText() const {
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace cuminferry
