#include "cuminferry_node/runtime/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>

#include "cuminferry_node/runtime/local_replies.h"

namespace cuminferry {
class node_metrics::state {
 public:
  state()
      : served_(Family("cuminferry_served_total", "Calls into the backend server, by their end")),
        called_(Family("cuminferry_called_total", "Calls out, by their end")),
        attempts_(Family("cuminferry_attempts_total", "Attempts of calls out")),
        retries_(Family("cuminferry_retries_total", "Calls out that were tried again")),
        invalid_answers_(
            Family("cuminferry_invalid_answers_total",
                   "What came in the place of an answer, by sender and what is wrong")) {}

  void Count(prometheus::Family<prometheus::Counter>& family, std::string_view row,
             call_outcome outcome, std::uint16_t code) {
    family
        .Add({{"row", std::string(row)},
              {"end", std::string(NameOf(outcome))},
              {"code", std::to_string(code)}})
        .Increment();
  }

  prometheus::Family<prometheus::Counter>& served() { return served_; }
  prometheus::Family<prometheus::Counter>& called() { return called_; }
  prometheus::Family<prometheus::Counter>& attempts() { return attempts_; }
  prometheus::Family<prometheus::Counter>& retries() { return retries_; }
  prometheus::Family<prometheus::Counter>& invalid_answers() { return invalid_answers_; }

  void SetGauge(const std::string& name, double value) {
    prometheus::BuildGauge()
        .Name(name)
        .Help("Present value")
        .Register(registry_)
        .Add({})
        .Set(value);
  }

  std::string ToText() const { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

 private:
  prometheus::Family<prometheus::Counter>& Family(const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
  }

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& served_;
  prometheus::Family<prometheus::Counter>& called_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& invalid_answers_;
};

node_metrics::node_metrics() : state_(std::make_unique<state>()) {}
node_metrics::~node_metrics() = default;

void node_metrics::CountServed(std::string_view row, call_outcome outcome, std::uint16_t code) {
  state_->Count(state_->served(), row, outcome, code);
}

void node_metrics::CountOutgoingCall(std::string_view row, call_outcome outcome, std::uint16_t code,
                                     std::uint32_t attempts) {
  state_->Count(state_->called(), row, outcome, code);
  state_->attempts().Add({{"row", std::string(row)}}).Increment(attempts);
}

void node_metrics::CountRetry(std::string_view row) {
  state_->retries().Add({{"row", std::string(row)}}).Increment();
}

void node_metrics::CountInvalidAnswer(std::string_view from, std::string_view problem) {
  state_->invalid_answers()
      .Add({{"from", std::string(from)}, {"problem", std::string(problem)}})
      .Increment();
}

void node_metrics::SetGauge(const std::string& name, double value) {
  state_->SetGauge(name, value);
}

std::string node_metrics::ToText() const { return state_->ToText(); }

}  // namespace cuminferry
