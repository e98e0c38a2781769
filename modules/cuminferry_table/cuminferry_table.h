/** @file
    cuminferry_table: the operators' table and the settings of a process.

    - reading/  parses JSON with comments; reports every problem with its location and the
                accepted values
    - rows/     the table, its rows, the lookup of a request's row, the effects of an edit
    - routes/   rows that are selected by host and path prefix
    - settings/ the configuration of one process

    The types of this module are validated when they are made: a table or a settings object that
    exists is valid. The module may use cuminferry_core.
*/
#pragma once

#include "cuminferry_table/reading/word_suggestion.h"
#include "cuminferry_table/routes/route_table.h"
#include "cuminferry_table/rows/policy_table.h"
#include "cuminferry_table/rows/request_row.h"
#include "cuminferry_table/rows/table_diff.h"
#include "cuminferry_table/rows/target_share.h"
#include "cuminferry_table/settings/node_settings.h"
