#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cuminferry_relay/io/event_loop.h"
#include "cuminferry_relay/io/tcp_connection.h"

namespace cuminferry {

/** Distinguishes a crash of a backend server from the loss of one of its connections.

    When a backend server crashes, all its connections break and new ones are refused. After a
    connection has broken, the detector therefore waits kCollectTime for others to break and then
    tries to connect once.
*/
class backend_crash_detector {
 public:
  /** Result of the connection attempt after connections of runs were lost. */
  struct crash_finding {
    /** The backend server refuses connections, so its process has ended. */
    bool has_crashed = false;
    /** Identifies this crash; the same for all runs that it aborted. */
    std::uint64_t crash_id = 0;
  };
  using crash_finding_hook = std::function<void(const crash_finding&)>;

  /** Time to collect further losses, as the kernel closes the connections of an ended process one
      after the other. */
  static constexpr duration kCollectTime = std::chrono::milliseconds(4);

  /** @param first_crash_id  identifier of the first crash; later ones count up from it
      @param on_finding  called once for each group of losses */
  backend_crash_detector(event_loop& loop, const endpoint& backend, std::uint64_t first_crash_id,
                         crash_finding_hook on_finding);

  /** The connection of a run was lost before its answer began, or its close ended the answer. */
  void OnConnectionLost();
  /** The backend server answered, so later losses belong to another crash. */
  void OnAnswer() { is_crash_known_ = false; }

 private:
  void TryToConnect();
  void ReportFinding(bool has_crashed);

  event_loop& loop_;
  endpoint backend_;
  std::uint64_t next_crash_id_;
  crash_finding_hook on_finding_;
  loop_timer collect_timer_;
  loop_timer report_timer_;
  std::unique_ptr<tcp_connection> attempt_;
  instant attempted_at_{};
  bool is_pending_ = false;
  bool is_crash_known_ = false;
  std::uint64_t crash_id_ = 0;
};

}  // namespace cuminferry
