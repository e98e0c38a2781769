#include "cuminferry_node/fleet/fleet_runtime.h"

#include <httplib.h>

#include <atomic>

namespace cuminferry {

// Thin first form: polls the platform, knows nothing of peers.
class fleet_runtime::state {};

}  // namespace cuminferry
