#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminferry_fleet/replica/service_instance.h"
#include "cuminferry_fleet/replica/unlisted_instance.h"
#include "cuminferry_fleet/replica/unlisted_retention.h"

namespace cuminferry {

/** The backend servers that may get requests.

    While the platform is down, entries expire although their backend servers are running.
    Immediately after the platform's recovery, a list without these entries would leave whole
    services without targets. Missing entries are therefore retained for the time in which
    running backend servers are listed again.

    A publisher that was restored from an older copy has lost the changes of some seconds. It
    lists instances that no longer exist, and draining instances as ready. Requests sent there
    would be lost, so the state known before takes precedence until kDistrustTime has passed.
    Instances that were started in the lost seconds are missing from the restored list, and are
    retained like expired entries.

    The entry of a crashed backend server remains until it expires, alongside the entry of its
    successor at the same address. Only one of the two can be running. If both counted, half of
    the requests would go to ids that no longer exist, and shares of limits would be halved.
    The entry that was created last counts, unless a node reported that this instance is not
    at the address.

    The entry of a backend server that lost its connection to the platform is removed as well,
    although it serves and can be reached. If the machines of a whole service lose the platform,
    the service would have no targets. Where the node beside a backend server can say whether it
    serves, an instance that was listed as ready is therefore retained after its item was removed,
    for as long as its node confirms it. @see unlisted_retention

    A change of one instance costs the entries at its address, however many are listed.
*/
class instance_list {
 public:
  /** Time in which running backend servers are listed again after the platform's recovery. */
  static constexpr duration kRelistTime = std::chrono::milliseconds(2'000);

  /** Time in which a draining instance has stopped or written its entry again. */
  static constexpr duration kDistrustTime = std::chrono::seconds(10);
  /** Time for which removed ids are stored, as a restored publisher may list them again. */
  static constexpr duration kRemovedIdRetention = std::chrono::seconds(60);

  /** Records that the publisher was restored from an older copy. */
  void OnPublisherRestored(instant now);
  /** Records that the platform answers again after an outage. */
  void OnPlatformRecovered(instant now);
  /** Retains missing entries for the time that another node reported, at most kRelistTime. */
  void RetainMissingFor(duration span, instant now);
  /** Returns the remaining time for which missing entries are retained. */
  duration RemainingRetention(instant now) const;
  /** Replaces the listed instances. Returns whether anything changed. */
  bool Update(std::vector<service_instance> listed, instant now);
  /** Applies changes of the published list. Returns whether anything changed. With retention by
      confirmation, the removal of an entry is a change even while all missing entries are retained.
   */
  bool Apply(std::vector<instance_change> changes, instant now);
  /** Removes retained entries whose time is over. Returns whether anything changed, including
      entries that are retained by confirmation from now on. */
  bool Expire(instant now);

  /** Records that a node rejected a request because its backend server is not this instance.
      Returns whether another instance counts as the one at that address from now on. */
  bool OnInstanceAbsent(std::string_view id);

  //============================================================================
  // Retention of instances that are not listed, by confirmation.

  /** Sets for how long instances whose items were removed are retained. */
  void SetUnlistedRetention(const unlisted_retention& retention) { retention_ = retention; }
  /** The node of an instance confirms that it serves. Returns whether the instance is unlisted here
      and the confirmation is of the same run.
      @param started_millis  start time of the run that is confirmed; 0 where it isn't known */
  bool OnConfirmed(std::string_view id, std::int64_t started_millis, instant now);
  /** The node of an instance denies that it serves: an unlisted one is dropped. Returns whether the
      list changed. */
  bool OnDenied(std::string_view id, instant now);
  /** Adds instances that another node retains. They are retained here as if their items had just
      been removed. Those that are known here, or were, are left out. Returns whether the list
      changed. */
  bool AddUnlisted(const std::vector<unlisted_instance>& reported, instant now);
  /** Whether an instance counts although the platform doesn't list it, and is up for confirmation.
   */
  bool IsUnlisted(std::string_view id) const { return FindUnlisted(id) != nullptr; }
  /** When the instance was first not listed; nothing if it is not unlisted. */
  std::optional<instant> UnlistedSince(std::string_view id) const;
  /** Returns the unlisted instances that count as the ones at their addresses, ordered by id. */
  std::vector<unlisted_instance> UnlistedInstances(instant now) const;
  /** Calls a function with each of them, without a copy. It must not change the list. */
  void ForEachUnlisted(
      const std::function<void(const service_instance&,
                               const std::optional<instant>& confirmed_at)>& on_each) const;
  /** Whether there may be unlisted instances; costs nothing. */
  bool may_have_unlisted() const { return retention_.is_on() && !missing_.empty(); }
  /** Returns the names of the services of listed instances. */
  std::set<std::string, std::less<>> ListedServices() const;
  /** Returns what began or ended by itself since the last call: retention, by removal or time. */
  std::vector<retention_event> TakeRetentionEvents() { return std::exchange(events_, {}); }

  /** Returns the addresses whose instance may have changed since the last call. */
  std::vector<address_change> TakeChanges();
  /** Returns all ready and draining instances, one for each address, ordered by id. */
  std::vector<service_instance> AllInstances() const;
  /** Number of further entries at the addresses of the instances that AllInstances() returns. */
  std::size_t superseded() const { return entries_.size() - at_address_.size(); }
  const service_instance* Find(std::string_view id) const;

 private:
  struct entry {
    service_instance instance;
    bool listed = true;
    bool reported_absent = false;
    // The rest applies to an entry that is not listed.
    instant unlisted_since{};
    // The time without confirmation counts from here.
    instant awaits_confirmation_since{};
    std::optional<instant> confirmed_at{};
    // Listed as ready until its item was removed.
    bool is_retainable = false;
    // Retained by confirmation; false while all missing entries are retained.
    bool is_retained = false;
    // Listed entries at its address take precedence, whenever they were created; false while all
    // missing entries are retained.
    bool ranks_behind_listed = false;
  };

  bool Take(service_instance found, instant now);
  bool SetMissing(std::string_view id, bool is_item_gone, instant now);
  bool IsDistrusted(instant now) const { return now < distrust_until_; }
  bool WasRemoved(std::string_view id) const;
  bool TakeWithheld(instant now);
  bool DropMissing(instant now);
  bool Retain(const std::string& id, entry& of, instant now);
  void Drop(const std::string& id, instant now);
  bool IsChosen(const std::string& id, const entry& of) const;
  const entry* FindUnlisted(std::string_view id) const;
  bool IsHeld(const entry& of, instant now) const;
  void ForgetRemoved(instant now);

  void AddEntry(service_instance found);
  void MoveEntry(const std::string& id, const endpoint& from, const endpoint& to);
  void ChooseAt(const endpoint& address);

  std::map<std::string, entry, std::less<>> entries_;
  std::map<endpoint, std::set<std::string>> ids_at_;
  // Id of the instance that counts as the one at each address.
  std::map<endpoint, std::string> at_address_;
  std::set<endpoint> changed_addresses_;
  // Entries that are no longer listed, and those that count as draining although the restored
  // publisher lists them as ready.
  std::set<std::string, std::less<>> missing_;
  std::set<std::string, std::less<>> draining_retained_;
  unlisted_retention retention_;
  std::vector<retention_event> events_;
  instant retain_missing_until_{};
  instant restored_at_{};
  instant distrust_until_{};
  // Removal times of removed ids, also in the order of the removals.
  std::map<std::string, instant, std::less<>> removed_at_;
  std::deque<std::pair<instant, std::string>> removals_;
  // Removed instances that a restored publisher lists again.
  std::map<std::string, service_instance, std::less<>> withheld_;
};

}  // namespace cuminferry
