#include "cuminferry_node/fleet/platform_client.h"

#include <httplib.h>

#include <algorithm>
#include <vector>

namespace cuminferry {
namespace {

constexpr char kKeyPathPrefix[] = "/v1/kv/";
constexpr std::size_t kLargestValue = 1 << 20;
constexpr int kTooManyRequests = 429;
constexpr char kIndexHeader[] = "X-Consul-Index";
constexpr std::chrono::seconds kWatchGrace{5};
constexpr std::chrono::milliseconds kLongestConnect{2000};

std::string PathOf(std::string_view key) { return kKeyPathPrefix + std::string(key) + "?raw"; }

absl::Status StatusOf(int http_status, std::string_view path) {
  switch (http_status) {
    case 404:
      return MakeStatus(result_code::kPlatformBadValue, "no key at " + std::string(path));
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

  absl::StatusOr<std::string> Read(const std::string& path, std::chrono::milliseconds longest) {
    if (addresses_.empty()) {
      return MakeStatus(result_code::kPlatformUnreachable, "no address in the settings");
    }
    const std::shared_ptr<httplib::Client> client = Connected(longest);
    std::string value;
    const auto answer = client->Get(path, [&](const char* bytes, std::size_t count) {
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
      return StatusOf(answer->status, path);
    }
    index_ = answer->get_header_value(kIndexHeader);
    return value;
  }

  absl::StatusOr<std::string> Watch(const std::string& path, std::chrono::seconds longest) {
    const std::string since = index_.empty() ? "0" : index_;
    return Read(path + "&index=" + since + "&wait=" + std::to_string(longest.count()) + "s",
                longest + kWatchGrace);
  }

  void Interrupt() {
    const std::shared_ptr<httplib::Client> client = current();
    if (client != nullptr) {
      client->stop();
    }
  }

 private:
  std::shared_ptr<httplib::Client> current() {
    ranked_lock lock(mutex_);
    return client_;
  }

  std::shared_ptr<httplib::Client> Connected(std::chrono::milliseconds longest) {
    ranked_lock lock(mutex_);
    if (client_ == nullptr) {
      const endpoint at = addresses_[next_ % addresses_.size()];
      const std::string whole = at.ToString();
      client_ = std::make_shared<httplib::Client>(whole.substr(0, whole.rfind(':')), int{at.port});
      client_->set_keep_alive(true);
      client_->set_tcp_nodelay(true);
    }
    client_->set_connection_timeout(std::min<std::chrono::milliseconds>(longest, kLongestConnect));
    client_->set_read_timeout(longest);
    client_->set_write_timeout(longest);
    return client_;
  }

  void UseNext() {
    ranked_lock lock(mutex_);
    ++next_;
    client_.reset();
  }

  const std::vector<endpoint> addresses_;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  std::size_t next_ ABSL_GUARDED_BY(mutex_) = 0;
  std::shared_ptr<httplib::Client> client_ ABSL_GUARDED_BY(mutex_);
  // Of the last value read, as the platform numbers it.
  std::string index_;
};

platform_client::platform_client(std::span<const endpoint> addresses)
    : state_(std::make_unique<state>(addresses)) {}

platform_client::~platform_client() = default;

absl::StatusOr<std::string> platform_client::Read(std::string_view key,
                                                  std::chrono::milliseconds longest) {
  return state_->Read(PathOf(key), longest);
}

absl::StatusOr<std::string> platform_client::Watch(std::string_view key,
                                                   std::chrono::seconds longest) {
  return state_->Watch(PathOf(key), longest);
}

void platform_client::Interrupt() { state_->Interrupt(); }

}  // namespace cuminferry
