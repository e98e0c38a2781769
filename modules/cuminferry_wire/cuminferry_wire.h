/** @file
    cuminferry_wire: how nodes talk to each other.

    - messages/ the typed messages and their binary form (cereal)
    - frames/   length, type and digest around a message; the bounded reader
    - tcp/      connections that carry many calls at once
    - udp/      single datagrams

    Knows nothing of what the messages mean. May use cuminferry_core.
*/
#pragma once

#include "cuminferry_wire/frames/frame.h"
#include "cuminferry_wire/messages/messages.h"
#include "cuminferry_wire/tcp/tcp_hub.h"
#include "cuminferry_wire/udp/udp_socket.h"
