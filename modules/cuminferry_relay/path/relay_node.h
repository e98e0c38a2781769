#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_relay/path/listed_instances.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** A node of the HTTP relay: sends requests of clients and calls of the own backend server to
    the nodes of their targets, and requests of other nodes to the own backend server.

        auto node = relay_node::builder(loop)
                        .WithSettings(settings)
                        .WithTableReader(TableKey(), ReadTable)
                        .WithInstanceReader(ReadInstances)
                        .Start();
        loop.Run();
*/
class relay_node {
 public:
  /** Reads the table from the published items. On an error the table in force stays; nullptr
      means that none is published. */
  using table_reader =
      std::function<absl::StatusOr<std::shared_ptr<const route_table>>(const item_replica&)>;
  /** @see listed_instances */
  using instance_reader = listed_instances::reader;

  class builder {
   public:
    explicit builder(event_loop& loop) : loop_(loop) {}
    builder& WithSettings(relay_settings settings);
    /** @param key  of the item that holds the table; it is read when that item has changed */
    builder& WithTableReader(std::string key, table_reader reader);
    builder& WithInstanceReader(instance_reader reader);
    /** Sets what is kept of published items. By default they are kept as they are. */
    builder& WithItemReducer(item_reducer reduce);
    /** Sets a hook that is called with whether this node should watch the platform. Initially
        it should not. */
    builder& WithWatchHook(std::function<void(bool)> on_watching_change);
    /** Starts to listen; fails with kAddressInUse if an address is not available. */
    absl::StatusOr<std::unique_ptr<relay_node>> Start();

   private:
    event_loop& loop_;
    relay_settings settings_;
    std::string table_key_;
    table_reader read_table_;
    instance_reader read_instance_;
    item_reducer reduce_item_;
    std::function<void(bool)> on_watching_change_ = [](bool) {};
  };

  ~relay_node();
  relay_node(const relay_node&) = delete;
  relay_node& operator=(const relay_node&) = delete;

  //============================================================================
  /** Reduces an item that was read from the platform to what this node keeps; returns whether it
      is kept. To be called for each item of an update, before OnItemUpdate(). */
  bool ReduceItem(published_item& item);
  /** An item that was read from the platform has no value that can be read.
      @param key  empty where not even that is known */
  void OnUnreadableItem(std::string_view key, std::string_view reason);
  /** The platform has sent bytes in the place of an answer. */
  void OnInvalidPlatformAnswer(const invalid_answer& invalid);
  /** Applies an update of the published items that was read from the platform. The update's
      age counts from the query, so it is an upper bound. */
  void OnItemUpdate(const item_update& update);
  /** Reports whether the platform answers. */
  void SetPlatformReachable(bool reachable);
  /** The revision up to which the replica of the published items is complete. */
  std::uint64_t items_revision() const;

  /** Applies changed settings to the running node: bounds, the platform's address and seeds
      take effect at once. Returns false if other settings differ: own addresses and identity
      need a restart. */
  bool ApplySettings(const relay_settings& changed);

  /** Stops accepting new work in steps, lets the requests in progress finish, then calls the
      hook: at the latest shortly before the grace period of the settings is over. */
  void Drain(std::function<void()> on_drained);

  decision_log& log();

 private:
  struct state;
  explicit relay_node(std::unique_ptr<state> state);

  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
