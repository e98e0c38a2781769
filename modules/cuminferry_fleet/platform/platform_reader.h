#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** How one read of the platform ended. */
enum class read_end : std::uint8_t {
  kValue,        ///< it gave a value
  kNoSuchKey,    ///< it answers, but has no such key
  kRefused,      ///< over its rate
  kUnreachable,  ///< no answer
};

/** When this node reads what from the platform.

    The platform serves some two thousand reads a second to the whole fleet and
    grows more slowly than the fleet. So the period of each node's regular reads
    is proportional to the size of the fleet: all nodes together stay at a fixed
    rate, and whoever sees a change first tells the others. At most one read is
    under way.

    The list of a service's instances is watched besides by the two of them that
    come first in an order that all agree on: word of a leaving instance can't
    wait for the next read of a large fleet.
*/
class platform_reader {
 public:
  struct options {
    /** Of the whole fleet. */
    double index_reads_per_second = 20.0;
    /** Of the whole fleet, for the lists of each node's own service. */
    double list_reads_per_second = 20.0;
    /** Of the whole fleet, for the lists of the services it calls. */
    double other_list_reads_per_second = 10.0;
    /** Of the whole fleet, for contents that peers could not give. */
    double content_reads_per_second = 200.0;
    /** Contents that one node may read without waiting; a cold start needs some. */
    double content_burst = 64.0;
    /** A node that hears nothing from its peers reads so much more often. */
    double isolated_factor = 10.0;
    /** Name of the own service's list of instances. */
    std::string own_list;
  };

  platform_reader(options chosen, instant now, random_source& random);
  ~platform_reader();

  //============================================================================
  /** Nodes in the fleet, as published or counted. */
  void UseFleetSize(std::uint32_t nodes);
  /** Whether no peer has been heard of for some time. */
  void UseIsolated(bool isolated);
  /** Reads this list of instances from time to time. */
  void Follow(std::string_view list);

  /** Whether this node watches the list of its own service. */
  void UseWatching(bool watching);

  /** Reads a value as soon as the budget allows. */
  void Want(std::string_view name);
  void Unwant(std::string_view name);
  /** The process did not run for a while: reads the index soon. */
  void OnWakeUp(instant now, random_source& random);

  /** The name of the value to read now, none where nothing is due or a read is
      still under way. */
  std::optional<std::string> OnTick(instant now, random_source& random);
  /** The read that OnTick() asked for has ended. */
  void OnRead(read_end end, instant now, random_source& random);

  /** The name of the value to watch now; none where a watch is under way. */
  std::optional<std::string> NextWatch(instant now);
  /** The watch that NextWatch() asked for has ended. */
  void OnWatched(read_end end, instant now, random_source& random);

  //============================================================================
  /** Whether the last read was answered, if only by a refusal. */
  bool reachable() const;
  std::uint64_t reads() const;
  std::uint64_t failed_reads() const;
  instant next_due() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
