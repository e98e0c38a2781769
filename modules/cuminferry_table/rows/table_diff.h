#pragma once

#include <string>
#include <vector>

#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

/** One difference between two tables, with its effect. */
struct table_change {
  std::string service;
  /** Empty for a change of the service itself. */
  std::string row;
  /** The key that changed; "row" or "service" for one that was added or removed, "order" where rows
      of a service changed their order. */
  std::string field;
  /** The values before and after as JSON; empty where there is none. */
  std::string before;
  std::string after;
  /** The effect on callers, nodes or operators, as text for operators. */
  std::string effect;
};

/** Returns the changes of an edit: services by name, their rows in the order of the later table,
    then the removed rows; removed services come last. Versions are not compared. */
std::vector<table_change> DiffTables(const policy_table& before, const policy_table& after);

}  // namespace cuminferry
