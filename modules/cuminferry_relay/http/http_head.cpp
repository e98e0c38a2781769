#include "cuminferry_relay/http/http_head.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {
namespace {

// The hop-by-hop fields of RFC 9110, section 7.6.1, and the fields that frame a body.
constexpr std::array<std::string_view, 9> kConnectionFields{
    "connection",        "keep-alive",     "proxy-connection",  "te", "trailer", "upgrade",
    "transfer-encoding", "content-length", "proxy-authenticate"};

void AppendFields(const http_head& head, std::string& text) {
  for (const auto& [name, value] : head.fields) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (head.framing == body_framing::kLength) {
    text += fmt::format("Content-Length: {}\r\n", head.length);
  } else if (head.framing == body_framing::kChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
}

}  // namespace

bool EqualFieldNames(std::string_view left, std::string_view right) {
  return EqualsIgnoringCase(left, right);
}

std::optional<std::int64_t> ParseDecimal(std::string_view text) {
  return ParseInteger<std::int64_t>(text);
}

std::optional<duration> ParseTime(std::string_view text, duration unit) {
  const auto count = ParseDecimal(text);
  if (!count) {
    return std::nullopt;
  }
  return unit * std::clamp<std::int64_t>(*count, 0, kMaxStatedTime / unit);
}

std::string ToChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

const std::string* http_head::Find(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (EqualFieldNames(field, name)) {
      return &value;
    }
  }
  return nullptr;
}

std::vector<std::string_view> http_head::FindAll(std::string_view name) const {
  std::vector<std::string_view> found;
  for (const auto& [field, value] : fields) {
    if (EqualFieldNames(field, name)) {
      found.push_back(value);
    }
  }
  return found;
}

void http_head::Set(std::string_view name, std::string value) {
  Remove(name);
  fields.emplace_back(std::string(name), std::move(value));
}

void http_head::Remove(std::string_view name) {
  std::erase_if(fields, [&](const auto& field) { return EqualFieldNames(field.first, name); });
}

bool http_head::AnnouncesClose() const {
  const auto has_close = [](std::string_view value) {
    return std::ranges::any_of(SplitText(value, ','), [](std::string_view token) {
      return EqualsIgnoringCase(TrimBlanks(token), "close");
    });
  };
  return std::ranges::any_of(FindAll("connection"), has_close);
}

void http_head::RemoveConnectionFields() {
  std::vector<std::string> listed_by_connection;
  for (const auto& [name, value] : fields) {
    if (EqualFieldNames(name, "connection")) {
      for (const std::string_view token : SplitText(value, ',')) {
        listed_by_connection.emplace_back(TrimBlanks(token));
      }
    }
  }
  std::erase_if(fields, [&](const auto& field) {
    const auto has_name = [&](std::string_view name) { return EqualFieldNames(field.first, name); };
    return std::any_of(kConnectionFields.begin(), kConnectionFields.end(), has_name) ||
           std::any_of(listed_by_connection.begin(), listed_by_connection.end(), has_name);
  });
}

std::string http_head::ToRequestText() const {
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
  AppendFields(*this, text);
  text += "\r\n";
  return text;
}

std::string http_head::ToResponseText(bool close) const {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
  AppendFields(*this, text);
  if (close) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

}  // namespace cuminferry
