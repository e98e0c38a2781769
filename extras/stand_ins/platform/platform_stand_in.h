#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** Takes the place of the platform's configuration service in tests and trials:
    reads and blocking watches as docs/design/platform-interface.md has them,
    and switches that make it lie or fail. */
class platform_stand_in {
 public:
  /** How it behaves towards readers. */
  enum class mode : std::uint8_t {
    kUp,
    kDown,   ///< closes each connection without an answer
    kSlow,   ///< answers after two seconds
    kStale,  ///< serves what was published when the mode began
  };

  struct options {
    endpoint listen;
    /** Reads answered in any one second; the rest get 429. */
    std::uint32_t reads_a_second = 2000;
    std::size_t connections = 4096;
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
  /** Publishes one value; watches of its key answer at once. */
  void Publish(std::string_view key, std::string value);
  /** Cuts a whole table, as operators write it, into its index and shards. */
  absl::Status PublishTable(std::string_view json);
  void SetMode(mode chosen);

  //============================================================================
  endpoint at() const;
  counters counts() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::stand_ins
