#include "cuminferry_relay/http/message_reader.h"

#include <http_parser.h>

#include <utility>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_relay/http/http_status.h"

namespace cuminferry {
namespace {

constexpr int kReadOn = 0;
constexpr int kSkipBody = 1;
constexpr int kStop = -1;

}  // namespace

struct message_reader::state {
  http_parser parser{};
  kind reads;
  std::size_t largest_head;
  hooks on;
  http_head head;
  std::size_t head_bytes = 0;
  bool in_message = false;
  bool in_value = false;
  bool head_done = false;
  bool message_done = false;
  bool no_body = false;
  bool too_large = false;

  static state& Of(http_parser* parser) { return *static_cast<state*>(parser->data); }

  bool Count(std::size_t size) {
    head_bytes += size;
    too_large = head_bytes > largest_head;
    return !too_large;
  }

  int OnBegin() {
    head = http_head();
    head_bytes = 0;
    in_message = true;
    in_value = false;
    head_done = false;
    return kReadOn;
  }

  int OnField(std::string_view bytes) {
    if (head_done) {
      return kReadOn;  // A trailer: of no use to either side.
    }
    if (in_value || head.fields.empty()) {
      head.fields.emplace_back();
      in_value = false;
    }
    head.fields.back().first.append(bytes);
    return Count(bytes.size()) ? kReadOn : kStop;
  }

  int OnValue(std::string_view bytes) {
    if (head_done || head.fields.empty()) {
      return kReadOn;
    }
    in_value = true;
    head.fields.back().second.append(bytes);
    return Count(bytes.size()) ? kReadOn : kStop;
  }

  // A response without framing lasts until its connection closes.
  bool LastsUntilClose() const {
    return reads == kind::kResponses && !no_body && parser.status_code != http_status::kNoContent &&
           parser.status_code != http_status::kNotModified &&
           (parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
  }

  body_framing Framing() const {
    if ((parser.flags & F_CHUNKED) != 0) {
      return body_framing::kChunked;
    }
    if ((parser.flags & F_CONTENTLENGTH) != 0) {
      return body_framing::kLength;
    }
    return LastsUntilClose() ? body_framing::kUntilClose : body_framing::kNone;
  }

  int OnHeadersComplete() {
    if (reads == kind::kResponses && parser.status_code < http_status::kOk) {
      if (on.on_interim) {
        on.on_interim(parser.status_code);
      }
      return kReadOn;
    }
    head_done = true;
    if (reads == kind::kRequests) {
      head.method = http_method_str(static_cast<http_method>(parser.method));
      if (parser.method == HTTP_CONNECT) {
        return kStop;
      }
    }
    head.status = parser.status_code;
    head.framing = Framing();
    head.length = head.framing == body_framing::kLength ? parser.content_length : 0;
    head.keep_alive = http_should_keep_alive(&parser) != 0;
    const bool skip = no_body;
    if (on.on_head) {
      on.on_head(std::move(head));
    }
    return skip ? kSkipBody : kReadOn;
  }

  int OnMessageComplete() {
    if (!head_done) {
      return kReadOn;
    }
    in_message = false;
    message_done = true;
    http_parser_pause(&parser, 1);
    return kReadOn;
  }
};

message_reader::message_reader(kind kind, std::size_t largest_head, hooks hooks)
    : state_(std::make_unique<state>()) {
  state_->reads = kind;
  state_->largest_head = largest_head;
  state_->on = std::move(hooks);
  http_parser_init(&state_->parser, kind == kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  state_->parser.data = state_.get();
}

message_reader::~message_reader() = default;

absl::StatusOr<std::size_t> message_reader::Read(std::string_view bytes) {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* p) { return state::Of(p).OnBegin(); };
    settings.on_url = [](http_parser* p, const char* at, std::size_t size) {
      state::Of(p).head.target.append(at, size);
      return state::Of(p).Count(size) ? kReadOn : kStop;
    };
    settings.on_status = [](http_parser* p, const char* at, std::size_t size) {
      state::Of(p).head.reason.append(at, size);
      return kReadOn;
    };
    settings.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
      return state::Of(p).OnField({at, size});
    };
    settings.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
      return state::Of(p).OnValue({at, size});
    };
    settings.on_headers_complete = [](http_parser* p) { return state::Of(p).OnHeadersComplete(); };
    settings.on_body = [](http_parser* p, const char* at, std::size_t size) {
      if (state::Of(p).on.on_body) {
        state::Of(p).on.on_body({at, size});
      }
      return kReadOn;
    };
    settings.on_message_complete = [](http_parser* p) { return state::Of(p).OnMessageComplete(); };
    return settings;
  }();
  http_parser& parser = state_->parser;
  const std::size_t taken = http_parser_execute(&parser, &kSettings, bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser);
  if (state_->message_done && (error == HPE_PAUSED || error == HPE_OK)) {
    state_->message_done = false;
    http_parser_pause(&parser, 0);
    if (state_->on.on_message_end) {
      state_->on.on_message_end();
    }
    return taken;
  }
  if (error != HPE_OK || parser.upgrade != 0) {
    return MakeStatus(state_->reads == kind::kRequests ? result_code::kBadRequestHeader
                                                       : result_code::kAnswerDamaged,
                      http_errno_description(error));
  }
  return taken;
}

absl::Status message_reader::ReadEnd() {
  if (state_->in_message && state_->head_done && state_->LastsUntilClose()) {
    state_->in_message = false;
    if (state_->on.on_message_end) {
      state_->on.on_message_end();
    }
    return absl::OkStatus();
  }
  if (state_->in_message) {
    return MakeStatus(result_code::kAnswerDamaged, "the connection ended within a message");
  }
  return absl::OkStatus();
}

void message_reader::ExpectNoBody(bool no_body) { state_->no_body = no_body; }
bool message_reader::between_messages() const { return !state_->in_message; }
bool message_reader::head_too_large() const { return state_->too_large; }

}  // namespace cuminferry
