#include "cuminferry_policy/customers/customer_weights.h"

namespace cuminferry {

void customer_weights::SetCustomers(std::span<const customer> customers) {
  double sum = 0.0;
  double count = 0.0;
  for (const customer& known : customers) {
    sum += known.rate;
    count += known.is_limited() ? 1.0 : 0.0;
  }
  mean_ = count > 0.0 ? sum / count : 1.0;
}

}  // namespace cuminferry
