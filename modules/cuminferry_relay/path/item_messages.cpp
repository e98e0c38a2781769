#include "cuminferry_relay/path/item_messages.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "cuminferry_relay/path/peer_headers.h"

namespace cuminferry {
namespace {

constexpr std::string_view kAfter = "after=";
constexpr std::string_view kWholePageAfter = "whole_page=";
constexpr std::string_view kPageAfter = "page=";
constexpr std::string_view kFrom = "from=";

std::optional<std::string_view> Parameter(std::string_view target, std::string_view name) {
  const std::size_t query = target.find('?');
  if (query == std::string_view::npos) {
    return std::nullopt;
  }
  for (std::size_t at = query + 1; at < target.size();) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    const std::string_view parameter = target.substr(at, end - at);
    if (parameter.starts_with(name)) {
      return parameter.substr(name.size());
    }
    at = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::string item_query::ToTarget() const {
  std::string target = fmt::format("{}?{}{}", kItemsPath, kAfter, after);
  if (from != endpoint{}) {
    target += fmt::format("&{}{}", kFrom, from.ToString());
  }
  if (page) {
    target += fmt::format("&{}{}", page->whole ? kWholePageAfter : kPageAfter, page->after);
  }
  return target;
}

item_query item_query::Parse(std::string_view target) {
  item_query query;
  if (const auto text = Parameter(target, kAfter)) {
    query.after = ParseInteger<std::uint64_t>(*text).value_or(0);
  }
  for (const bool whole : {false, true}) {
    const auto text = Parameter(target, whole ? kWholePageAfter : kPageAfter);
    const auto after = text ? ParseInteger<std::uint64_t>(*text) : std::nullopt;
    if (after) {
      query.page = {.after = *after, .whole = whole};
    }
  }
  endpoint from;
  if (const auto text = Parameter(target, kFrom);
      text && endpoint::Parse(std::string(*text), from)) {
    query.from = from;
  }
  return query;
}

}  // namespace cuminferry
