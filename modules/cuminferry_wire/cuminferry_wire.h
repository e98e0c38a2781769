/** @file
    cuminferry_wire: the protocol between nodes.

    - messages/ the typed messages and their binary encoding (cereal)
    - frames/   the framing of messages (length, type, digest) and its bounded reader
    - tcp/      connections that carry many concurrent calls
    - udp/      single datagrams

    The module does not interpret the messages. It may use cuminferry_core.
*/
#pragma once

#include "cuminferry_wire/frames/frame.h"
#include "cuminferry_wire/messages/messages.h"
#include "cuminferry_wire/tcp/tcp_hub.h"
#include "cuminferry_wire/udp/udp_socket.h"
