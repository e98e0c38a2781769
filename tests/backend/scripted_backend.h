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

/** One accepted connection of a scripted backend server. Closes at its end. */
class raw_connection {
 public:
  raw_connection(int socket, std::atomic<int>& arrivals);
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  /** Reads to the end of a request's head, counts an arrival and returns the
      head; empty where the other side closed first. */
  std::string ReadHead();
  /** Reads exactly so many bytes of the body; less where the other side closed. */
  std::string ReadBody(std::size_t count);
  /** Waits until there is something to read, and does not read it. */
  void AwaitBytes();
  /** Reads until the other side has closed. */
  void AwaitClose();
  void Write(std::string_view bytes);
  /** Closes so that the other side sees a reset. */
  void Reset();

 private:
  int socket_;
  std::atomic<int>& arrivals_;
};

/** A stand-in on a raw socket: what happens on each connection is a script, so
    that it can break the protocol at any byte. */
class scripted_backend {
 public:
  using script = std::function<void(raw_connection& connection, int number)>;

  explicit scripted_backend(script on_connection);
  /** Waits for the scripts; the client must be gone or have closed. */
  ~scripted_backend();

  endpoint at() const { return at_; }
  int connections() const { return connections_; }
  /** Requests whose whole head arrived. */
  int arrivals() const { return arrivals_; }

 private:
  void Accept();

  script on_connection_;
  endpoint at_;
  int listener_ = -1;
  std::atomic<int> connections_ = 0;
  std::atomic<int> arrivals_ = 0;
  std::thread acceptor_;
};

}  // namespace cuminferry::testing
