#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

#include "relay/relay_fleet.h"

namespace cuminferry::testing {

/** How a client reads the bytes that it got, given that its connection has ended or not. */
struct read_answer {
  std::string body;
  bool looks_complete = false;

  explicit read_answer(const client_result& result) {
    message_reader reader(message_reader::kind::kResponses, 64 * 1024,
                          {.on_head = {},
                           .on_interim = {},
                           .on_body = [this](std::string_view bytes) { body += bytes; },
                           .on_message_end = [this] { looks_complete = true; }});
    std::string_view bytes = result.bytes;
    while (!bytes.empty() && !looks_complete) {
      const auto parsed = reader.Read(bytes);
      CPPUNIT_ASSERT(parsed.ok());
      bytes.remove_prefix(*parsed);
    }
    if (!looks_complete && result.ended && !result.reset) {
      static_cast<void>(reader.ReadEnd());
    }
  }
};

}  // namespace cuminferry::testing
