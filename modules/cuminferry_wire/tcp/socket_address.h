#pragma once

#include <netinet/in.h>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The system's form of an endpoint, and back. */
sockaddr_in ToSocketAddress(endpoint from);
endpoint FromSocketAddress(const sockaddr_in& from);

/** The address that a bound socket has; for ports chosen by the system. */
endpoint LocalEndpoint(int descriptor);

}  // namespace cuminferry
