#include "cuminferry_node/backend/backend_client.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "cuminferry_node/backend/backend_connection.h"
#include "cuminferry_table/reading/bounded_json.h"

namespace cuminferry {
namespace {

/** Idle connections older than this are closed rather than reused: they may have become
    unresponsive, and opening a new one takes about a millisecond. */
constexpr std::chrono::seconds kMaxIdleTime{2};
constexpr int kServiceUnavailable = 503;
constexpr std::uint32_t kMaxHealthAnswerBytes = 4096;

/** Headers that apply to a single connection and are not forwarded to the next one. */
constexpr std::array<std::string_view, 9> kPerConnectionHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",  "Expect",
    "TE",         "Trailer",    "Upgrade",           "Proxy-Connection"};

bool EqualsIgnoreCase(std::string_view one, std::string_view other) {
  return std::ranges::equal(one, other, {}, absl::ascii_tolower, absl::ascii_tolower);
}

bool IsPerConnection(std::string_view name) {
  return std::ranges::any_of(kPerConnectionHeaders, [name](std::string_view each) {
    return EqualsIgnoreCase(each, name);
  });
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](unsigned char each) {
    return absl::ascii_isalnum(each) || kPunctuation.find(each) != std::string_view::npos;
  });
}

bool IsFieldValue(std::string_view text) {
  return std::ranges::all_of(
      text, [](unsigned char each) { return each == '\t' || (each >= ' ' && each != 0x7F); });
}

bool IsTarget(std::string_view text) {
  return text.starts_with('/') &&
         std::ranges::all_of(text, [](unsigned char each) { return each > ' ' && each != 0x7F; });
}

/** Whether a request can be written without injecting another one. The library does not validate
    its input: a line break in a header would start an unchecked header or request. */
bool IsSafeToWrite(const backend_request& request) {
  return IsToken(request.method) && IsTarget(request.target) &&
         std::ranges::all_of(request.headers, [](const header_field& each) {
           return IsToken(each.name) && IsFieldValue(each.value);
         });
}

std::uint64_t BodyBytes(const backend_request& request) {
  if (!request.more_body) {
    return request.body.size();
  }
  std::uint64_t length = 0;
  for (const header_field& each : request.headers) {
    if (EqualsIgnoreCase(each.name, "Content-Length") && absl::SimpleAtoi(each.value, &length)) {
      return length;
    }
  }
  return backend_connection::kUnknownLength;
}

httplib::Request ToLibraryRequest(const backend_request& request) {
  httplib::Request library_request;
  library_request.method = request.method;
  library_request.path = request.target;
  for (const header_field& each : request.headers) {
    if (!IsPerConnection(each.name)) {
      library_request.headers.emplace(each.name, each.value);
    }
  }
  return library_request;
}

/** Returns a function that supplies `body` first and then the parts from `more_body`. */
std::function<bool(std::string&)> BodyPartsOf(const backend_request& request) {
  if (request.body.empty() && !request.more_body) {
    return nullptr;
  }
  return [&request, has_started = false](std::string& part) mutable {
    if (!has_started && !request.body.empty()) {
      part = request.body;
    } else if (request.more_body) {
      has_started = true;
      return request.more_body(part);
    }
    has_started = true;
    return true;
  };
}

backend_outcome OutcomeOf(const exchange_result& result, const httplib::Response& response,
                          bool cancelled) {
  if (result.is_complete) {
    const bool shed = response.status == kServiceUnavailable &&
                      response.get_header_value(header_names::kNotRun) == "1";
    return shed ? backend_outcome::kShed : backend_outcome::kAnswered;
  }
  if (result.too_large) {
    return backend_outcome::kAnswerTooLarge;
  }
  if (!result.sent) {
    return backend_outcome::kNotSent;
  }
  if (cancelled || result.body_aborted) {
    return backend_outcome::kCancelled;
  }
  return result.timed_out ? backend_outcome::kTimedOut : backend_outcome::kNoCompleteAnswer;
}

backend_answer ToAnswer(backend_outcome outcome, httplib::Response& response) {
  backend_answer answer;
  answer.outcome = outcome;
  if (outcome != backend_outcome::kAnswered && outcome != backend_outcome::kShed) {
    return answer;
  }
  answer.http_status = response.status;
  for (const auto& [name, value] : response.headers) {
    if (!IsPerConnection(name)) {
      answer.headers.push_back({name, value});
    }
  }
  answer.body = std::move(response.body);
  answer.body_digest = DigestOf(answer.body);
  return answer;
}

// A health answer has three fields; servers may add some of their own.
constexpr json_bounds kHealthBounds{
    .max_bytes = 64 * 1024, .max_depth = 16, .max_values = 4 * 1024};

