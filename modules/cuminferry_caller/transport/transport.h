#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

struct http_header {
  std::string name;
  std::string value;
};

/** One HTTP request to one node. */
struct transport_request {
  endpoint to;
  std::string method;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  std::chrono::milliseconds longest{1000};
  /** Never over a connection that was used before: the other side might have
      closed it, and what then became of the request could not be known. */
  bool on_new_connection = false;
  /** Which attempt of its call it is, from 0. */
  std::uint32_t attempt = 0;
};

enum class transport_end : std::uint8_t {
  kAnswered,      ///< a whole answer
  kNotConnected,  ///< no byte was sent
  kNoAnswer,      ///< sent, wholly or in part, and no whole answer came
};

struct transport_answer {
  transport_end end = transport_end::kNotConnected;
  int http_status = 0;
  std::vector<http_header> headers;
  std::string body;

  /** The first header of this name, in any case of letters; empty where there is none. */
  std::string_view Header(std::string_view name) const;
};

/** Sends one request, exactly once, and waits for its end. Called on many
    threads at once. */
using transport = std::function<transport_answer(const transport_request&)>;

/** A transport over cpp-httplib with kept-alive connections.
    @param largest_answer  a longer answer ends as kNoAnswer */
transport MakeHttpTransport(std::size_t largest_answer = 16 << 20);

}  // namespace cuminferry
