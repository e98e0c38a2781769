/** @file
    cuminferry_fleet: what the fleet knows of itself, as decisions free of
    threads, sockets and clocks.

    - platform/ the values that the configuration service publishes
    - tables/   which table version is in force and how versions spread
    - members/  which instances live, leave or are gone

    May use cuminferry_core and cuminferry_table.
*/
#pragma once

#include "cuminferry_fleet/platform/published_values.h"
