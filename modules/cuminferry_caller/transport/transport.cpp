#include "cuminferry_caller/transport/transport.h"

#include <httplib.h>
#include <strings.h>

#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "cuminferry_caller/transport/client_pool.h"

namespace cuminferry {
namespace {

// Sends requests with one connection pool for each node.
class http_transport {
 public:
  explicit http_transport(std::size_t max_answer_bytes) : max_answer_bytes_(max_answer_bytes) {}

  transport_answer Send(const transport_request& wanted) {
    client_pool& pool = PoolOf(wanted.to);
    std::unique_ptr<checked_http_client> client =
        wanted.on_new_connection ? pool.Make(wanted.timeout) : pool.Take(wanted.timeout);
    transport_answer answer;
    const httplib::Result result = client->send(RequestFrom(wanted, answer.body));
    if (!result) {
      answer.outcome = OutcomeOf(result.error());
      return answer;
    }
    answer.outcome = transport_outcome::kAnswered;
    answer.http_status = result->status;
    for (const auto& [name, value] : result->headers) {
      answer.headers.push_back({name, value});
    }
    pool.Return(std::move(client));
    return answer;
  }

 private:
  client_pool& PoolOf(endpoint to) {
    const std::lock_guard lock(mutex_);
    std::unique_ptr<client_pool>& pool = pools_[to];
    if (pool == nullptr) {
      pool = std::make_unique<client_pool>(to);
    }
    return *pool;
  }

  httplib::Request RequestFrom(const transport_request& wanted, std::string& body) const {
    httplib::Request request;
    request.method = wanted.method;
    request.path = wanted.path;
    for (const http_header& header : wanted.headers) {
      request.set_header(header.name, header.value);
    }
    request.body = wanted.body;
    request.content_receiver = [&body, bound = max_answer_bytes_](const char* part,
                                                                  std::size_t size, std::uint64_t,
                                                                  std::uint64_t) {
      if (body.size() + size > bound) {
        return false;
      }
      body.append(part, size);
      return true;
    };
    return request;
  }

  static transport_outcome OutcomeOf(httplib::Error error) {
    const bool is_unsent = error == httplib::Error::Connection ||
                           error == httplib::Error::ConnectionTimeout ||
                           error == httplib::Error::BindIPAddress;
    return is_unsent ? transport_outcome::kNotConnected : transport_outcome::kNoAnswer;
  }

  const std::size_t max_answer_bytes_;
  std::mutex mutex_;
  std::map<endpoint, std::unique_ptr<client_pool>> pools_;
};

}  // namespace

std::string_view transport_answer::Header(std::string_view name) const {
  for (const http_header& header : headers) {
    if (header.name.size() == name.size() &&
        ::strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return header.value;
    }
  }
  return {};
}

transport MakeHttpTransport(std::size_t max_answer_bytes) {
  auto shared = std::make_shared<http_transport>(max_answer_bytes);
  return [shared](const transport_request& wanted) { return shared->Send(wanted); };
}

}  // namespace cuminferry
