#pragma once

#include <netinet/in.h>
#include <uv.h>

#include "cuminferry_relay/io/event_loop.h"

namespace cuminferry {

sockaddr_in ToSocketAddress(const endpoint& at);
endpoint FromSocketAddress(const sockaddr_storage& storage);

/** Makes the kernel reset a connection, or end it in order, when its last descriptor is closed. */
void SetResetWhenClosed(uv_tcp_t& handle, bool resets);

/** Makes the kernel end a connection whose peer doesn't answer for this time; zero for no limit.
    The kernel's keep-alive probes serve as heartbeats, since they need no wake-up of this process.
 */
void EnableSilenceDetection(uv_tcp_t& handle, duration limit);

/** Whether the kernel's next read of a connection finds its orderly end. */
bool ReadsOrderlyEnd(const uv_tcp_t& handle);

}  // namespace cuminferry
