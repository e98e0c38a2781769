#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** Stand-in of the platform's configuration service for tests and trials. Supports reads
    and blocking watches as described in docs/design/platform-interface.md, and modes in
    which it serves stale values or fails. */
class platform_stand_in {
 public:
  /** Behaviour towards readers. */
  enum class mode : std::uint8_t {
    kUp,
    kDown,   ///< closes each connection without an answer
    kSlow,   ///< answers after two seconds
    kStale,  ///< serves the values that were published when the mode was set
  };

  struct options {
    endpoint listen;
    /** Maximum number of reads per second; further reads get 429. */
    std::uint32_t max_reads_per_second = 2000;
    std::size_t max_connections = 4096;
  };

  struct counters {
    std::uint64_t reads = 0;
    std::uint64_t refused = 0;
    std::uint64_t watches_waiting = 0;
  };

  explicit platform_stand_in(options chosen);
  ~platform_stand_in();

  absl::Status Start();
  void Stop();

  //============================================================================
  /** Publishes one value and completes the watches of its key. */
  void Publish(std::string_view key, std::string value);
  /** Publishes the index and the shards of a table in the operators' JSON format. */
  absl::Status PublishTable(std::string_view json);
  void SetMode(mode chosen);

  //============================================================================
  endpoint address() const;
  counters counts() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::stand_ins
