#include "soak/soak_client.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/message_reader.h"
#include "soak/soak_target.h"

namespace cuminferry::testing {
namespace {

constexpr duration kConnectTimeout = std::chrono::seconds(1);
// Clients don't detect a dead node faster than other hosts do.
constexpr duration kSilenceTimeout = std::chrono::seconds(20);
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
constexpr duration kPieceInterval = std::chrono::milliseconds(4);
// A request without an answer is recorded as lost this long after its timeout.
constexpr duration kHangTimeout = std::chrono::seconds(4);

bool MeansNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

/** One connection to the node; carries one request at a time. */
class soak_client::session : public std::enable_shared_from_this<soak_client::session> {
 public:
  explicit session(soak_client& owner)
      : owner_(owner),
        timer_(owner.loop_),
        body_timer_(owner.loop_),
        reader_(message_reader::kind::kResponses, kMaxHeadBytes,
                {.on_head = [this](http_head head) { head_ = std::move(head); },
                 .on_interim = {},
                 .on_body = [this](std::string_view bytes) { body_.append(bytes); },
                 .on_message_end = [this] { is_complete_ = true; }}) {}

  bool idle() const {
    return request_ == nullptr && connection_ != nullptr && !is_sending_ && !is_closing_;
  }

  void Send(const client_request_options& request, sent_request& entry) {
    if (!connection_) {
      connection_ =
          tcp_connection::Connect(owner_.loop_, owner_.node_, kConnectTimeout, kSilenceTimeout,
                                  {.on_data = [this](std::string_view bytes) { OnData(bytes); },
                                   .on_end = [this](close_reason end) { OnEnd(end); },
                                   .on_writable = {},
                                   .on_connected = {}});
    }
    options_ = request;
    request_ = &entry;
    head_ = {};
    body_.clear();
    is_complete_ = false;
    SendPieces(RequestText());
    const bool abandons = request.abandon_after > duration::zero();
    timer_.StartOnce(abandons ? request.abandon_after : entry.timeout + kHangTimeout,
                     [this, abandons] { abandons ? Abandon() : OnHang(); });
  }

 private:
  std::string RequestText() const {
    http_head head;
    head.method = options_.method;
    head.target = options_.path;
    head.Set("Host", "soak.example");
    head.Set("Cuminferry-Request-Id", request_->id);
    head.Set("Cuminferry-Deadline-Ms",
             std::to_string(
                 std::chrono::duration_cast<std::chrono::milliseconds>(request_->timeout).count()));
    // A forged value: the node must replace it by the true service.
    head.Set("Cuminferry-Caller-Service", "forged");
    head.keep_alive = options_.reuse_connection;
    const std::string body(options_.body_bytes, 'b');
    if (options_.body_bytes > 0) {
      head.framing = options_.chunked ? body_framing::kChunked : body_framing::kLength;
      head.length = body.size();
    }
    if (!options_.key.empty()) {
      head.Set("Authorization", "Bearer " + options_.key);
    }
    if (!body.empty()) {
      head.Set(soak_target::kBodyBytesField, std::to_string(body.size()));
    }
    if (!options_.reuse_connection) {
      head.Set("Connection", "close");
    }
    const std::string sent_body =
        head.framing == body_framing::kChunked ? ToChunk(body) + std::string(kLastChunk) : body;
    return head.ToRequestText() + sent_body;
  }

  void SendPieces(std::string text) {
    body_timer_.Stop();
    const auto pieces = static_cast<std::size_t>(std::max(1, options_.body_pieces));
    const std::size_t size = text.size() / pieces + 1;
    connection_->Write(text.substr(0, size));
    is_sending_ = size < text.size();
    if (!is_sending_) {
      return;
    }
    body_timer_.StartPeriodic(kPieceInterval, [this, size, rest = text.substr(size)]() mutable {
      connection_->Write(rest.substr(0, size));
      rest.erase(0, size);
      is_sending_ = !rest.empty();
      if (!is_sending_) {
        body_timer_.Stop();
      }
    });
  }

  void OnData(std::string_view bytes) {
    const auto keep = shared_from_this();
    if (request_ == nullptr) {
      owner_.ledger_.OnViolation("bytes received on a connection without a pending request");
      Close();
      return;
    }
    while (!bytes.empty() && request_ != nullptr) {
      const auto taken = reader_.Read(bytes);
      if (!taken.ok()) {
        owner_.ledger_.OnViolation("invalid HTTP answer to " + request_->id);
        Finish(request_outcome::kConnectionLost);
        Close();
        return;
      }
      bytes.remove_prefix(*taken);
      if (is_complete_) {
        OnCompleteAnswer();
      }
    }
  }

  void OnEnd(close_reason end) {
    const auto keep = shared_from_this();
    if (request_ != nullptr && end == close_reason::kClosed && !is_complete_ &&
        !reader_.between_messages() && reader_.ReadEnd().ok() && is_complete_) {
      OnCompleteAnswer();
    }
    if (request_ != nullptr) {
      Finish(end == close_reason::kNotConnected ? request_outcome::kNotSent
                                                : request_outcome::kConnectionLost);
    }
    Close();
  }

