#include "cuminferry_node/runtime/http_replies.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminferry {
namespace {

constexpr std::array<std::string_view, 8> kConnectionHeaders = {
    "Connection", "Content-Length", "Transfer-Encoding", "Host", "Keep-Alive", "Expect",
    "TE",         "Upgrade"};

// The HTTP library adds these for its own connection; they are not the caller's headers.
constexpr std::array<std::string_view, 4> kLibraryHeaders = {"REMOTE_ADDR", "REMOTE_PORT",
                                                             "LOCAL_ADDR", "LOCAL_PORT"};

bool IsSameName(std::string_view one, std::string_view other) {
  return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

bool IsForwarded(const header_field& field) {
  const auto is_it = [&](std::string_view name) { return IsSameName(name, field.name); };
  const std::string_view prefix = header_names::kPrefix;
  return !IsSameName(std::string_view(field.name).substr(0, prefix.size()), prefix) &&
         std::ranges::none_of(kConnectionHeaders, is_it) &&
         std::ranges::none_of(kLibraryHeaders, is_it);
}

void AddRetryAfter(std::uint32_t millis, http_response& into) {
  if (millis == 0) {
    return;
  }
  constexpr std::uint32_t kMillisPerSecond = 1000;
  const std::uint32_t seconds = (millis + kMillisPerSecond - 1) / kMillisPerSecond;
  into.headers.push_back({"Retry-After", std::to_string(seconds)});
  into.headers.push_back({header_names::kRetryAfter, std::to_string(millis)});
}

std::string ErrorBody(const reply_message& reply) {
  const result_code_info& info = DescribeResultCode(static_cast<result_code>(reply.code));
  std::string body = "CF";
  body += std::to_string(reply.code);
  body += ' ';
  body += info.name;
  body += ": ";
  body += info.meaning;
  body += '\n';
  return body;
}

}  // namespace

void WriteHttpResponse(const reply_message& reply, http_response& into) {
  into.status = reply.http_status;
  into.headers.push_back({header_names::kOutcome, std::string(NameOf(reply.outcome))});
  into.headers.push_back({header_names::kCode, std::to_string(reply.code)});
  into.headers.push_back({header_names::kRequest, ToString(reply.request)});
  AddRetryAfter(reply.retry_after_millis, into);
  if (reply.outcome != call_outcome::kCompleted) {
    into.body = ErrorBody(reply);
    return;
  }
  into.body = reply.body;
  for (const header_field& field : reply.headers) {
    if (IsSameName(field.name, "Content-Type")) {
      into.content_type = field.value;
    } else if (IsForwarded(field)) {
      into.headers.push_back(field);
    }
  }
}

std::vector<header_field> HeadersToForward(const std::vector<header_field>& headers) {
  std::vector<header_field> forwarded;
  std::ranges::copy_if(headers, std::back_inserter(forwarded), IsForwarded);
  return forwarded;
}

bool ReadTimeLeft(const http_request& request, instant now, instant longest, instant& into) {
  into = longest;
  const auto header = request.Header(header_names::kTimeLeft);
  if (!header.has_value()) {
    return true;
  }
  std::uint32_t millis = 0;
  const char* end = header->data() + header->size();
  const auto [rest, error] = std::from_chars(header->data(), end, millis);
  if (error != std::errc() || rest != end) {
    return false;
  }
  into = std::min(longest, now + std::chrono::milliseconds(millis));
  return true;
}

}  // namespace cuminferry
