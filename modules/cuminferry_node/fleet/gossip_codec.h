#pragma once

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** Converts a digest to the message that is sent. */
gossip_message ToMessage(const gossip_digest& digest, hybrid_time sent);

/** Converts a received message to a digest. */
gossip_digest FromMessage(gossip_message message);

}  // namespace cuminferry
