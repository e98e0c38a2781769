#pragma once

#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** A node's report of a customer's requests to the customer's coordinator, since its last one. */
struct limit_report {
  std::string customer;
  /** Received requests, without those that were refused further down the call graph and did not
      run. */
  double requested = 0.0;
  /** Admitted requests among these. */
  double admitted = 0.0;
  /** The share that the node admits at present. */
  double share = 1.0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(customer, requested, admitted, share);
  }
};

/** The coordinator's reply to a report. */
struct limit_reply {
  std::string customer;
  /** Share of the customer's requests that may be admitted. */
  double share = 1.0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(customer, share);
  }
};

}  // namespace cuminferry
