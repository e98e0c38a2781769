#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Counters and histograms of a relay node, in Prometheus' text format.

    Customers may be thousands, and each label is a time series at whoever stores them: the first
    kNamedCustomers that send requests have one of their own, the rest share kOtherCustomers.
*/
class relay_metrics {
 public:
  static constexpr std::size_t kNamedCustomers = 32;
  static constexpr std::string_view kOtherCustomers = "(other)";

  relay_metrics();
  ~relay_metrics();

  /** A request that entered here ended. */
  void OnRequestEnd(std::string_view row, std::string_view outcome, duration took);
  /** A request of the own backend server ended, or was turned away. */
  void OnServed(std::string_view row, std::string_view outcome, duration waited, duration ran);
  /** A request of this row came to the own backend server again. */
  void OnRepeat(std::string_view row);

  /** A request of a customer ended so: let in, over its limit, or with a key that may be stale. */
  void OnCustomer(std::string_view customer, std::string_view outcome);

  /** The own backend server ended, and that many runs with it. */
  void OnBackendEnd(std::size_t runs);

  using labels = std::map<std::string, std::string>;

  /** Sets a value that is read now. */
  void SetGauge(std::string_view name, double value) { SetGauge(name, {}, value); }
  /** The same for one of several, told apart by its labels. */
  void SetGauge(std::string_view name, const labels& of, double value);

  std::string ToText() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
