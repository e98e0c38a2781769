#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_fleet/replica/item_revision.h"

namespace cuminferry {

/** One published item, or the record of its removal. */
struct published_item {
  std::string key;
  std::string value;
  /** Revision of the item's last change. @see item_revision */
  std::uint64_t revision = 0;
  bool removed = false;
  /** Revision of the item's creation; a new one after each removal. @see item_revision */
  std::uint64_t created = 0;
  /** Whether the item can't be read, so that its value only says why. Each node finds that out by
      itself. @see item_reduction */
  bool is_unreadable = false;
  /** Where there are more items than are kept, those of the highest rank are left out first. Each
      node finds it out by itself. @see item_filter */
  std::uint8_t rank = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, value, revision, removed, created);
  }
};

/** The changes after some revision, or all items, or a part of either. */
struct item_update {
  /** Revision up to which the update is complete, with the pages that follow. */
  std::uint64_t complete_to = 0;
  /** Whether the update holds all items: an absent item does not exist at complete_to. */
  bool whole = false;
  std::vector<published_item> items;
  /** Whether more follows, in the order of revisions, after the last of `items`. @see paged_update
   */
  bool has_more = false;
  /** Time, in microseconds, in which missing entries may be listed again after a recovery of
      the platform that the sender observed; 0 where there was none. */
  std::int64_t relist_micros = 0;
  /** Time, in microseconds, since the platform confirmed that there were no further changes;
      kUnknownAge where the sender doesn't know it. */
  std::int64_t age_micros = kUnknownAge;
  /** Whether the items are all single changes since a revision that the receiver knows, in the
      platform's order. Nodes send each other the current state of items instead, so this
      field is not serialized. */
  bool every_change = false;

  static constexpr std::int64_t kUnknownAge = -1;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(complete_to, whole, items, has_more, relist_micros, age_micros);
  }
};

/** Maximum size of one message with items. */
struct page_limits {
  std::size_t items = 1'000;
  /** Total length of keys and values in bytes; a page holds at least one item. */
  std::size_t bytes = 256 * 1024;
};

/** A node's copy of the platform's published items.

    Other writers may write any number of entries that look like instances, so at most kMaxItems are
    kept: those of the lowest rank, and among them those that were created first. An entry that was
    left out is taken once there is room and its writer renews it. Unreadable items are kept only
    where an earlier value may be known somewhere, and at most as many as removals.

    Each item carries its revision (item_revision), and the higher revision replaces the lower
    one. Copies that received the same changes in any order, from the platform or from other
    nodes, are therefore equal, and no item reverts to an older value. A node that the platform
    refuses is updated by any other node from that node's copy.

    Updates for other nodes come in pages, in the order of revisions. A page costs the items that
    it holds, however many the copy has.

    Instances renew their entries regularly. A renewal without a change is dropped where it
    arrives from the platform. If it were propagated, 200 instances that renew every 1.5 s would
    cause 130 entries per second for each node of the fleet.
*/
class item_replica {
 public:
  /** Maximum number of removals and unreadable items stored for updates to other nodes. An update
     that needs older ones holds all items. */
  static constexpr std::size_t kMaxRemovals = 4096;
  /** Maximum number of items: twice as many as the instances of the largest fleet. */
  static constexpr std::size_t kMaxItems = 16'384;

  /** Leaves out the items of an update that are more than a copy keeps. Removals stay. */
  static void LeaveOutExcess(std::vector<published_item>& items);

  /** Applies an update. Returns the keys of changed and removed items. */
  std::vector<std::string> Apply(const item_update& update);

  /** Returns the update for a node whose copy is complete up to `revision`: a page of the changes
      since then, or the first page of a whole copy where the removals since then are no longer
      stored. */
  item_update UpdateSince(std::uint64_t revision, const page_limits& limits = {}) const;
  /** Returns the page with the items that changed after `revision`.
      @param whole  whether it is a page of a whole copy, which needs no removals */
  item_update PageAfter(std::uint64_t revision, bool whole, const page_limits& limits = {}) const;

  /** Returns the item of a key; nullptr where there is none. */
  const published_item* Find(std::string_view key) const;
  /** Returns the items whose keys start with a prefix, ordered by key. */
  std::vector<const published_item*> FindAll(std::string_view prefix) const;

  /** Revision up to which this copy is complete; 0 before the first complete update. */
  std::uint64_t complete_to() const { return complete_to_; }
  /** Whether the publisher was restored from an older copy between this copy and the update. */
  bool IsAfterRestore(const item_update& update) const;
  /** Number of items that were left out as there are more than are kept. */
  std::uint64_t left_out() const { return left_out_; }
  /** Revision of the latest known change. A copy that is complete up to this revision lacks
      no change that this copy has. */
  std::uint64_t latest_change() const { return latest_change_; }

 private:
  /** Items by revision and key; the views refer to the keys of `items_`. */
  using revision_index = std::set<std::pair<std::uint64_t, std::string_view>>;

  bool IsRenewal(const published_item& item) const;
  bool IsOfNoUse(const published_item& item, const item_update& update) const;
  bool Take(const published_item& item);
  void RemoveAbsent(const item_update& whole, std::vector<std::string>& changed);
  void DropOldRemovals();
  void DropExcess(std::vector<std::string>& changed);
  void AddToIndex(const published_item& item);
  void RemoveFromIndex(const published_item& item);

  std::map<std::string, published_item, std::less<>> items_;
  revision_index by_revision_;
  // The part of `by_revision_` that are removals or unreadable.
  revision_index removals_;
  std::uint64_t complete_to_ = 0;
  std::uint64_t latest_change_ = 0;
  // Revision up to which removals are no longer stored.
  std::uint64_t removals_dropped_to_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace cuminferry
