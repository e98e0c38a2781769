#pragma once

#include <cstdint>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Number of ranks within one customer priority. Rows with this priority number or a higher one
    share the last rank. */
inline constexpr std::uint32_t kRanksPerCustomerPriority = 1000;

/** Rank of a request in the order of refusal where not all requests can be served; 0 is refused
    last. The customer's priority decides first, if it has one, then the row's: a customer's
    permits still have precedence over its maps.
    @param sender  nullptr where the request carries no customer's key */
std::uint32_t RankOf(const http_route& row, const customer* sender);

}  // namespace cuminferry
