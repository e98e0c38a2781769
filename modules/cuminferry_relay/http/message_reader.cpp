#include "cuminferry_relay/http/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_relay/http/http_status.h"

namespace cuminferry {
namespace {

constexpr int kContinueParsing = 0;
constexpr int kSkipBody = 1;
constexpr int kAbortParsing = -1;
// A field of one byte takes 64 in memory. Heads of many fields have 32 bytes and more in each.
constexpr std::size_t kMeanFieldBytes = 32;
// Bound on the fields of the shortest heads.
constexpr std::size_t kMinMaxFields = 128;

}  // namespace

struct message_reader::state {
  http_parser parser{};
  kind message_kind;
  std::size_t max_head_bytes;
  std::size_t max_fields;
  hooks callbacks;
  http_head head;
  // Answers only: http-parser accepts heads and chunks that HTTP doesn't allow.
  answer_head_check head_check;
  std::optional<chunk_check> chunks;
  std::string_view problem;
  std::size_t head_bytes = 0;
  // Bytes of an answer that came before its body, with interim answers and blank lines.
  std::size_t bytes_before_body = 0;
  bool in_message = false;
  bool in_value = false;
  bool head_done = false;
  bool message_done = false;
  bool expect_no_body = false;
  bool is_head_too_large = false;

  static state& FromParser(http_parser* parser) { return *static_cast<state*>(parser->data); }

  // Returns whether an answer may still come to its body.
  bool CountBytesBeforeBody(std::size_t size) {
    if (message_kind != kind::kResponses || (in_message && head_done)) {
      bytes_before_body = 0;
      return true;
    }
    bytes_before_body += size;
    return bytes_before_body <= max_head_bytes;
  }

  bool CountHeadBytes(std::size_t size) {
    head_bytes += size;
    is_head_too_large = head_bytes > max_head_bytes;
    return !is_head_too_large;
  }

  int OnBegin() {
    head = http_head();
    head_bytes = 0;
    in_message = true;
    in_value = false;
    head_done = false;
    return kContinueParsing;
  }

  int OnFieldName(std::string_view bytes) {
    if (head_done) {
      return kContinueParsing;  // Trailer fields are discarded, since neither side uses them.
    }
    if (in_value || head.fields.empty()) {
      if (head.fields.size() >= max_fields) {
        is_head_too_large = true;
        return kAbortParsing;
      }
      head.fields.emplace_back();
      in_value = false;
    }
    head.fields.back().first.append(bytes);
    return CountHeadBytes(bytes.size()) ? kContinueParsing : kAbortParsing;
  }

  int OnFieldValue(std::string_view bytes) {
    if (head_done || head.fields.empty()) {
      return kContinueParsing;
    }
    in_value = true;
    head.fields.back().second.append(bytes);
    return CountHeadBytes(bytes.size()) ? kContinueParsing : kAbortParsing;
  }

  // The body of an answer without framing fields extends until the connection closes.
  bool IsDelimitedByClose() const {
    return message_kind == kind::kResponses && !expect_no_body &&
           parser.status_code != http_status::kNoContent &&
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
    return IsDelimitedByClose() ? body_framing::kUntilClose : body_framing::kNone;
  }

  int OnHeadersComplete() {
    if (message_kind == kind::kResponses && parser.status_code < http_status::kOk) {
      if (callbacks.on_interim) {
        callbacks.on_interim(parser.status_code);
      }
      // An interim answer has no body whatever its head declares (RFC 9112, section 6.3).
      return kSkipBody;
    }
    head_done = true;
    if (message_kind == kind::kRequests) {
      head.method = http_method_str(static_cast<http_method>(parser.method));
      head.reads_chunks = parser.http_major > 1 || parser.http_minor > 0;
      if (parser.method == HTTP_CONNECT) {
        return kAbortParsing;
      }
    }
    head.status = parser.status_code;
    head.framing = Framing();
    head.length = head.framing == body_framing::kLength ? parser.content_length : 0;
    head.keep_alive = http_should_keep_alive(&parser) != 0;
    const bool skip = expect_no_body;
    if (message_kind == kind::kResponses && head.framing == body_framing::kChunked && !skip) {
      chunks.emplace();
    }
    if (callbacks.on_head) {
      callbacks.on_head(std::move(head));
    }
    return skip ? kSkipBody : kContinueParsing;
  }

  int OnMessageComplete() {
    if (!head_done) {
      return kContinueParsing;
    }
    in_message = false;
    message_done = true;
    head_check.Begin();
    chunks.reset();
    http_parser_pause(&parser, 1);
    return kContinueParsing;
  }

