/** @file
    cuminferry_fleet: how the nodes of a fleet share tables, instance lists and membership.
    The module decides only; it has no threads, sockets or clocks of its own.

    - platform/ the values that the configuration service publishes, and when to read them
    - tables/   known and active versions, their gossip, and the sources of contents
    - members/  live, draining and lost instances, the peers to gossip with, and those to announce
                events to
    - replica/  a node's copy of the published items, and updates for other nodes
    - agent/    combines all of these for one node

    May use cuminferry_core and cuminferry_table.
*/
#pragma once

#include "cuminferry_fleet/agent/fleet_agent.h"
#include "cuminferry_fleet/members/announcement_ring.h"
#include "cuminferry_fleet/platform/published_values.h"
#include "cuminferry_fleet/replica/dissemination_tree.h"
#include "cuminferry_fleet/replica/instance_list.h"
#include "cuminferry_fleet/replica/item_reduction.h"
#include "cuminferry_fleet/replica/item_replica.h"
#include "cuminferry_fleet/replica/item_revision.h"
#include "cuminferry_fleet/replica/paged_update.h"
#include "cuminferry_fleet/replica/refresh_planner.h"
#include "cuminferry_fleet/replica/start_referrals.h"
#include "cuminferry_fleet/replica/unlisted_queries.h"
#include "cuminferry_fleet/replica/watch_schedule.h"
