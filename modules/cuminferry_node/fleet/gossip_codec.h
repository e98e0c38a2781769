#pragma once

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** A digest as it goes over the wire. */
gossip_message ToMessage(const spread_digest& digest, hybrid_time sent);

/** A digest as it came over the wire. */
spread_digest FromMessage(gossip_message message);

}  // namespace cuminferry
