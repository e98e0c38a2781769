#include "cuminferry_caller/transport/client_pool.h"

#include <algorithm>
#include <utility>

namespace cuminferry {
namespace {

void SetTimeouts(checked_http_client& client, std::chrono::milliseconds timeout) {
  timeout = std::max(timeout, std::chrono::milliseconds(1));
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
}

}  // namespace

client_pool::client_pool(endpoint to, std::size_t idle_bound) : to_(to), idle_bound_(idle_bound) {}

std::unique_ptr<checked_http_client> client_pool::Make(std::chrono::milliseconds timeout) const {
  auto client = std::make_unique<checked_http_client>(to_);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  SetTimeouts(*client, timeout);
  return client;
}

std::unique_ptr<checked_http_client> client_pool::Take(std::chrono::milliseconds timeout) {
  std::unique_ptr<checked_http_client> client;
  {
    const std::lock_guard lock(mutex_);
    if (!idle_.empty()) {
      client = std::move(idle_.back());
      idle_.pop_back();
    }
  }
  if (client == nullptr) {
    return Make(timeout);
  }
  SetTimeouts(*client, timeout);
  return client;
}

void client_pool::Return(std::unique_ptr<checked_http_client> client) {
  const std::lock_guard lock(mutex_);
  if (idle_.size() < idle_bound_) {
    idle_.push_back(std::move(client));
  }
}

void client_pool::Clear() {
  std::vector<std::unique_ptr<checked_http_client>> closing;
  const std::lock_guard lock(mutex_);
  closing.swap(idle_);
}

}  // namespace cuminferry
