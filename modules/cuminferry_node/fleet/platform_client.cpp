#include "cuminferry_node/fleet/platform_client.h"

#include <httplib.h>

#include <vector>

namespace cuminferry {
namespace {

constexpr char kKeyPathPrefix[] = "/v1/kv/";
constexpr std::size_t kLargestValue = 1 << 20;
constexpr int kTooManyRequests = 429;

absl::Status StatusOf(int http_status, std::string_view key) {
  switch (http_status) {
    case 404:
      return MakeStatus(result_code::kPlatformBadValue, "no key " + std::string(key));
    case kTooManyRequests:
    case 503:
      return MakeStatus(result_code::kReadBudgetSpent, "refused by the platform");
    default:
      return MakeStatus(result_code::kPlatformUnreachable, "HTTP " + std::to_string(http_status));
  }
}

}  // namespace

class platform_client::state {
 public:
  explicit state(std::span<const endpoint> addresses)
      : addresses_(addresses.begin(), addresses.end()) {}

  absl::StatusOr<std::string> Read(std::string_view key, std::chrono::milliseconds longest) {
    if (addresses_.empty()) {
      return MakeStatus(result_code::kPlatformUnreachable, "no address in the settings");
    }
    httplib::Client& client = Connected(longest);
    std::string value;
    const auto answer = client.Get(kKeyPathPrefix + std::string(key) + "?raw",
                                   [&](const char* bytes, std::size_t count) {
                                     value.append(bytes, count);
                                     return value.size() <= kLargestValue;
                                   });
    if (!answer || answer->status >= 500) {
      UseNext();
    }
    if (!answer) {
      return MakeStatus(result_code::kPlatformUnreachable, httplib::to_string(answer.error()));
    }
    if (answer->status != 200) {
      return StatusOf(answer->status, key);
    }
    return value;
  }

 private:
  httplib::Client& Connected(std::chrono::milliseconds longest) {
    if (client_ == nullptr) {
      const endpoint at = addresses_[next_ % addresses_.size()];
      const std::string whole = at.ToString();
      client_ = std::make_unique<httplib::Client>(whole.substr(0, whole.rfind(':')), int{at.port});
      client_->set_keep_alive(true);
      client_->set_tcp_nodelay(true);
    }
    client_->set_connection_timeout(longest);
    client_->set_read_timeout(longest);
    client_->set_write_timeout(longest);
    return *client_;
  }

  void UseNext() {
    ++next_;
    client_.reset();
  }

  const std::vector<endpoint> addresses_;
  std::size_t next_ = 0;
  std::unique_ptr<httplib::Client> client_;
};

platform_client::platform_client(std::span<const endpoint> addresses)
    : state_(std::make_unique<state>(addresses)) {}

platform_client::~platform_client() = default;

absl::StatusOr<std::string> platform_client::Read(std::string_view key,
                                                  std::chrono::milliseconds longest) {
  return state_->Read(key, longest);
}

}  // namespace cuminferry
