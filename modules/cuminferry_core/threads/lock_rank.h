#pragma once

namespace cuminferry {

/** The lock order of the whole process.

    A thread may lock a mutex only if every mutex that it holds has a lower rank. Without this
    order, two threads that lock two mutexes in opposite orders could deadlock: the process would
    accept connections but answer none.
*/
enum class lock_rank : int {
  kNodeCalls = 10,        ///< requests that the node's backend server is running
  kNodePeers = 20,        ///< the node's open connections to other nodes
  kTable = 30,            ///< tables in force and their versions
  kMembers = 40,          ///< members of the fleet and their state
  kAdmission = 50,        ///< queue and running calls
  kClaims = 60,           ///< tickets of non-idempotent calls
  kShares = 70,           ///< shares of fleet-wide limits
  kTargets = 80,          ///< load and thresholds that targets report
  kRetries = 90,          ///< retry ratios per path
  kWireConnection = 100,  ///< send queue of one connection
  kWireHub = 110,         ///< table of connections
  kWorkers = 120,         ///< task queue of a worker pool
  kEvents = 130,          ///< event log
  kMetrics = 140,         ///< counters
};

}  // namespace cuminferry
