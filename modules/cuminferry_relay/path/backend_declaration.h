#pragma once

#include <absl/status/status.h>

#include <optional>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/path/relay_settings.h"

namespace cuminferry {

/** What a backend server declares of itself in one answer. */
struct backend_declaration {
  /** Requests a second that it takes from all nodes together; nothing where none is declared or the
      field can't be read. */
  std::optional<double> rate;
  /** It stops soon and is to get no new requests. */
  bool leaving = false;
  /** kBadAnswerHeader where the rate is no decimal number, is too long, or is given twice. */
  absl::Status error;

  static backend_declaration ReadFrom(const http_head& answer, const relay_header_names& names);
};

}  // namespace cuminferry
