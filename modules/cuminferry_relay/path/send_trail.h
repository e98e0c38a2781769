#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_relay/http/http_client.h"

namespace cuminferry {

/** Where a request was sent and what became of each send, for the log.

    A request that may run only once is sent again, or refused with a promise, because of what a
   node holds of its earlier sends. The trail says for each send on whose word that is: of an
   answer, on which connection and how long after the send, or of this node itself.
*/
class send_trail {
 public:
  /** Whose word says what became of a send. */
  enum class source : std::uint8_t {
    /** The answer to the request, of the backend server or of the target's node. */
    kAnswer,
    /** This node, as no answer came. */
    kNode,
  };

  /** Adds a send.
      @param target       instance id of the target; empty for the own backend server
      @param since_start  time since the request arrived at this node */
  void OnSend(std::string_view target, const connection_use& connection, duration since_start);
  /** Sets what became of the latest send.
      @param word        such as the text of a relay_outcome, or "answered"
      @param status      of the answer; 0 without one
      @param since_send  age of the word: time since the send */
  void OnWord(std::string_view word, source by, int status, duration since_send);

  bool empty() const { return sends_.empty(); }
  nlohmann::ordered_json ToJson() const;

 private:
  struct send {
    std::string target;
    duration since_start{};
    connection_use connection;
    std::string word;
    source by = source::kNode;
    int status = 0;
    duration since_send{};
  };

  std::vector<send> sends_;
};

}  // namespace cuminferry
