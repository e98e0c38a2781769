#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace cuminferry {

/** Detects that a caller closes its connection while its request runs.

    Otherwise, a request whose caller has disconnected would run to completion at every depth of the
    call graph, and under overload most of the work would be wasted. One thread watches all
    connections that are being served.
*/
class connection_watch {
 public:
  connection_watch();
  ~connection_watch();
  connection_watch(const connection_watch&) = delete;
  connection_watch& operator=(const connection_watch&) = delete;

  /** Watches a connection during one request. */
  class guard {
   public:
    /** Calls `on_disconnect` once, on the watching thread, if the caller disconnects. */
    guard(connection_watch& watch, int descriptor, std::function<void()> on_disconnect);
    /** Waits for a running call of the hook. The hook is not called after the destructor. */
    ~guard();
    guard(const guard&) = delete;
    guard& operator=(const guard&) = delete;

   private:
    connection_watch& watch_;
    int descriptor_;
    std::uint64_t key_;
  };

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
