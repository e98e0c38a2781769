#include "ctl/fleet/node_client.h"

#include <httplib.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace cuminferry::ctl {
namespace {

constexpr std::size_t kCallsAtOnce = 32;
/** The HTTP library keeps a read buffer on the stack. */
constexpr std::size_t kStackBytes = 512 * 1024;

httplib::Client ClientTo(endpoint at, std::chrono::milliseconds longest) {
  const std::string whole = at.ToString();
  httplib::Client client(whole.substr(0, whole.rfind(':')), at.port);
  client.set_connection_timeout(longest);
  client.set_read_timeout(longest);
  client.set_write_timeout(longest);
  return client;
}

std::string WhyNoAnswer(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
      return "no connection: refused, or no answer in time";
    case httplib::Error::Read:
      return "connected, and no answer in time";
    case httplib::Error::Canceled:
      return "the answer is larger than " + std::to_string(kLargestAnswer) + " bytes";
    default:
      return httplib::to_string(error);
  }
}

absl::Status Unreachable(endpoint at, const std::string& why) {
  return MakeStatus(result_code::kTargetUnreachable, at.ToString() + ": " + why);
}

absl::StatusOr<http_answer> AnswerOf(endpoint at, const httplib::Result& result, std::string body) {
  if (!result) {
    return Unreachable(at, WhyNoAnswer(result.error()));
  }
  http_answer answer{result->status, std::move(body), {}};
  answer.headers.insert(result->headers.begin(), result->headers.end());
  return answer;
}

node_answer GetJson(endpoint at, const std::string& path, std::chrono::milliseconds longest) {
  const auto answer = Get(at, path, longest);
  if (!answer.ok()) {
    return {at, answer.status()};
  }
  if (answer->status != 200) {
    return {at, Unreachable(at, "HTTP status " + std::to_string(answer->status))};
  }
  nlohmann::json value = nlohmann::json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return {at, Unreachable(at, "the answer is not JSON")};
  }
  return {at, std::move(value)};
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

absl::StatusOr<http_answer> Get(endpoint at, const std::string& path,
                                std::chrono::milliseconds longest) {
  httplib::Client client = ClientTo(at, longest);
  std::string body;
  const auto result = client.Get(path, [&](const char* bytes, std::size_t count) {
    body.append(bytes, count);
    return body.size() <= kLargestAnswer;
  });
  return AnswerOf(at, result, std::move(body));
}

absl::StatusOr<http_answer> Post(endpoint at, const std::string& path,
                                 std::chrono::milliseconds longest) {
  httplib::Client client = ClientTo(at, longest);
  const auto result = client.Post(path);
  return AnswerOf(at, result, result ? result->body : std::string());
}

std::vector<node_answer> GetJsonFromAll(std::span<const endpoint> nodes, const std::string& path,
                                        std::chrono::milliseconds longest) {
  std::vector<node_answer> answers;
  for (const endpoint at : nodes) {
    answers.push_back({at, absl::UnknownError("not asked")});
  }
  worker_pool pool({.name = "ask",
                    .threads = std::min(nodes.size(), kCallsAtOnce),
                    .stack_bytes = kStackBytes,
                    .max_queued_tasks = nodes.size()});
  for (node_answer& answer : answers) {
    const bool queued =
        pool.Submit([&answer, &path, longest] { answer = GetJson(answer.at, path, longest); });
    if (!queued) {
      answer.json = Unreachable(answer.at, "too many nodes at once");
    }
  }
  pool.Stop();
  return answers;
}

}  // namespace cuminferry::ctl
