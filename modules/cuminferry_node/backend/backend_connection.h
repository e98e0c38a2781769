#pragma once

#include <httplib.h>

#include <cstdint>
#include <functional>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** What is known of an exchange beside the library's verdict. */
struct exchange_facts {
  /** A whole answer, framed by a length or by chunks, stands in the response. */
  bool whole = false;
  /** Any byte of the request reached the kernel's send queue. */
  bool sent = false;
  bool timed_out = false;
  bool too_large = false;
  /** The request's body ended early on the caller's side. */
  bool body_broken_off = false;
};

/** One connection to the backend server; one exchange at a time. */
class backend_connection : public httplib::ClientImpl {
 public:
  /** Reaches into an exchange that runs. */
  struct exchange_hooks {
    /** The connection stands; false: send nothing. */
    std::function<bool()> on_open;
    /** The exchange is over; stop() is no longer useful. */
    std::function<void()> on_close;
    /** The next part of the body; see backend_request::more_body. Empty: none. */
    std::function<bool(std::string& part)> next_part;
  };

  explicit backend_connection(const endpoint& backend);

  //============================================================================
  /** Sends one request once and reads its answer into `response`.

      @param body_bytes  length of the body, or kUnknownLength for chunks
  */
  exchange_facts Exchange(httplib::Request& request, httplib::Response& response,
                          std::uint64_t body_bytes, std::uint32_t largest_answer, instant deadline,
                          exchange_hooks hooks);

  /** The other side has neither closed it nor said anything out of turn. */
  bool usable() const;
  /** The last exchange left nothing behind that the next could mistake for its own. */
  bool clean() const { return clean_; }

  static constexpr std::uint64_t kUnknownLength = UINT64_MAX;

 private:
  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream& stream)> callback) override;
  void AttachBody(httplib::Request& request, std::uint64_t body_bytes);
  bool GiveBody(std::uint64_t left, httplib::DataSink& sink);
  bool CheckHead(const httplib::Response& response);
  bool TakeBody(const char* bytes, std::size_t count, std::string& into);

  exchange_hooks hooks_;
  exchange_facts facts_;
  instant deadline_;
  std::uint32_t largest_answer_ = 0;
  class backend_stream* stream_ = nullptr;
  bool chunked_ = false;
  bool without_body_ = false;
  bool clean_ = true;
};

}  // namespace cuminferry
