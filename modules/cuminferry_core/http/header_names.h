#pragma once

namespace cuminferry {

/** The HTTP headers between callers, nodes and backend servers. See
    docs/design/http-interface.md. */
namespace header_names {

/** The common prefix of these headers. Headers with this prefix are never forwarded between
    callers and backend servers. */
inline constexpr char kPrefix[] = "Cuminferry-";

/** An opaque handle of the request that a backend server is running. The node sends it to the
    backend server, which sends it back with each call that it makes for the request. */
inline constexpr char kContext[] = "Cuminferry-Context";
/** Node to backend server: the time left until the deadline, in milliseconds. A caller may send it
    to request a shorter deadline than the row's. */
inline constexpr char kTimeLeft[] = "Cuminferry-Time-Left-Ms";
/** Node to caller: "completed", "not_run" or "unknown". */
inline constexpr char kOutcome[] = "Cuminferry-End";
/** Node to caller: the numbered result code. */
inline constexpr char kCode[] = "Cuminferry-Code";
/** Node to caller: the identifier of the request, to find its events on the time line. */
inline constexpr char kRequest[] = "Cuminferry-Request";
/** In requests and answers of non-idempotent rows: the ticket to which the request is bound. */
inline constexpr char kTicket[] = "Cuminferry-Ticket";
/** Node to caller, in refusals: the time to wait before a retry, in milliseconds. The standard
    Retry-After header is sent as well, rounded up to seconds. */
inline constexpr char kRetryAfter[] = "Cuminferry-Retry-After-Ms";
/** Backend server to node, with status 503: this request was not run. */
inline constexpr char kNotRun[] = "Cuminferry-Not-Run";

}  // namespace header_names
}  // namespace cuminferry
