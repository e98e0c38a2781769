/** @file
    cuminferry_fleet: what the fleet knows of itself, as decisions free of
    threads, sockets and clocks.

    - platform/ the values that the configuration service publishes, when to read them
    - tables/   which versions are known and in force, how they spread, whence contents come
    - members/  which instances live, leave or are gone, and whom to tell news
    - replica/  a node's copy of the published items, and what another node lacks
    - agent/    all of it together, for one node

    May use cuminferry_core and cuminferry_table.
*/
#pragma once

#include "cuminferry_fleet/agent/fleet_agent.h"
#include "cuminferry_fleet/platform/published_values.h"
#include "cuminferry_fleet/replica/dissemination_tree.h"
#include "cuminferry_fleet/replica/instance_list.h"
#include "cuminferry_fleet/replica/item_replica.h"
#include "cuminferry_fleet/replica/item_revision.h"
