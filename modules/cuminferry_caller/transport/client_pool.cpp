#include "cuminferry_caller/transport/client_pool.h"

#include <algorithm>
#include <utility>

namespace cuminferry {
namespace {

void SetTimeouts(httplib::Client& client, std::chrono::milliseconds timeout) {
  timeout = std::max(timeout, std::chrono::milliseconds(1));
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
}

}  // namespace

client_pool::client_pool(endpoint to, std::size_t idle_bound) : to_(to), idle_bound_(idle_bound) {}

std::unique_ptr<httplib::Client> client_pool::Make(std::chrono::milliseconds timeout) const {
  const std::string host = endpoint{to_.address, 0}.ToString();
  auto client = std::make_unique<httplib::Client>(host.substr(0, host.rfind(':')), to_.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  SetTimeouts(*client, timeout);
  return client;
}

std::unique_ptr<httplib::Client> client_pool::Take(std::chrono::milliseconds timeout) {
  std::unique_ptr<httplib::Client> client;
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

void client_pool::Return(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(mutex_);
  if (idle_.size() < idle_bound_) {
    idle_.push_back(std::move(client));
  }
}

void client_pool::Clear() {
  std::vector<std::unique_ptr<httplib::Client>> closing;
  const std::lock_guard lock(mutex_);
  closing.swap(idle_);
}

}  // namespace cuminferry
