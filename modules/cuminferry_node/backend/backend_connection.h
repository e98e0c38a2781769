#pragma once

#include <httplib.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The result of an exchange, in more detail than the HTTP library returns. */
struct exchange_result {
  /** The response holds a complete answer, delimited by a length or by chunks. */
  bool is_complete = false;
  /** The kernel accepted at least one byte of the request for sending. */
  bool sent = false;
  bool timed_out = false;
  bool too_large = false;
  /** What was wrong with the answer, as one of a small number of texts; empty if nothing. */
  std::string_view problem;
  /** The caller did not supply the whole request body. */
  bool body_aborted = false;
};

/** A connection to the backend server. It carries one exchange at a time. */
class backend_connection : public httplib::ClientImpl {
 public:
  /** Callbacks during an exchange. */
  struct exchange_hooks {
    /** Called when the connection is established. If it returns false, nothing is sent. */
    std::function<bool()> on_open;
    /** Called when the exchange has finished, after which stop() has no effect on it. */
    std::function<void()> on_close;
    /** Supplies the next body part, as backend_request::more_body does. Empty: no body. */
    std::function<bool(std::string& part)> next_part;
  };

  explicit backend_connection(const endpoint& backend);

  //============================================================================
  /** Sends one request once and reads its answer into `response`.

      @param body_bytes  length of the body, or kUnknownLength to send it in chunks
  */
  exchange_result Exchange(httplib::Request& request, httplib::Response& response,
                           std::uint64_t body_bytes, std::uint32_t max_answer_bytes,
                           instant deadline, exchange_hooks hooks);

  /** Whether the backend server has neither closed the connection nor sent unrequested bytes. */
  bool is_usable() const;
  /** Whether the last exchange left no bytes that the next one could take for its answer. */
  bool is_reusable() const { return is_reusable_; }

  static constexpr std::uint64_t kUnknownLength = UINT64_MAX;

 private:
  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream& stream)> callback) override;
  void AttachBody(httplib::Request& request, std::uint64_t body_bytes);
  bool WriteBody(std::uint64_t left, httplib::DataSink& sink);
  bool CheckHead(const httplib::Response& response);
  bool AppendBody(const char* bytes, std::size_t count, std::string& body);

  exchange_hooks hooks_;
  exchange_result result_;
  instant deadline_;
  std::uint32_t max_answer_bytes_ = 0;
  class backend_stream* stream_ = nullptr;
  bool chunked_ = false;
  bool has_no_body_ = false;
  bool is_reusable_ = true;
};

}  // namespace cuminferry
