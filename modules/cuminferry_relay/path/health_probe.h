#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_relay/http/http_client.h"
#include "cuminferry_relay/io/event_loop.h"

namespace cuminferry {

/** Asks the own backend server for its health, one probe at a time, each over a new connection: a
    probe must not wait for a connection that a request holds, and the answers to two probes could
    not be told apart on one. */
class health_probe {
 public:
  /** A probe that isn't answered in this time has failed. It is below the interval of probes, so
      that a backend server that doesn't answer one is asked again while earlier evidence is fresh.
      @see departure_check::kProbeInterval */
  static constexpr duration kTimeout = std::chrono::milliseconds(300);
  /** Of a longer answer, the rest is not searched for ids. */
  static constexpr std::size_t kMaxBodyBytes = 16 * 1024;
  /** A longer answer counts as none: it may have no end. */
  static constexpr std::size_t kMaxReadBytes = 1024 * 1024;

  /** The answer to one probe. */
  struct answer {
    http_head head;
    /** The first kMaxBodyBytes of the body. */
    std::string body;
    instant sent_at{};

    /** Returns the first of these ids that stands as a whole word in a header field or in the body;
        empty where none does. The format of health answers differs between deployments. */
    std::string_view FindId(const std::vector<std::string>& ids) const;
  };

  /** @param on_end      called once for each probe; nullptr where the backend server sent no
                         complete answer
      @param on_invalid  @see http_client::options */
  health_probe(event_loop& loop, const endpoint& backend, std::function<void(const answer*)> on_end,
               std::function<void(const invalid_answer&)> on_invalid = {});

  /** Sends a probe; none may be under way.
      @param path  path of the health check. @see routed_service */
  void Send(const std::string& path);
  bool is_under_way() const { return is_under_way_; }

 private:
  void OnBody(std::string_view bytes);
  void End(bool was_answered);

  event_loop& loop_;
  std::string host_;
  http_client client_;
  std::function<void(const answer*)> on_end_;
  loop_timer timeout_timer_;
  std::unique_ptr<client_exchange> exchange_;
  answer answer_;
  std::size_t read_bytes_ = 0;
  bool is_under_way_ = false;
};

}  // namespace cuminferry
