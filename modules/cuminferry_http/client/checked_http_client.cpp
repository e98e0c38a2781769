#include "cuminferry_http/client/checked_http_client.h"

#include "cuminferry_http/client/answer_checking_stream.h"

namespace cuminferry {

std::string HostOf(const endpoint& server) {
  const std::string text = server.ToString();
  return text.substr(0, text.rfind(':'));
}

std::string DescribeFailure(const checked_http_client& client, httplib::Error error) {
  return client.problem().empty() ? httplib::to_string(error)
                                  : "no answer: " + std::string(client.problem());
}

checked_http_client::checked_http_client(const endpoint& server)
    : ClientImpl(HostOf(server), server.port) {}

bool checked_http_client::process_socket(const Socket& socket,
                                         std::function<bool(httplib::Stream& stream)> callback) {
  problem_ = {};
  return httplib::detail::process_client_socket(socket.sock, read_timeout_sec_, read_timeout_usec_,
                                                write_timeout_sec_, write_timeout_usec_,
                                                [this, &callback](httplib::Stream& stream) {
                                                  answer_checking_stream checked(stream);
                                                  const bool is_done = callback(checked);
                                                  problem_ = checked.problem();
                                                  return is_done && problem_.empty();
                                                });
}

}  // namespace cuminferry
