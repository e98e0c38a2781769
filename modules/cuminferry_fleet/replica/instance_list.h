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
*/
class instance_list {
 public:
  /** Time in which live backend servers are listed again after the return. */
  static constexpr duration kRelistTime = std::chrono::milliseconds(2'000);

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

  /** All that may get requests or are leaving, in the order of their ids. */
  std::vector<service_instance> All() const;
  const service_instance* Find(std::string_view id) const;

 private:
  struct entry {
    service_instance instance;
    bool listed = true;
  };

  std::map<std::string, entry, std::less<>> entries_;
  instant keep_missing_until_{};
};

}  // namespace cuminferry
