#pragma once

#include <sys/types.h>

#include <string>

#include "trial/deployment.h"

namespace cuminferry::trial {

/** Resource usage of all nodes of a deployment: totals since their start, and current memory. */
struct nodes_usage {
  instant read_at;
  double processor_seconds = 0.0;
  /** Private anonymous memory (RssAnon) of the largest node, in MiB. */
  double largest_private_mb = 0.0;
  /** Requests that nodes handled for their own backend servers, refusals included. */
  double served = 0.0;
  std::size_t nodes = 0;
};

/** Average resource usage of a node between two readings. */
struct node_cost {
  std::string phase;
  /** Percent of one core. */
  double processor_percent = 0.0;
  double served_per_second = 0.0;
  /** Processor time of the nodes per call served, in microseconds. */
  double micros_per_call = 0.0;
  double largest_private_mb = 0.0;
};

/** Reads the /proc files of each node's process and its /metrics. */
nodes_usage ReadUsage(deployment& running);

/** Computes the average usage of a node between two readings. */
node_cost CostBetween(std::string phase, const nodes_usage& from, const nodes_usage& to);

/** Sums a counter over all its labels.
    @param metrics  body of an answer of /metrics */
double SumOfCounter(const std::string& metrics, const std::string& counter);

}  // namespace cuminferry::trial
