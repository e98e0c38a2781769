#pragma once

#include <span>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Weights of the customers in the division of insufficient capacity: their published rates in
    requests per second, and the mean of these for a customer without one. */
class customer_weights {
 public:
  /** Takes over the rates of all customers of a table. */
  void SetCustomers(std::span<const customer> customers);
  double WeightOf(const customer& of) const { return of.is_limited() ? of.rate : mean_; }

 private:
  double mean_ = 1.0;
};

}  // namespace cuminferry
