#pragma once

namespace cuminferry {

/** The lock order of the whole process, stated here and nowhere else.

    A thread may take a mutex only while every mutex that it holds has a lower
    rank. Without one order, two threads that take two locks in opposite orders
    stop each other for good: the process still accepts connections and
    answers none.
*/
enum class lock_rank : int {
  kNodeCalls = 10,        ///< the node's records of requests in its backend server
  kNodePeers = 20,        ///< the node's open connections to other nodes
  kTable = 30,            ///< tables in force and their versions
  kMembers = 40,          ///< members of the fleet and what is known of them
  kAdmission = 50,        ///< queue and running calls
  kClaims = 60,           ///< tickets of non-idempotent calls
  kShares = 70,           ///< shares of fleet-wide limits
  kTargets = 80,          ///< load and thresholds that targets advertise
  kRetries = 90,          ///< retry ratios per path
  kWireConnection = 100,  ///< send queue of one connection
  kWireHub = 110,         ///< table of connections
  kWorkers = 120,         ///< task queue of a worker pool
  kEvents = 130,          ///< ring of events
  kMetrics = 140,         ///< counters
};

}  // namespace cuminferry
