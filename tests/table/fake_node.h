#pragma once

#include <httplib.h>

#include <string>
#include <thread>
#include <utility>

namespace cuminferry::testing {

/** An HTTP server on a free port that gives prepared answers in place of a node. */
class fake_node {
 public:
  fake_node() {
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }

  ~fake_node() {
    server_.stop();
    thread_.join();
  }

  void AnswerGet(const std::string& path, std::string body, httplib::Headers headers = {},
                 int status = 200) {
    server_.Get(path, Answer(std::move(body), std::move(headers), status));
  }

  void AnswerPost(const std::string& path, std::string body, httplib::Headers headers = {},
                  int status = 200) {
    server_.Post(path, Answer(std::move(body), std::move(headers), status));
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static httplib::Server::Handler Answer(std::string body, httplib::Headers headers, int status) {
    return [body = std::move(body), headers = std::move(headers), status](
               const httplib::Request&, httplib::Response& response) {
      response.headers.insert(headers.begin(), headers.end());
      response.status = status;
      response.set_content(body, "application/json");
    };
  }

  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace cuminferry::testing
