#include "cuminferry_node/fleet/platform_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cuminferry_http/cuminferry_http.h"

namespace cuminferry {
namespace {

constexpr char kKeyPathPrefix[] = "/v1/kv/";
constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr int kTooManyRequests = 429;
constexpr char kIndexHeader[] = "X-Consul-Index";
constexpr std::chrono::seconds kWatchTimeoutMargin{5};
constexpr std::chrono::milliseconds kConnectTimeout{2000};

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
  state(std::span<const endpoint> addresses,
        std::function<void(std::string_view problem)> on_invalid_answer)
      : addresses_(addresses.begin(), addresses.end()),
        on_invalid_answer_(std::move(on_invalid_answer)) {}

  absl::StatusOr<std::string> Read(const std::string& path, std::chrono::milliseconds timeout) {
    if (addresses_.empty()) {
      return MakeStatus(result_code::kPlatformUnreachable, "no address in the settings");
    }
    const std::shared_ptr<checked_http_client> client = ConnectedClient(timeout);
    std::string value;
    const auto answer = client->Get(path, [&](const char* bytes, std::size_t count) {
      value.append(bytes, count);
      return value.size() <= kMaxValueBytes;
    });
    if (!answer || answer->status >= 500) {
      UseNextAddress();
    }
    if (!client->problem().empty() && on_invalid_answer_) {
      on_invalid_answer_(client->problem());
    }
    if (!answer) {
      return MakeStatus(result_code::kPlatformUnreachable,
                        DescribeFailure(*client, answer.error()));
    }
    if (answer->status != 200) {
      return StatusOf(answer->status, path);
    }
    index_ = answer->get_header_value(kIndexHeader);
    return value;
  }

  absl::StatusOr<std::string> Watch(const std::string& path, std::chrono::seconds timeout) {
    const std::string since = index_.empty() ? "0" : index_;
    return Read(path + "&index=" + since + "&wait=" + std::to_string(timeout.count()) + "s",
                timeout + kWatchTimeoutMargin);
  }

  void Interrupt() {
    const std::shared_ptr<checked_http_client> client = CurrentClient();
    if (client != nullptr) {
      client->stop();
    }
  }

 private:
  std::shared_ptr<checked_http_client> CurrentClient() {
    ranked_lock lock(mutex_);
    return client_;
  }

  std::shared_ptr<checked_http_client> ConnectedClient(std::chrono::milliseconds timeout) {
    ranked_lock lock(mutex_);
    if (client_ == nullptr) {
      const endpoint address = addresses_[next_address_ % addresses_.size()];
      client_ = std::make_shared<checked_http_client>(address);
      client_->set_keep_alive(true);
      client_->set_tcp_nodelay(true);
    }
    client_->set_connection_timeout(std::min<std::chrono::milliseconds>(timeout, kConnectTimeout));
    client_->set_read_timeout(timeout);
    client_->set_write_timeout(timeout);
    return client_;
  }

  void UseNextAddress() {
    ranked_lock lock(mutex_);
    ++next_address_;
    client_.reset();
  }

  const std::vector<endpoint> addresses_;
  const std::function<void(std::string_view problem)> on_invalid_answer_;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  std::size_t next_address_ ABSL_GUARDED_BY(mutex_) = 0;
  std::shared_ptr<checked_http_client> client_ ABSL_GUARDED_BY(mutex_);
  // The X-Consul-Index of the last value read.
  std::string index_;
};

platform_client::platform_client(std::span<const endpoint> addresses,
                                 std::function<void(std::string_view problem)> on_invalid_answer)
    : state_(std::make_unique<state>(addresses, std::move(on_invalid_answer))) {}

platform_client::~platform_client() = default;

absl::StatusOr<std::string> platform_client::Read(std::string_view key,
                                                  std::chrono::milliseconds timeout) {
  return state_->Read(PathOf(key), timeout);
}

absl::StatusOr<std::string> platform_client::Watch(std::string_view key,
                                                   std::chrono::seconds timeout) {
  return state_->Watch(PathOf(key), timeout);
}

void platform_client::Interrupt() { state_->Interrupt(); }

}  // namespace cuminferry
