#pragma once

namespace cuminferry {

/** The HTTP headers between callers, nodes and backend servers. See
    docs/design/http-interface.md. */
namespace header_names {

/** What all of them begin with; none is passed on between caller and backend server. */
inline constexpr char kPrefix[] = "Cuminferry-";

/** Node to backend server and back again on its calls out: the opaque handle
    of the request that the backend server is working on. */
inline constexpr char kContext[] = "Cuminferry-Context";
/** Node to backend server: what is left of the deadline, in milliseconds. A
    caller may send it too, to ask for less than the row's deadline. */
inline constexpr char kTimeLeft[] = "Cuminferry-Time-Left-Ms";
/** Node to caller: "completed", "not_run" or "unknown". */
inline constexpr char kEnd[] = "Cuminferry-End";
/** Node to caller: the numbered result code. */
inline constexpr char kCode[] = "Cuminferry-Code";
/** Node to caller: the request's identity, for the time line. */
inline constexpr char kRequest[] = "Cuminferry-Request";
/** Both ways, non-idempotent rows: the ticket that the request is bound to. */
inline constexpr char kTicket[] = "Cuminferry-Ticket";
/** Node to caller, refusals: when to come back, in milliseconds. The usual
    Retry-After goes along, rounded up to seconds. */
inline constexpr char kRetryAfter[] = "Cuminferry-Retry-After-Ms";
/** Backend server to node, with a 503: this request was not run at all. */
inline constexpr char kNotRun[] = "Cuminferry-Not-Run";

}  // namespace header_names
}  // namespace cuminferry