  void OnCompleteAnswer() {
    const int status = head_.status;
    request_->status = status;
    const std::string* echoed = head_.Find("Cuminferry-Request-Id");
    if (echoed != nullptr && *echoed != request_->id) {
      owner_.ledger_.OnViolation("answer to " + *echoed + " received for " + request_->id);
    }
    const std::string* signature = head_.Find("Cuminferry-Response-Seal");
    const bool is_correct = signature != nullptr &&
                            *signature == SignatureFor(request_->id, body_.size()) &&
                            body_ == BodyFor(request_->id, body_.size());
    if (status == 200 && !is_correct) {
      owner_.ledger_.OnViolation(
          fmt::format("status 200 without the complete answer of the backend server: {}, {}",
                      request_->id, DescribeAnswer(signature)));
    }
    RecordDeclarations();
    // What is sent when this request is finished needs another connection then.
    is_closing_ = !head_.keep_alive || !options_.reuse_connection;
    if (MeansNotRun(status)) {
      Finish(request_outcome::kRefused);
    } else if (signature != nullptr) {
      Finish(request_outcome::kAnswered);
    } else {
      Finish(status == 404 ? request_outcome::kNoRow : request_outcome::kUnknown);
    }
    if (is_closing_) {
      Close();
    }
  }

  // Whose answer it is, how much of it arrived, and by what its end was known.
  std::string DescribeAnswer(const std::string* signature) const {
    const std::string expected = BodyFor(request_->id, body_.size());
    const auto wrong = std::ranges::mismatch(body_, expected).in1;
    constexpr std::ptrdiff_t kShown = 48;
    const std::string rest(wrong, wrong + std::min(kShown, body_.end() - wrong));
    const std::string* length = head_.Find("Content-Length");
    return fmt::format(
        "{} bytes, signature {}, first wrong byte {}{}, end by {}, answered by target {}, sent "
        "{:.3f} s before, {}",
        body_.size(), signature == nullptr ? "missing" : *signature, wrong - body_.begin(),
        rest.empty() ? "" : " (" + rest + ")",
        head_.framing == body_framing::kChunked  ? "chunks"
        : head_.framing == body_framing::kLength ? "length " + (length ? *length : "unknown")
                                                 : "close",
        ValueOr(head_, soak_client::kTargetField, "unknown"),
        ToSeconds(owner_.loop_.Now() - request_->sent),
        options_.reuse_connection ? "connection may be reused" : "connection of its own");
  }

  static std::string_view ValueOr(const http_head& head, std::string_view field,
                                  std::string_view fallback) {
    const std::string* found = head.Find(field);
    return found == nullptr ? fallback : std::string_view(*found);
  }

  void RecordDeclarations() {
    const std::string* target = head_.Find(soak_client::kTargetField);
    if (target == nullptr) {
      return;
    }
    const auto record = [&](std::string_view field, declared_period::kind type) {
      if (head_.Find(field) != nullptr) {
        owner_.ledger_.OnToldOf(type, std::stoul(*target), *request_, owner_.loop_.Now());
      }
    };
    record("Server-Limit", declared_period::kind::kRate);
    record("Server-Leaving", declared_period::kind::kLeaving);
  }

  void Abandon() {
    const auto keep = shared_from_this();
    Finish(request_outcome::kAbandoned);
    Close();
  }

  void OnHang() {
    const auto keep = shared_from_this();
    Finish(request_outcome::kConnectionLost);
    Close();
  }

  void Finish(request_outcome outcome) {
    timer_.Stop();
    sent_request& ended = *std::exchange(request_, nullptr);
    ended.outcome = outcome;
    ended.ended = owner_.loop_.Now();
    if (options_.on_end) {
      options_.on_end(ended);
    }
  }

  void Close() {
    timer_.Stop();
    body_timer_.Stop();
    connection_.reset();
    owner_.sessions_.erase(shared_from_this());
  }

  soak_client& owner_;
  loop_timer timer_;
  loop_timer body_timer_;
  std::unique_ptr<tcp_connection> connection_;
  message_reader reader_;
  client_request_options options_;
  sent_request* request_ = nullptr;
  http_head head_;
  std::string body_;
  bool is_complete_ = false;
  bool is_closing_ = false;
  // Pieces of the request's body are still to be sent.
  bool is_sending_ = false;
};

//==============================================================================
soak_client::soak_client(event_loop& loop, const endpoint& node, soak_ledger& ledger)
    : loop_(loop), node_(node), ledger_(ledger) {}

soak_client::~soak_client() { const auto sessions = std::move(sessions_); }

void soak_client::Send(const client_request_options& request, sent_request new_entry) {
  new_entry.sent = loop_.Now();
  sent_request& entry = ledger_.OnSent(std::move(new_entry));
  std::shared_ptr<session> chosen;
  for (const auto& open : sessions_) {
    if (request.reuse_connection && open->idle()) {
      chosen = open;
    }
  }
  if (!chosen) {
    chosen = std::make_shared<session>(*this);
    sessions_.insert(chosen);
  }
  chosen->Send(request, entry);
}

std::string soak_client::BodyFor(const std::string& id, std::size_t length) {
  std::string body;
  while (body.size() < length) {
    body += id + ";";
  }
  body.resize(length);
  return body;
}

std::string soak_client::SignatureFor(const std::string& id, std::size_t length) {
  return fmt::format("{}.{}", id, length);
}

}  // namespace cuminferry::testing
