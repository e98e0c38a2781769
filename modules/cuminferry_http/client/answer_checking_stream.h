#pragma once

#include <httplib.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Passes the bytes of another stream on to cpp-httplib as long as they are an answer that HTTP
    allows.

    The library takes a status of 000 for one, leaves out lines of a head that it can't read, and
    takes any interim answer but 100 for the final one. This stream fails before the end of a head
    that HTTP doesn't allow, and at damaged chunks, and keeps interim answers to itself.

    @see answer_head_check, chunk_check
*/
class answer_checking_stream : public httplib::Stream {
 public:
  /** Maximum size of the heads of an answer in bytes, with those of interim ones. */
  static constexpr std::size_t kMaxHeadBytes = 64 * 1024;

  /** @param inner  outlives this stream, which is used for one request and its answer */
  explicit answer_checking_stream(httplib::Stream& inner) : inner_(inner) {}

  /** What was wrong with the answer, as one of a small number of texts; empty if nothing. */
  std::string_view problem() const { return problem_; }
  /** Whether bytes of a head have not been read yet. */
  bool has_unread_bytes() const { return delivered_ < head_text_.size(); }

  //============================================================================
  bool is_readable() const override { return has_unread_bytes() || inner_.is_readable(); }
  bool is_writable() const override { return inner_.is_writable(); }
  ssize_t read(char* into, std::size_t size) override;
  ssize_t write(const char* from, std::size_t size) override { return inner_.write(from, size); }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    inner_.get_remote_ip_and_port(ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    inner_.get_local_ip_and_port(ip, port);
  }
  socket_t socket() const override { return inner_.socket(); }

 private:
  /** Reads up to the end of the final head. Returns what the inner stream returned at its end or
      failure; above 0 if the head is complete. */
  ssize_t ReadHead();
  ssize_t DeliverHead(char* into, std::size_t size);
  ssize_t ReadBody(char* into, std::size_t size);

  httplib::Stream& inner_;
  answer_head_check head_;
  std::optional<chunk_check> chunks_;
  std::string head_text_;
  std::size_t delivered_ = 0;
  std::size_t head_bytes_ = 0;
  std::string_view problem_;
};

}  // namespace cuminferry
