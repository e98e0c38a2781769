#pragma once

#include <span>

#include "cuminferry_table/rows/table_reader.h"

namespace cuminferry {

/** Checks how services and rows fit together: names and paths given twice,
    rows that are never taken, limits that cannot hold, unknown services. Items
    that are not whole are left out, so that one mistake is reported once. */
void CheckTable(std::span<const read_service> services, std::span<const read_row> rows,
                problem_list& problems);

}  // namespace cuminferry
