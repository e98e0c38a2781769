#include "soak/soak_client.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

#include "cuminferry_relay/http/message_reader.h"

namespace cuminferry::testing {
namespace {

constexpr duration kConnectLimit = std::chrono::seconds(1);
// The client's own host finds a dead node no sooner than any other.
constexpr duration kSilenceLimit = std::chrono::seconds(20);
constexpr std::size_t kLargestHead = 64 * 1024;
// A request that hangs is given up long after its timeout, and told of.
constexpr duration kHangs = std::chrono::seconds(4);

bool IsPromise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

/** One connection to the node, with one request at a time. */
class soak_client::session : public std::enable_shared_from_this<soak_client::session> {
 public:
  explicit session(soak_client& owner)
      : owner_(owner),
        timer_(owner.loop_),
        reader_(message_reader::kind::kResponses, kLargestHead,
                {.on_head = [this](http_head head) { head_ = std::move(head); },
                 .on_interim = {},
                 .on_body = [this](std::string_view bytes) { body_.append(bytes); },
                 .on_message_end = [this] { whole_ = true; }}) {}

  bool idle() const { return request_ == nullptr && connection_ != nullptr; }

  void Send(const client_request& request, sent_request& entry) {
    if (!connection_) {
      connection_ =
          tcp_connection::Connect(owner_.loop_, owner_.node_, kConnectLimit, kSilenceLimit,
                                  {.on_data = [this](std::string_view bytes) { OnData(bytes); },
                                   .on_end = [this](close_reason end) { OnEnd(end); },
                                   .on_writable = {},
                                   .on_connected = {}});
    }
    asked_ = request;
    request_ = &entry;
    head_ = {};
    body_.clear();
    whole_ = false;
    connection_->Write(Text());
    const bool leaves = request.gives_up_after > duration::zero();
    timer_.StartOnce(leaves ? request.gives_up_after : entry.timeout + kHangs,
                     [this, leaves] { leaves ? Leave() : Hang(); });
  }

 private:
  std::string Text() const {
    http_head head;
    head.method = asked_.method;
    head.target = asked_.path;
    head.Set("Host", "soak.example");
    head.Set("Cuminferry-Request-Id", request_->id);
    head.Set("Cuminferry-Deadline-Ms",
             std::to_string(
                 std::chrono::duration_cast<std::chrono::milliseconds>(request_->timeout).count()));
    // Forged: the node has to set the true one.
    head.Set("Cuminferry-Caller-Service", "forged");
    head.keep_alive = asked_.keep;
    const std::string body(asked_.body_bytes, 'b');
    if (asked_.body_bytes > 0) {
      head.framing = asked_.chunked ? body_framing::kChunked : body_framing::kLength;
      head.length = body.size();
    }
    if (!asked_.keep) {
      head.Set("Connection", "close");
    }
    const std::string sent_body =
        head.framing == body_framing::kChunked ? ToChunk(body) + std::string(kLastChunk) : body;
    return head.ToRequestText() + sent_body;
  }

  void OnData(std::string_view bytes) {
    const auto keep = shared_from_this();
    if (request_ == nullptr) {
      owner_.ledger_.OnViolation("bytes on a connection with no request waiting");
      Close();
      return;
    }
    while (!bytes.empty() && request_ != nullptr) {
      const auto taken = reader_.Read(bytes);
      if (!taken.ok()) {
        owner_.ledger_.OnViolation("no answer in the protocol to " + request_->id);
        End(request_end::kBroken);
        Close();
        return;
      }
      bytes.remove_prefix(*taken);
      if (whole_) {
        OnWhole();
      }
    }
  }

  void OnEnd(close_reason end) {
    const auto keep = shared_from_this();
    if (request_ != nullptr && end == close_reason::kClosed && !whole_ &&
        !reader_.between_messages() && reader_.ReadEnd().ok() && whole_) {
      OnWhole();
    }
    if (request_ != nullptr) {
      End(end == close_reason::kNotConnected ? request_end::kNotSent : request_end::kBroken);
    }
    Close();
  }

  void OnWhole() {
    const int status = head_.status;
    request_->status = status;
    const std::string* echoed = head_.Find("Cuminferry-Request-Id");
    if (echoed != nullptr && *echoed != request_->id) {
      owner_.ledger_.OnViolation("answer to " + *echoed + " given to " + request_->id);
    }
    const std::string* signature = head_.Find("Cuminferry-Response-Seal");
    const bool right = signature != nullptr &&
                       *signature == SignatureFor(request_->id, body_.size()) &&
                       body_ == BodyFor(request_->id, body_.size());
    if (status == 200 && !right) {
      owner_.ledger_.OnViolation(
          fmt::format("success that is not the backend server's whole answer: {}, {} bytes",
                      request_->id, body_.size()));
    }
    const bool stays = head_.keep_alive && asked_.keep;
    if (IsPromise(status)) {
      End(request_end::kRefused);
    } else if (signature != nullptr) {
      End(request_end::kAnswered);
    } else {
      End(status == 404 ? request_end::kNoRow : request_end::kUnknown);
    }
    if (!stays) {
      Close();
    }
  }

  void Leave() {
    const auto keep = shared_from_this();
    End(request_end::kLeft);
    Close();
  }

  void Hang() {
    const auto keep = shared_from_this();
    End(request_end::kBroken);
    Close();
  }

  void End(request_end end) {
    timer_.Stop();
    sent_request& ended = *std::exchange(request_, nullptr);
    ended.end = end;
    ended.ended = owner_.loop_.Now();
    if (asked_.on_end) {
      asked_.on_end(ended);
    }
  }

  void Close() {
    timer_.Stop();
    connection_.reset();
    owner_.sessions_.erase(shared_from_this());
  }

  soak_client& owner_;
  loop_timer timer_;
  std::unique_ptr<tcp_connection> connection_;
  message_reader reader_;
  client_request asked_;
  sent_request* request_ = nullptr;
  http_head head_;
  std::string body_;
  bool whole_ = false;
};

//==============================================================================
soak_client::soak_client(event_loop& loop, const endpoint& node, soak_ledger& ledger)
    : loop_(loop), node_(node), ledger_(ledger) {}

soak_client::~soak_client() { const auto sessions = std::move(sessions_); }

void soak_client::Send(const client_request& request, sent_request about) {
  about.sent = loop_.Now();
  sent_request& entry = ledger_.OnSent(std::move(about));
  std::shared_ptr<session> chosen;
  for (const auto& open : sessions_) {
    if (request.keep && open->idle()) {
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
