#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_fleet/replica/item_revision.h"

namespace cuminferry {

/** One published item, or the note that it was removed. */
struct published_item {
  std::string key;
  std::string value;
  /** Of the item's last change. @see item_revision */
  std::uint64_t revision = 0;
  bool removed = false;
  /** Of its creation: another after each removal. @see item_revision */
  std::uint64_t created = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, value, revision, removed, created);
  }
};

/** What changed after some revision, or everything. */
struct item_update {
  /** Nothing is left out up to this revision. */
  std::uint64_t complete_to = 0;
  /** All items are here: what is absent does not exist at complete_to. */
  bool whole = false;
  std::vector<published_item> items;
  /** The platform has just come back at the sender: entries that are missing may
      be listed again within this. Microseconds. */
  std::int64_t unsettled_micros = 0;
  /** Since the platform said that there was no more than this; kNeverHeard where the
      sender doesn't know. Microseconds. */
  std::int64_t age_micros = kNeverHeard;
  /** These are all changes since a revision that the receiver knows, one by one, as the
      platform made them. Not told between nodes: those send how things stand. */
  bool every_change = false;

  static constexpr std::int64_t kNeverHeard = -1;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(complete_to, whole, items, unsettled_micros, age_micros);
  }
};

/** A node's copy of the platform's published items.

    Each item carries its revision (item_revision), and the higher one wins, so
    copies that met the same changes in any order, from the platform or from
    other nodes, are equal, and nothing goes back. A node that the platform
    turns away is brought up to date by any other node from its copy.

    Instances renew their entries all the time. A renewal that changes nothing is left out
    where it comes in from the platform: passed on, 200 instances that renew every 1.5 s
    are 130 entries a second for each node of the fleet, and a reason to read all of them.
*/
class item_replica {
 public:
  /** Removals remembered for updates to others; past them a whole copy is sent. */
  static constexpr std::size_t kRemovalsKept = 4096;

  /** Takes an update in; the keys whose item changed or went away. */
  std::vector<std::string> Apply(const item_update& update);

  /** What a node that is complete to `revision` lacks. */
  item_update UpdateSince(std::uint64_t revision) const;

  /** nullptr where there is none. */
  const published_item* Find(std::string_view key) const;
  /** The items whose keys begin so, in the order of their keys. */
  std::vector<const published_item*> FindAll(std::string_view prefix) const;

  /** Everything up to this revision is known; 0 before the first whole copy. */
  std::uint64_t complete_to() const { return complete_to_; }
  /** Whether the update is of a publisher that has since come back from an older copy. */
  bool IsOfReturned(const item_update& update) const;
  /** Revision of the latest change that is known. A copy that is complete to this lacks
      nothing that this one has. */
  std::uint64_t changed_at() const { return changed_at_; }

 private:
  bool IsRenewal(const published_item& item) const;
  bool Take(const published_item& item);
  void RemoveAbsent(const item_update& whole, std::vector<std::string>& changed);
  void ForgetOldRemovals();

  std::map<std::string, published_item, std::less<>> items_;
  std::uint64_t complete_to_ = 0;
  std::uint64_t changed_at_ = 0;
  // Removals up to this revision are forgotten.
  std::uint64_t forgotten_to_ = 0;
};

}  // namespace cuminferry
