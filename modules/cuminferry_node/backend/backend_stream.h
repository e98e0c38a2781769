#pragma once

#include <httplib.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_node/http/head_bound.h"

namespace cuminferry {

/** One exchange with the backend server over a connected socket, as the HTTP
    library sees it.

    The library's own stream restarts its timeouts with each byte, does not tell
    whether anything was sent, and bounds neither the status line nor the number
    of headers. This one holds the whole exchange to one deadline, counts what
    the kernel took, and ends an exchange whose head is too long.
*/
class backend_stream : public httplib::Stream {
 public:
  /** Most bytes of a status line: the library matches it with a recursive
      regular expression, and a long one would overflow a worker's small stack. */
  static constexpr std::size_t kLongestStatusLine = 128;

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
  /** Bytes that the kernel took; 0: the backend server knows nothing of it. */
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  bool timed_out() const { return timed_out_; }
  /** The backend server answered, or closed, while the request was being sent.
      Further writes are swallowed, so that the library goes on to the answer. */
  bool answered_early() const { return answered_early_; }
  /** The last bytes read are those that end a chunked answer. */
  bool at_end_of_chunks() const;
  /** Bytes were received that the library has not asked for. */
  bool has_left_over() const { return begin_ != end_; }

 private:
  bool WaitFor(short events) const;
  bool Fill();
  bool HeadWithinBounds(std::string_view bytes);
  void Remember(std::string_view bytes);

  int socket_;
  instant deadline_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::string tail_;
  std::string status_line_;
  head_bound head_;
  std::uint64_t bytes_sent_ = 0;
  mutable bool timed_out_ = false;
  bool answered_early_ = false;
};

}  // namespace cuminferry
