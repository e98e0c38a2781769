#pragma once

#include <string>
#include <vector>

#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

/** One difference between two tables, and what it means. */
struct table_change {
  std::string service;
  /** Empty for what concerns the service as a whole. */
  std::string row;
  /** The key that changed; "row" or "service" for one that came or went,
      "order" for a row that moved. */
  std::string field;
  /** The values as JSON; empty where there is none. */
  std::string before;
  std::string after;
  /** What callers, nodes or operators notice, in words. */
  std::string effect;
};

/** What an edit changes for whom: services by name, rows in the order of the
    later table, then those that went. Versions are not compared. */
std::vector<table_change> DiffTables(const policy_table& before, const policy_table& after);

}  // namespace cuminferry
