#include "cuminferry_policy/customers/key_check.h"

namespace cuminferry {
namespace {

constexpr std::string_view kScheme = "bearer";

// Returns the key of an Authorization field; empty where the field has another form.
std::string_view KeyIn(std::string_view field) {
  const std::string_view trimmed = TrimBlanks(field);
  const std::size_t blank = trimmed.find(' ');
  if (blank == std::string_view::npos || !EqualsIgnoringCase(trimmed.substr(0, blank), kScheme)) {
    return {};
  }
  return TrimBlanks(trimmed.substr(blank));
}

}  // namespace

key_check CheckKey(std::span<const std::string_view> fields, const customer_registry* customers) {
  if (customers == nullptr || fields.empty()) {
    return {};
  }
  const std::string_view key = fields.size() == 1 ? KeyIn(fields.front()) : std::string_view();
  const customer* holder = key.empty() ? nullptr : customers->FindByKey(key);
  if (holder == nullptr) {
    return {.status = key_status::kUnknown};
  }
  return {.status = key_status::kKnown, .holder = holder};
}

}  // namespace cuminferry
