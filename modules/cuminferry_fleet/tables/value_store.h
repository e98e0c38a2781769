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

/** Outcome of offering a content. */
enum class offer_outcome : std::uint8_t {
  kAccepted,  ///< the content is in force now
  kNotNewer,  ///< the content is not newer than the one in force
  kConflict,  ///< the version is the one in force or announced, but the content differs
  kInvalid,   ///< the announced content itself is invalid; the last valid one stays in force
  kDamaged,   ///< the content is not the announced one; another source may have that
};

/** Outcome of an offer, with the content where it was accepted. */
struct offer_result {
  offer_outcome outcome = offer_outcome::kNotNewer;
  value_version version;
  /** The parsed content where it is a valid shard. */
  std::optional<table_shard> shard;
  /** The parsed content where it is a valid instance list. */
  std::optional<published_instances> instances;
  /** Reason why the content was not accepted. */
  absl::Status status;
};

/** The contents in force on this node: shards and instance lists of the services that it
    follows. An offer never lowers a version, whatever its source. */
class value_store {
 public:
  value_store();
  ~value_store();

  /** Adds a name to those whose contents are accepted. */
  void Follow(std::string_view name);
  bool Follows(std::string_view name) const;

  /** Puts a content in force if it is valid and newer than the present one.
      @param announced the version known from the index or from peers; may be nullptr */
  offer_result Offer(std::string_view name, std::string_view json, const value_version* announced);

  //============================================================================
  /** Returns the version in force; 0 where there is none. */
  std::uint64_t VersionOf(std::string_view name) const;
  /** Whether this version was offered and is invalid, so that it need not be fetched again. */
  bool IsKnownInvalid(const value_version& version) const;
  /** Returns the JSON text in force; empty where there is none. */
  std::string_view TextOf(std::string_view name) const;
  /** Returns all versions in force, for status pages. */
  std::vector<value_version> InForce() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
