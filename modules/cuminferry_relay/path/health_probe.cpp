#include "cuminferry_relay/path/health_probe.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cuminferry {
namespace {

constexpr duration kSilenceTimeout = std::chrono::seconds(3);

// The characters of ids. The id "i-1" is not contained in "i-10".
bool IsIdCharacter(char letter) {
  return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_' ||
         letter == '.' || letter == '/' || letter == ':';
}

bool ContainsWord(std::string_view text, std::string_view word) {
  for (auto at = text.find(word); at != std::string_view::npos; at = text.find(word, at + 1)) {
    const std::size_t end = at + word.size();
    const bool begins = at == 0 || !IsIdCharacter(text[at - 1]);
    if (begins && (end == text.size() || !IsIdCharacter(text[end]))) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string_view health_probe::answer::FindId(const std::vector<std::string>& ids) const {
  for (const std::string& id : ids) {
    const bool is_in_fields = std::ranges::any_of(
        head.fields, [&](const auto& field) { return ContainsWord(field.second, id); });
    if (!id.empty() && (is_in_fields || ContainsWord(body, id))) {
      return id;
    }
  }
  return {};
}

health_probe::health_probe(event_loop& loop, const endpoint& backend,
                           std::function<void(const answer*)> on_end,
                           std::function<void(const invalid_answer&)> on_invalid)
    : loop_(loop),
      host_(backend.ToString()),
      client_(loop, backend,
              {.connect_timeout = kTimeout,
               .silence_timeout = kSilenceTimeout,
               .idle_timeout = {},
               .on_invalid = std::move(on_invalid)}),
      on_end_(std::move(on_end)),
      timeout_timer_(loop) {}

void health_probe::Send(const std::string& path) {
  is_under_way_ = true;
  read_bytes_ = 0;
  answer_ = {.head = {}, .body = {}, .sent_at = loop_.Now()};
  http_head request;
  request.method = "GET";
  request.target = path;
  request.Set("Host", host_);
  // A late copy of an earlier answer could not be told from the answer to this probe.
  request.Set("Connection", "close");
  timeout_timer_.StartOnce(kTimeout, [this] { End(false); });
  exchange_ =
      client_.Send(request, {.max_idle_time = http_client::send_options::kNewConnectionOnly},
                   {.on_head = [this](http_head head) { answer_.head = std::move(head); },
                    .on_interim = {},
                    .on_body = [this](std::string_view bytes) { OnBody(bytes); },
                    .on_end = [this] { End(true); },
                    .on_failed = [this](exchange_failure) { End(false); },
                    .on_writable = {},
                    .is_matching_answer = {}});
  exchange_->FinishBody();
}

void health_probe::OnBody(std::string_view bytes) {
  answer_.body += bytes.substr(0, kMaxBodyBytes - answer_.body.size());
  read_bytes_ += bytes.size();
  if (read_bytes_ > kMaxReadBytes) {
    End(false);
  }
}

void health_probe::End(bool was_answered) {
  if (!std::exchange(is_under_way_, false)) {
    return;
  }
  timeout_timer_.Stop();
  if (!was_answered && exchange_) {
    exchange_->Cancel();
  }
  const answer ended = std::move(answer_);
  on_end_(was_answered ? &ended : nullptr);
}

}  // namespace cuminferry
