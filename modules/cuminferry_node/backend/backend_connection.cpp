#include "cuminferry_node/backend/backend_connection.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <utility>

#include "cuminferry_node/backend/backend_stream.h"

namespace cuminferry {
namespace {

constexpr int kNotModified = 304;

std::string AddressText(const endpoint& backend) {
  const std::string text = backend.ToString();
  return text.substr(0, text.rfind(':'));
}

bool ReadLength(const std::string& text, std::uint64_t& into) {
  const bool digits = !text.empty() && std::ranges::all_of(text, [](char each) {
    return each >= '0' && each <= '9';
  });
  return digits && absl::SimpleAtoi(text, &into);
}

}  // namespace

backend_connection::backend_connection(const endpoint& backend)
    : ClientImpl(AddressText(backend), backend.port) {
  set_keep_alive(true);
  set_tcp_nodelay(true);
  // A redirect is the backend server's answer, not an order to ask elsewhere.
  set_follow_location(false);
  // What came is passed on as it came.
  set_url_encode(false);
  set_decompress(false);
  set_compress(false);
}

//==============================================================================
exchange_facts backend_connection::Exchange(httplib::Request& request, httplib::Response& response,
                                            std::uint64_t body_bytes, std::uint32_t largest_answer,
                                            instant deadline, exchange_hooks hooks) {
  hooks_ = std::move(hooks);
  facts_ = {};
  deadline_ = deadline;
  largest_answer_ = largest_answer;
  chunked_ = false;
  without_body_ = false;
  clean_ = false;
  set_connection_timeout(std::max(deadline - boot_clock::Now(), duration(1000)));
  AttachBody(request, body_bytes);
  request.response_handler = [this](const httplib::Response& head) { return CheckHead(head); };
  request.content_receiver = [this, &response](const char* bytes, std::size_t count, std::uint64_t,
                                               std::uint64_t) {
    return TakeBody(bytes, count, response.body);
  };
  httplib::Error error = httplib::Error::Success;
  const bool done = send(request, response, error);
  facts_.whole = facts_.whole && (done || without_body_);
  hooks_ = {};
  return facts_;
}

bool backend_connection::usable() const {
  if (is_socket_open() == 0) {
    return false;
  }
  // Readable means closed, or bytes that no request asked for: an answer that
  // came late would be taken for the next request's own.
  pollfd ready{socket(), POLLIN, 0};
  return ::poll(&ready, 1, 0) == 0;
}

//==============================================================================
bool backend_connection::process_socket(const Socket& socket,
                                        std::function<bool(httplib::Stream& stream)> callback) {
  backend_stream stream(socket.sock, deadline_);
  bool done = false;
  if (hooks_.on_open()) {
    stream_ = &stream;
    done = callback(stream);
    stream_ = nullptr;
  }
  hooks_.on_close();
  facts_.sent = stream.bytes_sent() > 0;
  facts_.timed_out = stream.timed_out();
  // The library takes a chunk with a damaged end for the last one, and would
  // hand out the part before it as the whole.
  // Bytes after a body of the stated length show that the length is wrong, and
  // then the body is a part.
  facts_.whole = (done || without_body_) && (!chunked_ || stream.at_end_of_chunks()) &&
                 !stream.has_left_over();
  clean_ = done && facts_.whole && !stream.answered_early();
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
    return GiveBody(chunked ? kUnknownLength : left, sink);
  };
}

bool backend_connection::GiveBody(std::uint64_t left, httplib::DataSink& sink) {
  static constexpr std::array<char, 64 * 1024> kFiller{};
  if (stream_->answered_early()) {
    // The stream swallows what follows; the caller's body is not read on.
    if (left == kUnknownLength) {
      sink.done();
      return true;
    }
    return sink.write(kFiller.data(), std::min<std::uint64_t>(left, kFiller.size()));
  }
  std::string part;
  if (!hooks_.next_part(part) || part.size() > left) {
    facts_.body_broken_off = true;
    return false;
  }
  if (!part.empty()) {
    return sink.write(part.data(), part.size());
  }
  if (left != kUnknownLength) {
    facts_.body_broken_off = true;
    return false;
  }
  sink.done();
  return true;
}

bool backend_connection::CheckHead(const httplib::Response& response) {
  if (response.status == kNotModified) {
    // It has no body, but the library would wait for one.
    without_body_ = true;
    return false;
  }
  const std::size_t lengths = response.headers.count("Content-Length");
  const std::size_t codings = response.headers.count("Transfer-Encoding");
  // An answer that merely ends with the connection cannot be told from one that
  // was cut off, and two lengths leave open which part is the answer.
  if (lengths + codings != 1) {
    return false;
  }
  if (codings == 1) {
    chunked_ = absl::EqualsIgnoreCase(response.get_header_value("Transfer-Encoding"), "chunked");
    return chunked_;
  }
  std::uint64_t length = 0;
  if (!ReadLength(response.get_header_value("Content-Length"), length)) {
    return false;
  }
  facts_.too_large = length > largest_answer_;
  return !facts_.too_large;
}

bool backend_connection::TakeBody(const char* bytes, std::size_t count, std::string& into) {
  if (count > largest_answer_ - into.size()) {
    facts_.too_large = true;
    return false;
  }
  into.append(bytes, count);
  return true;
}

}  // namespace cuminferry
