#pragma once

#include <span>

#include "cuminferry_table/rows/table_reader.h"

namespace cuminferry {

/** Checks services and rows against each other: duplicate names and paths, unreachable rows,
    contradictory limits, unknown services. Items that have problems of their own take part in
    the checks of names only, so that one mistake is reported once. */
void CheckTable(std::span<const parsed_service> services, std::span<const parsed_row> rows,
                problem_list& problems);

}  // namespace cuminferry
