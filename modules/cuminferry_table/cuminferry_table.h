/** @file
    cuminferry_table: the operators' table and the settings of a process.

    - reading/  JSON with comments, every problem with its place and what is accepted
    - rows/     the table, its rows, how a request finds its row, what an edit changes
    - routes/   rows that are found by host and path
    - settings/ what one process is told about itself

    Everything here is a value that has been checked: a table or settings that
    could be made are valid. May use cuminferry_core.
*/
#pragma once

#include "cuminferry_table/reading/near_miss.h"
#include "cuminferry_table/routes/route_table.h"
#include "cuminferry_table/rows/limit_cut.h"
#include "cuminferry_table/rows/policy_table.h"
#include "cuminferry_table/rows/request_row.h"
#include "cuminferry_table/rows/table_diff.h"
#include "cuminferry_table/settings/node_settings.h"
