#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_fleet/platform/published_values.h"
#include "cuminferry_fleet/tables/value_version.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** What became of a content that was offered. */
enum class offer_outcome : std::uint8_t {
  kTaken,     ///< it is in force now
  kOlder,     ///< not newer than what is in force
  kConflict,  ///< claims the version in force or announced, with other content
  kInvalid,   ///< is what was announced, but breaks the rules; the last good one stays
  kDamaged,   ///< is not what was announced; another source may have it
};

/** What an offer led to. */
struct offer_result {
  offer_outcome outcome = offer_outcome::kOlder;
  value_version version;
  /** Set where a shard came into force. */
  std::optional<table_shard> shard;
  /** Set where a list of instances came into force. */
  std::optional<published_instances> instances;
  /** Why it was not taken. */
  absl::Status status;
};

/** The contents in force on this node: shards and lists of the services that it
    follows. No offer makes a version go down, whatever its source. */
class value_store {
 public:
  value_store();
  ~value_store();

  /** Keeps a place for a name; contents of other names are not taken. */
  void Follow(std::string_view name);
  bool Follows(std::string_view name) const;

  /** Offers a content.
      @param announced what is known of the value from elsewhere; may be nullptr */
  offer_result Offer(std::string_view name, std::string_view json, const value_version* announced);

  //============================================================================
  /** Version in force; 0 where there is none. */
  std::uint64_t VersionOf(std::string_view name) const;
  /** Whether this version was offered and found invalid: no use fetching it again. */
  bool IsKnownInvalid(const value_version& version) const;
  /** Canonical JSON in force; empty where there is none. */
  std::string_view TextOf(std::string_view name) const;
  /** What is in force, for status pages. */
  std::vector<value_version> InForce() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