backend_health ReadHealth(const backend_answer& answer) {
  backend_health health;
  health.reachable = answer.outcome == backend_outcome::kAnswered;
  const auto parsed = ParseBoundedJson(answer.body, kHealthBounds);
  if (!parsed.ok() || !parsed->is_object()) {
    return health;
  }
  const nlohmann::json& fields = *parsed;
  const auto state = fields.find("state");
  health.draining = state != fields.end() && *state == "draining";
  health.starting = state != fields.end() && *state == "starting";
  const auto load = fields.find("load");
  if (load != fields.end() && load->is_number()) {
    health.load = std::clamp(load->get<double>(), 0.0, 1.0);
  }
  const auto slots = fields.find("slots");
  if (slots != fields.end() && slots->is_number_unsigned()) {
    health.slots = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(slots->get<std::uint64_t>(), UINT32_MAX));
  }
  return health;
}

}  // namespace

void cancel_token::Cancel() {
  cancelled_ = true;
  ranked_lock lock(mutex_);
  if (close_) {
    close_();
  }
}

//==============================================================================
class backend_client::state {
 public:
  explicit state(options client_options) : options_(std::move(client_options)) {}

  backend_answer Send(const backend_request& request, cancel_token& cancel) {
    if (!IsSafeToWrite(request) || cancel.cancelled() || boot_clock::Now() >= request.deadline) {
      return {};
    }
    std::unique_ptr<backend_connection> connection = TakeConnection(request.idempotent);
    httplib::Request library_request = ToLibraryRequest(request);
    httplib::Response response;
    const exchange_result result = connection->Exchange(
        library_request, response, BodyBytes(request), request.max_answer_bytes, request.deadline,
        HooksFor(*connection, cancel, BodyPartsOf(request)));
    if (!result.problem.empty() && options_.on_invalid_answer) {
      options_.on_invalid_answer(result.problem);
    }
    const backend_outcome outcome = OutcomeOf(result, response, cancel.cancelled());
    if (connection->is_reusable()) {
      ReturnConnection(std::move(connection));
    }
    return ToAnswer(outcome, response);
  }

 private:
  struct idle_connection {
    std::unique_ptr<backend_connection> connection;
    instant idle_since;
  };

  std::unique_ptr<backend_connection> TakeConnection(bool idempotent) {
    while (idempotent) {
      std::unique_ptr<backend_connection> found = TakeIdleConnection();
      if (!found) {
        break;
      }
      if (found->is_usable()) {
        return found;
      }
    }
    return std::make_unique<backend_connection>(options_.backend);
  }

  /** Returns the most recently used connection, as it is the least likely to be closed. If that
      one is too old, all of them are closed. */
  std::unique_ptr<backend_connection> TakeIdleConnection() {
    std::vector<idle_connection> outdated;
    ranked_lock lock(mutex_);
    if (idle_.empty()) {
      return nullptr;
    }
    if (idle_.back().idle_since + kMaxIdleTime < boot_clock::Now()) {
      outdated.swap(idle_);
      return nullptr;
    }
    std::unique_ptr<backend_connection> found = std::move(idle_.back().connection);
    idle_.pop_back();
    return found;
  }

  void ReturnConnection(std::unique_ptr<backend_connection> connection) {
    if (connection->is_socket_open() == 0) {
      return;
    }
    ranked_lock lock(mutex_);
    if (idle_.size() < options_.max_idle_connections) {
      idle_.push_back({std::move(connection), boot_clock::Now()});
    }
  }

  static backend_connection::exchange_hooks HooksFor(backend_connection& connection,
                                                     cancel_token& cancel,
                                                     std::function<bool(std::string&)> next_part) {
    backend_connection::exchange_hooks hooks;
    // The close hook is not set before the connection is open: the library holds its own lock
    // while it connects, and Cancel() would wait for the connection.
    hooks.on_open = [&connection, &cancel] {
      ranked_lock lock(cancel.mutex_);
      cancel.close_ = [&connection] { connection.stop(); };
      return !cancel.cancelled_;
    };
    hooks.on_close = [&cancel] {
      ranked_lock lock(cancel.mutex_);
      cancel.close_ = nullptr;
    };
    hooks.next_part = std::move(next_part);
    return hooks;
  }

  options options_;
  ranked_mutex mutex_{lock_rank::kWireHub};
  std::vector<idle_connection> idle_ ABSL_GUARDED_BY(mutex_);
};

//==============================================================================
backend_client::backend_client(options client_options)
    : state_(std::make_unique<state>(std::move(client_options))) {}

backend_client::~backend_client() = default;

backend_answer backend_client::Send(const backend_request& request, cancel_token& cancel) {
  return state_->Send(request, cancel);
}

backend_health backend_client::QueryHealth(std::chrono::milliseconds timeout) {
  backend_request request;
  request.method = "GET";
  request.target = "/health";
  request.deadline = boot_clock::Now() + timeout;
  request.max_answer_bytes = kMaxHealthAnswerBytes;
  cancel_token cancel;
  return ReadHealth(state_->Send(request, cancel));
}

}  // namespace cuminferry