  // Returns those bytes that may be parsed now: of an answer's head no more than the rest of it, so
  // that the parser reports the head only once it has passed the check.
  std::string_view CheckedPart(std::string_view bytes) {
    if (message_kind != kind::kResponses) {
      return bytes;
    }
    if (!head_check.is_complete()) {
      return CheckedBy(head_check, bytes);
    }
    return chunks ? CheckedBy(*chunks, bytes) : bytes;
  }

  template <typename Check>
  std::string_view CheckedBy(Check& check, std::string_view bytes) {
    const std::string_view checked = bytes.substr(0, check.Read(bytes));
    problem = check.problem();
    return checked;
  }

  absl::Status Failure() const {
    return MakeStatus(message_kind == kind::kRequests ? result_code::kBadRequestHeader
                                                      : result_code::kAnswerDamaged,
                      problem);
  }
};

message_reader::message_reader(kind kind, std::size_t max_head_bytes, hooks hooks)
    : state_(std::make_unique<state>()) {
  state_->message_kind = kind;
  state_->max_head_bytes = max_head_bytes;
  state_->max_fields = std::max(kMinMaxFields, max_head_bytes / kMeanFieldBytes);
  state_->callbacks = std::move(hooks);
  http_parser_init(&state_->parser, kind == kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  state_->parser.data = state_.get();
}

message_reader::~message_reader() = default;

absl::StatusOr<std::size_t> message_reader::Read(std::string_view bytes) {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* raw_parser) {
      return state::FromParser(raw_parser).OnBegin();
    };
    settings.on_url = [](http_parser* raw_parser, const char* data, std::size_t size) {
      state::FromParser(raw_parser).head.target.append(data, size);
      return state::FromParser(raw_parser).CountHeadBytes(size) ? kContinueParsing : kAbortParsing;
    };
    settings.on_status = [](http_parser* raw_parser, const char* data, std::size_t size) {
      state::FromParser(raw_parser).head.reason.append(data, size);
      return kContinueParsing;
    };
    settings.on_header_field = [](http_parser* raw_parser, const char* data, std::size_t size) {
      return state::FromParser(raw_parser).OnFieldName({data, size});
    };
    settings.on_header_value = [](http_parser* raw_parser, const char* data, std::size_t size) {
      return state::FromParser(raw_parser).OnFieldValue({data, size});
    };
    settings.on_headers_complete = [](http_parser* raw_parser) {
      return state::FromParser(raw_parser).OnHeadersComplete();
    };
    settings.on_body = [](http_parser* raw_parser, const char* data, std::size_t size) {
      if (state::FromParser(raw_parser).callbacks.on_body) {
        state::FromParser(raw_parser).callbacks.on_body({data, size});
      }
      return kContinueParsing;
    };
    settings.on_message_complete = [](http_parser* raw_parser) {
      return state::FromParser(raw_parser).OnMessageComplete();
    };
    return settings;
  }();
  bytes = state_->CheckedPart(bytes);
  if (!state_->problem.empty()) {
    return state_->Failure();
  }
  http_parser& parser = state_->parser;
  const std::size_t parsed = http_parser_execute(&parser, &kSettings, bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser);
  if (state_->message_done && (error == HPE_PAUSED || error == HPE_OK)) {
    state_->message_done = false;
    http_parser_pause(&parser, 0);
    if (state_->callbacks.on_message_end) {
      state_->callbacks.on_message_end();
    }
    return parsed;
  }
  if (error != HPE_OK || parser.upgrade != 0) {
    state_->problem = http_errno_description(error);
    return state_->Failure();
  }
  if (!state_->CountBytesBeforeBody(parsed)) {
    state_->problem = "no head of a final answer";
    return state_->Failure();
  }
  if (state_->head_check.is_complete() && state_->head_check.is_interim()) {
    state_->head_check.Begin();
  }
  return parsed;
}

absl::Status message_reader::ReadEnd() {
  if (state_->in_message && state_->head_done && state_->IsDelimitedByClose()) {
    state_->in_message = false;
    if (state_->callbacks.on_message_end) {
      state_->callbacks.on_message_end();
    }
    return absl::OkStatus();
  }
  if (state_->in_message) {
    return MakeStatus(result_code::kAnswerDamaged, "the connection ended within a message");
  }
  return absl::OkStatus();
}

void message_reader::ExpectNoBody(bool expect_no_body) { state_->expect_no_body = expect_no_body; }
std::string_view message_reader::problem() const { return state_->problem; }
bool message_reader::between_messages() const { return !state_->in_message; }
bool message_reader::head_too_large() const { return state_->is_head_too_large; }

}  // namespace cuminferry
