#pragma once

#include <sys/types.h>

#include <string>

#include "trial/deployment.h"

namespace cuminferry::trial {

/** What all nodes of a deployment have used so far, and hold now. */
struct nodes_usage {
  instant when;
  double processor_seconds = 0.0;
  /** Private memory of the largest node. */
  double largest_private_mb = 0.0;
  /** Calls served: those that ended in or at a backend server, refusals included. */
  double served = 0.0;
  std::size_t nodes = 0;
};

/** What a node cost on average from one reading to the next. */
struct node_cost {
  std::string phase;
  double processor_percent = 0.0;
  double served_per_second = 0.0;
  /** Processor time of the nodes for each call served, in microseconds. */
  double micros_per_call = 0.0;
  double largest_private_mb = 0.0;
};

/** Reads /proc of each node's process, and its /metrics. */
nodes_usage ReadUsage(deployment& running);

/** The cost of the time between two readings. */
node_cost CostBetween(std::string phase, const nodes_usage& from, const nodes_usage& to);

/** Sums one counter of the text that /metrics answers, over its labels. */
double SumOfCounter(const std::string& metrics, const std::string& counter);

}  // namespace cuminferry::trial
