#include "cuminferry_node/runtime/local_replies.h"

namespace cuminferry {

reply_message MakeNotRunReply(request_id request, result_code code,
                              std::chrono::milliseconds retry_after) {
  reply_message reply;
  reply.request = request;
  reply.outcome = call_outcome::kNotRun;
  reply.code = static_cast<std::uint16_t>(code);
  reply.http_status = static_cast<std::uint16_t>(DescribeResultCode(code).http_status);
  reply.retry_after_millis = static_cast<std::uint32_t>(retry_after.count());
  return reply;
}

reply_message MakeUnknownReply(request_id request, result_code code) {
  reply_message reply = MakeNotRunReply(request, code);
  reply.outcome = call_outcome::kUnknown;
  return reply;
}

std::string_view NameOf(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kCompleted:
      return "completed";
    case call_outcome::kNotRun:
      return "not_run";
    case call_outcome::kUnknown:
      return "unknown";
  }
  return "invalid";
}

}  // namespace cuminferry
