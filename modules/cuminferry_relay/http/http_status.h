#pragma once

#include <string_view>

namespace cuminferry {

/** The status codes that a node sends itself or handles specially (RFC 9110). */
namespace http_status {

inline constexpr int kContinue = 100;
inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kFirstRedirect = 300;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadTooLarge = 431;
inline constexpr int kFirstServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

/** Whether clients take an answer with this status for the promise that the request has not run and
    will not, so that it may be sent again whatever its kind. */
bool PromisesNotRun(int status);

/** Returns the standard reason phrase, or an empty string if none is listed for this status. */
std::string_view ReasonOf(int status);

}  // namespace http_status

}  // namespace cuminferry
