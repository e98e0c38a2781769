#pragma once

#include <httplib.h>

#include <functional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** cpp-httplib's client, which fails with a read error where a server sends something else in the
    place of an answer. The connection is then closed. @see answer_checking_stream */
class checked_http_client : public httplib::ClientImpl {
 public:
  explicit checked_http_client(const endpoint& server);

  /** What was wrong with the latest answer, as one of a small number of texts; empty if nothing. */
  std::string_view problem() const { return problem_; }

 private:
  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream& stream)> callback) override;

  std::string_view problem_;
};

/** Describes why a request of this client failed. */
std::string DescribeFailure(const checked_http_client& client, httplib::Error error);

/** The address of an endpoint without its port, as cpp-httplib takes it. */
std::string HostOf(const endpoint& server);

}  // namespace cuminferry
