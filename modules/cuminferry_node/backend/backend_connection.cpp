#include "cuminferry_node/backend/backend_connection.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <utility>

#include "cuminferry_http/cuminferry_http.h"
#include "cuminferry_node/backend/backend_stream.h"

namespace cuminferry {
namespace {

constexpr int kNotModified = 304;

bool ParseLength(const std::string& text, std::uint64_t& length) {
  const bool digits = !text.empty() && std::ranges::all_of(text, [](char each) {
    return each >= '0' && each <= '9';
  });
  return digits && absl::SimpleAtoi(text, &length);
}

}  // namespace

backend_connection::backend_connection(const endpoint& backend)
    : ClientImpl(HostOf(backend), backend.port) {
  set_keep_alive(true);
  set_tcp_nodelay(true);
  // A redirect is passed to the caller as an answer; the node does not follow it.
  set_follow_location(false);
  // The node forwards paths and bodies unchanged.
  set_url_encode(false);
  set_decompress(false);
  set_compress(false);
}

//==============================================================================
exchange_result backend_connection::Exchange(httplib::Request& request, httplib::Response& response,
                                             std::uint64_t body_bytes,
                                             std::uint32_t max_answer_bytes, instant deadline,
                                             exchange_hooks hooks) {
  hooks_ = std::move(hooks);
  result_ = {};
  deadline_ = deadline;
  max_answer_bytes_ = max_answer_bytes;
  chunked_ = false;
  has_no_body_ = false;
  is_reusable_ = false;
  set_connection_timeout(std::max(deadline - boot_clock::Now(), duration(1000)));
  AttachBody(request, body_bytes);
  request.response_handler = [this](const httplib::Response& head) { return CheckHead(head); };
  request.content_receiver = [this, &response](const char* bytes, std::size_t count, std::uint64_t,
                                               std::uint64_t) {
    return AppendBody(bytes, count, response.body);
  };
  httplib::Error error = httplib::Error::Success;
  const bool done = send(request, response, error);
  result_.is_complete = result_.is_complete && (done || has_no_body_);
  hooks_ = {};
  return result_;
}

bool backend_connection::is_usable() const {
  if (is_socket_open() == 0) {
    return false;
  }
  // An idle socket is readable if it was closed or holds unrequested bytes. A late answer to an
  // earlier request would be read as the answer to the next one.
  pollfd ready{socket(), POLLIN, 0};
  return ::poll(&ready, 1, 0) == 0;
}

//==============================================================================
bool backend_connection::process_socket(const Socket& socket,
                                        std::function<bool(httplib::Stream& stream)> callback) {
  backend_stream stream(socket.sock, deadline_);
  answer_checking_stream checked(stream);
  bool done = false;
  if (hooks_.on_open()) {
    stream_ = &stream;
    done = callback(checked) && checked.problem().empty();
    stream_ = nullptr;
  }
  hooks_.on_close();
  result_.sent = stream.bytes_sent() > 0;
  result_.timed_out = stream.timed_out();
  result_.problem = checked.problem();
  // The library treats a chunk with a damaged end as the last one and would return the part
  // before it as the complete answer.
  // Bytes after a body of the stated length show that the length is wrong, so the body is
  // incomplete.
  result_.is_complete = (done || has_no_body_) && (!chunked_ || stream.ends_with_last_chunk()) &&
                        !stream.has_unread_bytes() && result_.problem.empty();
  is_reusable_ = done && result_.is_complete && !stream.answered_early();
  return done;
}

void backend_connection::AttachBody(httplib::Request& request, std::uint64_t body_bytes) {
  if (!hooks_.next_part) {
    return;
  }
  const bool chunked = body_bytes == kUnknownLength;
  if (chunked) {
    request.headers.emplace("Transfer-Encoding", "chunked");
  } else {
    request.content_length_ = body_bytes;
  }
  request.is_chunked_content_provider_ = chunked;
  request.content_provider_ = [this, chunked](std::size_t, std::size_t left,
                                              httplib::DataSink& sink) {
    return WriteBody(chunked ? kUnknownLength : left, sink);
  };
}

bool backend_connection::WriteBody(std::uint64_t left, httplib::DataSink& sink) {
  static constexpr std::array<char, 64 * 1024> kFiller{};
  if (stream_->answered_early()) {
    // The stream discards further writes, so the rest of the caller's body is not read.
    if (left == kUnknownLength) {
      sink.done();
      return true;
    }
    return sink.write(kFiller.data(), std::min<std::uint64_t>(left, kFiller.size()));
  }
  std::string part;
  if (!hooks_.next_part(part) || part.size() > left) {
    result_.body_aborted = true;
    return false;
  }
  if (!part.empty()) {
    return sink.write(part.data(), part.size());
  }
  if (left != kUnknownLength) {
    result_.body_aborted = true;
    return false;
  }
  sink.done();
  return true;
}

bool backend_connection::CheckHead(const httplib::Response& response) {
  if (response.status == kNotModified) {
    // A 304 answer has no body, but the library would wait for one.
    has_no_body_ = true;
    return false;
  }
  const std::size_t lengths = response.headers.count("Content-Length");
  const std::size_t transfer_codings = response.headers.count("Transfer-Encoding");
  // An answer that is delimited only by the end of the connection cannot be distinguished from a
  // truncated one, and two lengths leave open which bytes belong to the answer.
  if (lengths + transfer_codings != 1) {
    return false;
  }
  if (transfer_codings == 1) {
    chunked_ = absl::EqualsIgnoreCase(response.get_header_value("Transfer-Encoding"), "chunked");
    return chunked_;
  }
  std::uint64_t length = 0;
  if (!ParseLength(response.get_header_value("Content-Length"), length)) {
    return false;
  }
  result_.too_large = length > max_answer_bytes_;
  return !result_.too_large;
}

bool backend_connection::AppendBody(const char* bytes, std::size_t count, std::string& body) {
  if (count > max_answer_bytes_ - body.size()) {
    result_.too_large = true;
    return false;
  }
  body.append(bytes, count);
  return true;
}

}  // namespace cuminferry
