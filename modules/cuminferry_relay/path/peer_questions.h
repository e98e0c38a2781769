#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Gathers the body of another node's message, up to so many bytes, and hands it on. */
void ReadWholeBody(const std::shared_ptr<server_exchange>& peer, std::size_t largest,
                   std::function<void(server_exchange&, std::string_view)> on_whole);

/** Sends messages to other nodes and gathers their answers. */
class peer_questions {
 public:
  /** Bytes of an answer that are kept at most. */
  static constexpr std::size_t kLargestAnswer = 4 * 1024 * 1024;

  /** The body of an answer with status 200; empty where the node answered something else;
      nothing where it did not answer in time. */
  using answer_hook = std::function<void(std::optional<std::string>)>;

  explicit peer_questions(relay_board& board);
  ~peer_questions();
  peer_questions(const peer_questions&) = delete;
  peer_questions& operator=(const peer_questions&) = delete;

  struct message {
    endpoint peer;
    std::string method = "GET";
    std::string target;
    std::string body;
    /** Time for the answer. */
    duration limit{};
  };

  void Ask(const message& asked, answer_hook on_answer);

 private:
  struct question;

  void OnEnd(std::uint64_t number, bool answered);

  relay_board& board_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, std::unique_ptr<question>> open_;
  // Let go outside of their own hooks.
  std::vector<std::unique_ptr<question>> ended_;
  loop_timer clean_timer_;
};

}  // namespace cuminferry
