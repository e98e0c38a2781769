#include "ctl/fleet/node_client.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "cuminferry_http/cuminferry_http.h"

namespace cuminferry::ctl {
namespace {

constexpr std::size_t kMaxConcurrentCalls = 32;
/** The HTTP library has its read buffer on the stack. */
constexpr std::size_t kStackBytes = 512 * 1024;

void SetTimeouts(checked_http_client& client, std::chrono::milliseconds timeout) {
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
}

std::string DescribeToOperator(const checked_http_client& client, httplib::Error error) {
  if (!client.problem().empty()) {
    return DescribeFailure(client, error);
  }
  switch (error) {
    case httplib::Error::Connection:
      return "no connection: refused, or no answer in time";
    case httplib::Error::Read:
      return "connected, and no answer in time";
    case httplib::Error::Canceled:
      return "the answer is larger than " + std::to_string(kMaxAnswerBytes) + " bytes";
    default:
      return httplib::to_string(error);
  }
}

absl::Status Unreachable(endpoint address, const std::string& why) {
  return MakeStatus(result_code::kTargetUnreachable, address.ToString() + ": " + why);
}

absl::StatusOr<http_answer> AnswerOf(endpoint address, const checked_http_client& client,
                                     const httplib::Result& result, std::string body) {
  if (!result) {
    return Unreachable(address, DescribeToOperator(client, result.error()));
  }
  http_answer answer{result->status, std::move(body), {}};
  answer.headers.insert(result->headers.begin(), result->headers.end());
  return answer;
}

node_answer GetJson(endpoint address, const std::string& path, std::chrono::milliseconds timeout) {
  const auto answer = Get(address, path, timeout);
  if (!answer.ok()) {
    return {address, answer.status()};
  }
  if (answer->status != 200) {
    return {address, Unreachable(address, "HTTP status " + std::to_string(answer->status))};
  }
  nlohmann::json value = nlohmann::json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return {address, Unreachable(address, "the answer is not JSON")};
  }
  return {address, std::move(value)};
}

}  // namespace

std::string http_answer::Header(const std::string& name) const {
  const auto found = std::ranges::find_if(headers, [&](const auto& header) {
    return std::ranges::equal(header.first, name, [](char left, char right) {
      return std::tolower(static_cast<unsigned char>(left)) ==
             std::tolower(static_cast<unsigned char>(right));
    });
  });
  return found == headers.end() ? std::string() : found->second;
}

absl::StatusOr<http_answer> Get(endpoint address, const std::string& path,
                                std::chrono::milliseconds timeout) {
  checked_http_client client(address);
  SetTimeouts(client, timeout);
  std::string body;
  const auto result = client.Get(path, [&](const char* bytes, std::size_t count) {
    body.append(bytes, count);
    return body.size() <= kMaxAnswerBytes;
  });
  return AnswerOf(address, client, result, std::move(body));
}

absl::StatusOr<http_answer> Post(endpoint address, const std::string& path,
                                 std::chrono::milliseconds timeout) {
  checked_http_client client(address);
  SetTimeouts(client, timeout);
  const auto result = client.Post(path);
  return AnswerOf(address, client, result, result ? result->body : std::string());
}

std::vector<node_answer> GetJsonFromAll(std::span<const endpoint> nodes, const std::string& path,
                                        std::chrono::milliseconds timeout) {
  std::vector<node_answer> answers;
  for (const endpoint address : nodes) {
    answers.push_back({address, absl::UnknownError("not asked")});
  }
  worker_pool pool({.name = "ask",
                    .threads = std::min(nodes.size(), kMaxConcurrentCalls),
                    .stack_bytes = kStackBytes,
                    .max_queued_tasks = nodes.size()});
  for (node_answer& answer : answers) {
    const bool queued =
        pool.Submit([&answer, &path, timeout] { answer = GetJson(answer.address, path, timeout); });
    if (!queued) {
      answer.json = Unreachable(answer.address, "too many nodes at once");
    }
  }
  pool.Stop();
  return answers;
}

}  // namespace cuminferry::ctl
