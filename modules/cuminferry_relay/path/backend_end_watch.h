#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cuminferry_relay/io/event_loop.h"
#include "cuminferry_relay/io/tcp_connection.h"

namespace cuminferry {

/** Tells the end of a backend server from the loss of one of its connections.

    A backend server that ends breaks all its connections, and a new one is refused. So
    after a connection broke the others are given a moment to break as well, and then one
    connection is tried.
*/
class backend_end_watch {
 public:
  /** What was found once the connection of a run was lost. */
  struct finding {
    /** The backend server takes no connections: it has ended. */
    bool has_ended = false;
    /** Of this end of the backend server, the same for all runs that it took along. */
    std::uint64_t end = 0;
  };
  using finding_hook = std::function<void(const finding&)>;

  /** The kernel breaks the connections of a process one after the other. */
  static constexpr duration kGatherTime = std::chrono::milliseconds(4);

  /** @param on_found  called once for each group of losses */
  backend_end_watch(event_loop& loop, const endpoint& backend, std::uint64_t first_end,
                    finding_hook on_found);

  /** The connection of a run was lost. */
  void OnConnectionLost();
  /** The backend server answered: what is lost from now on belongs to another end. */
  void OnAnswer() { end_is_known_ = false; }

 private:
  void TryToConnect();
  void Tell(bool has_ended);

  event_loop& loop_;
  endpoint backend_;
  std::uint64_t next_end_;
  finding_hook on_found_;
  loop_timer gather_timer_;
  loop_timer tell_timer_;
  std::unique_ptr<tcp_connection> trial_;
  instant tried_at_{};
  bool asked_ = false;
  bool end_is_known_ = false;
  std::uint64_t end_ = 0;
};

}  // namespace cuminferry
