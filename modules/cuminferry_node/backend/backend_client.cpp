#include "cuminferry_node/backend/backend_client.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "cuminferry_node/backend/backend_connection.h"

namespace cuminferry {
namespace {

/** An idle connection older than this is closed rather than used: it might have
    gone silent, and a new one costs about a millisecond. */
constexpr std::chrono::seconds kLongestIdle{2};
constexpr int kServiceUnavailable = 503;
constexpr std::uint32_t kLargestHealthAnswer = 4096;

/** Headers that belong to one connection and are made anew for the next. */
constexpr std::array<std::string_view, 9> kPerConnection = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",  "Expect",
    "TE",         "Trailer",    "Upgrade",           "Proxy-Connection"};

bool EqualsIgnoreCase(std::string_view one, std::string_view other) {
  return std::ranges::equal(one, other, {}, absl::ascii_tolower, absl::ascii_tolower);
}

bool IsPerConnection(std::string_view name) {
  return std::ranges::any_of(
      kPerConnection, [name](std::string_view each) { return EqualsIgnoreCase(each, name); });
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](unsigned char each) {
    return absl::ascii_isalnum(each) || kMarks.find(each) != std::string_view::npos;
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

/** The library writes what it is given: a line break in a header would begin a
    header, or a request, that nobody has checked. */
bool CanBeWritten(const backend_request& request) {
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

httplib::Request ToLibrary(const backend_request& request) {
  httplib::Request made;
  made.method = request.method;
  made.path = request.target;
  for (const header_field& each : request.headers) {
    if (!IsPerConnection(each.name)) {
      made.headers.emplace(each.name, each.value);
    }
  }
  return made;
}

/** The body part by part: what came with the request, then what follows. */
std::function<bool(std::string&)> PartsOf(const backend_request& request) {
  if (request.body.empty() && !request.more_body) {
    return nullptr;
  }
  return [&request, begun = false](std::string& part) mutable {
    if (!begun && !request.body.empty()) {
      part = request.body;
    } else if (request.more_body) {
      begun = true;
      return request.more_body(part);
    }
    begun = true;
    return true;
  };
}

backend_end EndOf(const exchange_facts& facts, const httplib::Response& response, bool cancelled) {
  if (facts.whole) {
    const bool shed = response.status == kServiceUnavailable &&
                      response.get_header_value(header_names::kNotRun) == "1";
    return shed ? backend_end::kShed : backend_end::kAnswered;
  }
  if (facts.too_large) {
    return backend_end::kTooLarge;
  }
  if (!facts.sent) {
    return backend_end::kNotSent;
  }
  if (cancelled || facts.body_broken_off) {
    return backend_end::kCancelled;
  }
  return facts.timed_out ? backend_end::kTimedOut : backend_end::kBrokenOff;
}

backend_answer ToAnswer(backend_end end, httplib::Response& response) {
  backend_answer answer;
  answer.end = end;
  if (end != backend_end::kAnswered && end != backend_end::kShed) {
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

backend_health ReadHealth(const backend_answer& answer) {
  backend_health health;
  health.reachable = answer.end == backend_end::kAnswered;
  const auto said = nlohmann::json::parse(answer.body, nullptr, false);
  if (!said.is_object()) {
    return health;
  }
  const auto state = said.find("state");
  health.draining = state != said.end() && *state == "draining";
  health.starting = state != said.end() && *state == "starting";
  const auto load = said.find("load");
  if (load != said.end() && load->is_number()) {
    health.load = std::clamp(load->get<double>(), 0.0, 1.0);
  }
  const auto slots = said.find("slots");
  if (slots != said.end() && slots->is_number_unsigned()) {
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
  explicit state(options chosen) : chosen_(chosen) {}

  backend_answer Send(const backend_request& request, cancel_token& cancel) {
    if (!CanBeWritten(request) || cancel.cancelled() || boot_clock::Now() >= request.deadline) {
      return {};
    }
    std::unique_ptr<backend_connection> connection = Take(request.idempotent);
    httplib::Request sent = ToLibrary(request);
    httplib::Response response;
    const exchange_facts facts =
        connection->Exchange(sent, response, BodyBytes(request), request.largest_answer,
                             request.deadline, HooksFor(*connection, cancel, PartsOf(request)));
    const backend_end end = EndOf(facts, response, cancel.cancelled());
    if (connection->clean()) {
      GiveBack(std::move(connection));
    }
    return ToAnswer(end, response);
  }

 private:
  struct idle_connection {
    std::unique_ptr<backend_connection> connection;
    instant since;
  };

  std::unique_ptr<backend_connection> Take(bool idempotent) {
    while (idempotent) {
      std::unique_ptr<backend_connection> found = TakeIdle();
      if (!found) {
        break;
      }
      if (found->usable()) {
        return found;
      }
    }
    return std::make_unique<backend_connection>(chosen_.backend);
  }

  /** The one used last, as it is the least likely to be closed; too old ones go. */
  std::unique_ptr<backend_connection> TakeIdle() {
    std::vector<idle_connection> outdated;
    ranked_lock lock(mutex_);
    if (idle_.empty()) {
      return nullptr;
    }
    if (idle_.back().since + kLongestIdle < boot_clock::Now()) {
      outdated.swap(idle_);
      return nullptr;
    }
    std::unique_ptr<backend_connection> found = std::move(idle_.back().connection);
    idle_.pop_back();
    return found;
  }

  void GiveBack(std::unique_ptr<backend_connection> connection) {
    if (connection->is_socket_open() == 0) {
      return;
    }
    ranked_lock lock(mutex_);
    if (idle_.size() < chosen_.idle_bound) {
      idle_.push_back({std::move(connection), boot_clock::Now()});
    }
  }

  static backend_connection::exchange_hooks HooksFor(backend_connection& connection,
                                                     cancel_token& cancel,
                                                     std::function<bool(std::string&)> next_part) {
    backend_connection::exchange_hooks hooks;
    // Only now, as the library holds its own lock while it connects: a cancel
    // would wait for the connection.
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

  options chosen_;
  ranked_mutex mutex_{lock_rank::kWireHub};
  std::vector<idle_connection> idle_ ABSL_GUARDED_BY(mutex_);
};

//==============================================================================
backend_client::backend_client(options chosen) : state_(std::make_unique<state>(chosen)) {}

backend_client::~backend_client() = default;

backend_answer backend_client::Send(const backend_request& request, cancel_token& cancel) {
  return state_->Send(request, cancel);
}

backend_health backend_client::AskHealth(std::chrono::milliseconds longest) {
  backend_request request;
  request.method = "GET";
  request.target = "/health";
  request.deadline = boot_clock::Now() + longest;
  request.largest_answer = kLargestHealthAnswer;
  cancel_token cancel;
  return ReadHealth(state_->Send(request, cancel));
}

}  // namespace cuminferry
