#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** The node's counters and gauges, exported at /metrics. Thread-safe. */
class node_metrics {
 public:
  node_metrics();
  ~node_metrics();

  /** Counts the outcome of a call to this node's backend server. */
  void CountServed(std::string_view row, call_outcome outcome, std::uint16_t code);
  /** Counts the outcome of an outgoing call and its attempts. */
  void CountOutgoingCall(std::string_view row, call_outcome outcome, std::uint16_t code,
                         std::uint32_t attempts);
  /** Counts one retry of an outgoing call. */
  void CountRetry(std::string_view row);

  /** Counts bytes that came in the place of an answer.
      @param from     who sent them: backend or platform
      @param problem  what is wrong, as one of a small number of texts */
  void CountInvalidAnswer(std::string_view from, std::string_view problem);

  void SetGauge(const std::string& name, double value);

  /** All metrics in the text format of Prometheus. */
  std::string ToText() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
