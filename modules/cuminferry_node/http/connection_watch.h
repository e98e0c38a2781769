#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace cuminferry {

/** Notices that callers close their connections while their requests run.

    Without it a request whose caller has gone would run on to its end at every
    depth, and under overload most of the work would be for nobody. One thread
    waits on all connections that are being served.
*/
class connection_watch {
 public:
  connection_watch();
  ~connection_watch();
  connection_watch(const connection_watch&) = delete;
  connection_watch& operator=(const connection_watch&) = delete;

  /** Watches a connection for the time of one request. */
  class guard {
   public:
    guard(connection_watch& watch, int descriptor, std::function<void()> on_gone);
    /** No call of the hook begins or runs after this. */
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
