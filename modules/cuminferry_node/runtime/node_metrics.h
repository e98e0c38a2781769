#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** The node's counters, as /metrics shows them. Safe to use from all threads. */
class node_metrics {
 public:
  node_metrics();
  ~node_metrics();

  /** A call into the own backend server ended. */
  void CountServed(std::string_view row, call_end end, std::uint16_t code);
  /** A call out ended, after this many attempts. */
  void CountCalled(std::string_view row, call_end end, std::uint16_t code, std::uint32_t attempts);
  /** A call out was tried again. */
  void CountRetry(std::string_view row);

  /** Sets a gauge. */
  void SetGauge(const std::string& name, double value);

  /** In the text format of Prometheus. */
  std::string ToText() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
