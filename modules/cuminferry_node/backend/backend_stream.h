#pragma once

#include <httplib.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_node/http/head_limiter.h"

namespace cuminferry {

/** The HTTP library's stream for one exchange with the backend server over a connected socket.

    The library's own stream restarts its timeouts with each byte, does not report whether anything
    was sent, and limits neither the status line nor the number of headers. This stream applies one
    deadline to the whole exchange, counts the bytes that the kernel accepted, and aborts an
    exchange whose head is too long.
*/
class backend_stream : public httplib::Stream {
 public:
  /** Maximum length of a status line. The library matches the line with a recursive regular
      expression, and a long line would overflow a worker's small stack. */
  static constexpr std::size_t kMaxStatusLineBytes = 128;

  backend_stream(int socket, instant deadline);

  //============================================================================
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* into, std::size_t size) override;
  ssize_t write(const char* from, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

  //============================================================================
  /** Number of bytes that the kernel accepted. If 0, the backend server received nothing. */
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  bool timed_out() const { return timed_out_; }
  /** Whether the backend server answered or closed while the request was being sent. Further
      writes are discarded, so that the library goes on to read the answer. */
  bool answered_early() const { return answered_early_; }
  /** Whether the last bytes read are those that end a chunked answer. */
  bool ends_with_last_chunk() const;
  /** Whether bytes were received that the library has not read. */
  bool has_unread_bytes() const { return unread_begin_ != unread_end_; }

 private:
  bool WaitFor(short events) const;
  bool FillBuffer();
  bool IsHeadWithinBounds(std::string_view bytes);
  void RecordTail(std::string_view bytes);

  int socket_;
  instant deadline_;
  std::vector<char> buffer_;
  std::size_t unread_begin_ = 0;
  std::size_t unread_end_ = 0;
  std::string tail_;
  std::string status_line_;
  head_limiter head_;
  std::uint64_t bytes_sent_ = 0;
  mutable bool timed_out_ = false;
  bool answered_early_ = false;
};

}  // namespace cuminferry
