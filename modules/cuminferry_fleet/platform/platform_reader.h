#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Result of one read of the platform. */
enum class read_outcome : std::uint8_t {
  kValue,        ///< the key has a value
  kNoSuchKey,    ///< the platform answered that the key does not exist
  kRefused,      ///< the platform's rate limit was exceeded
  kUnreachable,  ///< the platform did not answer
};

/** Schedules this node's reads of the platform.

    The platform serves about two thousand reads per second to the whole fleet, and its
    capacity grows more slowly than the fleet. The period of each node's regular reads is
    therefore proportional to the size of the fleet: all nodes together read at a fixed
    rate, and the first node that reads a change announces it to the others. A node has at
    most one read in progress.

    In addition, two instances of each service watch the list of its instances. They are
    the first two in an order on which all instances agree. In a large fleet the next
    regular read would report a draining instance too late.
*/
class platform_reader {
 public:
  struct options {
    /** Index reads per second of the whole fleet. */
    double index_reads_per_second = 20.0;
    /** Reads per second of the whole fleet, for the lists of each node's own service. */
    double list_reads_per_second = 20.0;
    /** Reads per second of the whole fleet, for the lists of the services that nodes call. */
    double other_list_reads_per_second = 10.0;
    /** Reads per second of the whole fleet, for contents that no peer provided. */
    double content_reads_per_second = 200.0;
    /** Contents that one node may read without waiting, as it must when it starts. */
    double content_burst = 64.0;
    /** Factor on the read rate of a node that receives nothing from its peers. */
    double isolated_factor = 10.0;
    /** Name of the instance list of this node's own service. */
    std::string own_list;
  };

  platform_reader(options chosen, instant now, random_source& random);
  ~platform_reader();

  //============================================================================
  /** Sets the number of nodes in the fleet, as published or counted. */
  void SetFleetSize(std::uint32_t nodes);
  /** Sets whether this node has received nothing from any peer for some time. */
  void SetIsolated(bool isolated);
  /** Adds an instance list to those that are read periodically. */
  void Follow(std::string_view list);

  /** Sets whether this node watches the list of its own service. */
  void SetWatching(bool watching);

  /** Records that a peer provided the index, and postpones the first read of it to the
      regular schedule. Otherwise, when a failure domain starts all its nodes at once,
      each of them would read the index. */
  void OnIndexFromPeer(instant now, random_source& random);

  /** Queues a read of a value, to be done as soon as the read budget allows. */
  void Want(std::string_view name);
  void Unwant(std::string_view name);
  /** Schedules an early read of the index after the process did not run for a while. */
  void OnProcessResumed(instant now, random_source& random);

  /** Returns the name of the value to read now; std::nullopt where no read is due or one is
      still in progress. */
  std::optional<std::string> OnTick(instant now, random_source& random);
  /** Records the outcome of the read that OnTick() requested. */
  void OnRead(read_outcome outcome, instant now, random_source& random);

  /** Returns the name of the value to watch now; std::nullopt where a watch is in progress
      or none is due. */
  std::optional<std::string> NextWatch(instant now);
  /** Records the outcome of the watch that NextWatch() requested. */
  void OnWatched(read_outcome outcome, instant now, random_source& random);

  //============================================================================
  /** Whether the platform answered the last read, be it with a refusal. */
  bool reachable() const;
  std::uint64_t reads() const;
  std::uint64_t failed_reads() const;
  instant next_due() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
