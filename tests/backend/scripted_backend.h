#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::testing {

/** One accepted connection of a scripted backend server. The destructor closes it. */
class raw_connection {
 public:
  raw_connection(int socket, std::atomic<int>& request_count);
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  /** Reads to the end of a request's head, counts the request and returns the head, or an empty
      string if the client closed first. */
  std::string ReadHead();
  /** Reads `count` bytes of the body, or fewer if the client closes before. */
  std::string ReadBody(std::size_t count);
  /** Waits until bytes are available, without reading them. */
  void AwaitBytes();
  /** Reads until the client has closed. */
  void AwaitClose();
  void Write(std::string_view bytes);
  /** Closes the connection with a TCP reset. */
  void Reset();

 private:
  int socket_;
  std::atomic<int>& request_count_;
};

/** A stand-in for a backend server on raw sockets. A script handles each connection and can violate
    HTTP at any byte. */
class scripted_backend {
 public:
  using script = std::function<void(raw_connection& connection, int connection_number)>;

  explicit scripted_backend(script on_connection);
  /** Waits for the scripts to return, so the client must have closed its connections. */
  ~scripted_backend();

  endpoint address() const { return address_; }
  int connections() const { return connections_; }
  /** Number of requests whose head was read completely. */
  int request_count() const { return request_count_; }

 private:
  void Accept();

  script on_connection_;
  endpoint address_;
  int listener_ = -1;
  std::atomic<int> connections_ = 0;
  std::atomic<int> request_count_ = 0;
  std::thread acceptor_;
};

}  // namespace cuminferry::testing
