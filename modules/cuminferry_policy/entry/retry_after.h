#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Delay after which a refused client should retry. The delay grows with the refused share, and
    is spread so that clients don't retry at the same time.
    @param refused       refused share of the requests, in [0, 1]
    @param min_fraction  minimum delay as a fraction of the objective
    @param max_fraction  maximum delay as a fraction of the objective
    @param objective     latency objective of the row
    @param draw          a number in [0, 1) drawn for this client */
duration ComputeRetryAfter(double refused, double min_fraction, double max_fraction,
                           duration objective, double draw);

}  // namespace cuminferry
