#pragma once

#include <memory>

#include "stand_ins/backend/backend_settings.h"

namespace cuminferry::stand_ins {

/** Stand-in of a backend server for tests and trials.

    Runs requests in a bounded number of slots, calls other services through its own
    node, stops at deadlines and when its caller has closed the connection, sheds
    requests that do not fit into its queue, and records every run in a journal.

    Tests control it with these requests on its own port:
    - `GET /stand-in/journal`, `POST /stand-in/clear`, `GET /stand-in/counters`
    - `POST /stand-in/slow?factor=10`, `POST /stand-in/health?report=idle`,
      `POST /stand-in/drain`
*/
class backend_stand_in {
 public:
  explicit backend_stand_in(backend_settings settings);
  ~backend_stand_in();

  absl::Status Start();
  void Stop();

  endpoint address() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::stand_ins
