#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Result of the check of a request's key. */
enum class key_status : std::uint8_t {
  /** The request carries no key. */
  kNone,
  /** The request carries the key of a customer. */
  kKnown,
  /** The request carries something that is no customer's key. */
  kUnknown,
};

struct key_check {
  key_status status = key_status::kNone;
  /** Set for kKnown; owned by the customer registry. */
  const customer* holder = nullptr;
};

/** Identifies the customer of a request by its Authorization fields ("Bearer", a blank and the
    key; the scheme in any case, as RFC 9110 defines it).

    Two fields are kUnknown, even if both hold a valid key: the caller's intention is unclear, and
    so is which of them another program on the way has read.
    @param fields     the values of all Authorization fields of the request
    @param customers  nullptr where the table has no customers: all requests are kNone */
key_check CheckKey(std::span<const std::string_view> fields, const customer_registry* customers);

}  // namespace cuminferry
