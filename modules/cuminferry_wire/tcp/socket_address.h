#pragma once

#include <netinet/in.h>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Converts an endpoint to the socket API's address type. */
sockaddr_in ToSocketAddress(endpoint from);
/** Converts an address of the socket API to an endpoint. */
endpoint FromSocketAddress(const sockaddr_in& from);

/** Returns the address of a bound socket, with the port that the system chose. */
endpoint LocalEndpoint(int descriptor);

}  // namespace cuminferry
