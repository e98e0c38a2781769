#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/replica/service_instance.h"

namespace cuminferry {

/** Which nodes watch the platform for the others.

    The platform counts each call, and its rate does not grow with the fleet: a
    watch at each of some thousand nodes would ask for more at each change than
    it serves. So a few nodes of each failure domain watch, drawn by a hash of
    their addresses over the instances that are listed, and the others ask them.
    Nodes that know different lists may draw differently; a watch too many does
    no harm, and a node whose watchers don't answer watches itself.
*/
class watch_duty {
 public:
  /** In each failure domain. Two, so that one may be replaced at any time. */
  static constexpr std::size_t kWatchersPerDomain = 2;

  /** Draws the watchers anew.
      @param own          the own node, by its backend server's address
      @param own_domain   its failure domain */
  void Update(const std::vector<service_instance>& listed, const endpoint& own,
              std::string_view own_domain);

  /** Whether the own node watches. It does as long as it knows too few others. */
  bool on_duty() const { return on_duty_; }
  /** Backend servers beside watching nodes, without the own one: those of the own
      failure domain, and of the others. */
  const std::vector<endpoint>& near() const { return near_; }
  const std::vector<endpoint>& far() const { return far_; }

 private:
  bool on_duty_ = true;
  std::vector<endpoint> near_;
  std::vector<endpoint> far_;
};

}  // namespace cuminferry
