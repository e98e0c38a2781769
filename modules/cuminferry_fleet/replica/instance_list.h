#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/replica/service_instance.h"

namespace cuminferry {

/** The backend servers that requests may go to.

    Entries lapse while the platform's service is down, although the backend
    servers live: right after its return a list without them would leave whole
    services without targets. So an entry that is missing then is kept for as
    long as live backend servers need to be listed again.

    A publisher that comes back from an older copy has forgotten some seconds: it lists instances
    that are gone, and as ready those that said they leave. Requests sent there would be lost,
    so that what was known before is believed until kDistrustTime is over. Instances that are
    new since then are missing, and kept like those that lapsed.

    Entries of backend servers that ended without a word stand until they run out, beside those
    of the next ones at the same addresses. Only one can be there. Were all counted, half of the
    requests would go to ids that are gone, and parts of limits would be halved. It is the one
    that was listed last, unless a node said that another stands there.
*/
class instance_list {
 public:
  /** Time in which live backend servers are listed again after the return. */
  static constexpr duration kRelistTime = std::chrono::milliseconds(2'000);

  /** By then a leaving instance has ended, or written its entry again. */
  static constexpr duration kDistrustTime = std::chrono::seconds(10);
  /** How long before a return of the publisher an instance that went may be listed again. */
  static constexpr duration kGoneKept = std::chrono::seconds(60);

  /** The publisher has come back from an older copy. */
  void OnPublisherReturned(instant now);
  /** The platform's service answers again after it did not. */
  void OnPlatformReturned(instant now);
  /** As OnPlatformReturned(), for as long as another node told. */
  void KeepMissingFor(duration span, instant now);
  /** How long missing entries are still kept. */
  duration KeepsMissing(instant now) const;
  /** What is listed now. Returns whether anything changed. */
  bool Update(std::vector<service_instance> listed, instant now);
  /** Drops kept entries whose time is over. Returns whether anything changed. */
  bool Expire(instant now);

  /** A node turned a request away, as this instance is not, or no longer, beside it. Returns
      whether another one is taken for the one at that address from now on. */
  bool OnNotThere(std::string_view id);

  /** All that may get requests or are leaving, one for each address, in the order of their ids. */
  std::vector<service_instance> All() const;
  /** How many more are listed at the addresses of these. */
  std::size_t superseded() const { return entries_.size() - at_address_.size(); }
  const service_instance* Find(std::string_view id) const;

 private:
  struct entry {
    service_instance instance;
    bool listed = true;
    bool not_there = false;
    // It said that it leaves, and the publisher has forgotten it.
    bool leaving_kept = false;
  };

  bool Take(service_instance found, instant now);
  bool IsDistrusted(instant now) const { return now < distrust_until_; }
  bool WasGone(std::string_view id) const;
  bool TakeWithheld(instant now);
  bool DropMissing(instant now);

  void ChooseAtAddresses();

  std::map<std::string, entry, std::less<>> entries_;
  // Ids of those that are taken to be there.
  std::map<endpoint, std::string> at_address_;
  instant keep_missing_until_{};
  instant returned_at_{};
  instant distrust_until_{};
  // When those that went were dropped.
  std::map<std::string, instant, std::less<>> gone_;
  // Listed by a publisher that has forgotten that they went.
  std::vector<service_instance> withheld_;
};

}  // namespace cuminferry
