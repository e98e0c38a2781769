#include "cuminferry_relay/http/http_status.h"

namespace cuminferry::http_status {

bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests ||
         status == kUnavailable;
}

std::string_view ReasonOf(int status) {
  switch (status) {
    case kOk:
      return "OK";
    case kBadRequest:
      return "Bad Request";
    case kUnauthorized:
      return "Unauthorized";
    case kNotFound:
      return "Not Found";
    case kRequestTimeout:
      return "Request Timeout";
    case kContentTooLarge:
      return "Content Too Large";
    case kTooManyRequests:
      return "Too Many Requests";
    case kHeadTooLarge:
      return "Request Header Fields Too Large";
    case kBadGateway:
      return "Bad Gateway";
    case kUnavailable:
      return "Service Unavailable";
    case kGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "";
  }
}

}  // namespace cuminferry::http_status
