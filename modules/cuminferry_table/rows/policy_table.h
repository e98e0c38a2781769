#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_table/reading/problem_list.h"
#include "cuminferry_table/rows/request_row.h"
#include "cuminferry_table/rows/row_index.h"

namespace cuminferry {

/** The declaration of one service in the table. */
struct service_entry {
  std::string name;
  /** The number of targets of the service in one failure domain. Fleet-wide limits are divided
      into shares by these numbers, which only an edit of the table changes. */
  struct domain_targets {
    std::string failure_domain;
    std::uint32_t targets = 0;
    friend bool operator==(const domain_targets&, const domain_targets&) = default;
  };
  std::vector<domain_targets> domains;
  /** Maximum number of requests that one target runs concurrently. */
  std::uint32_t slots = 1;
  /** Maximum number of connections that one target accepts. */
  std::uint32_t connections = 1;

  /** Returns the number of targets in all failure domains. */
  std::uint32_t TotalTargets() const;

  friend bool operator==(const service_entry&, const service_entry&) = default;
};

/** The part of the table that concerns one service. Nodes of the service and nodes that call it
    need this part only. */
struct table_shard {
  service_entry service;
  /** The table version in which this part last changed. */
  std::uint64_t version = 0;
  /** In the table's order; a request belongs to the first row that matches it. */
  std::vector<request_row> rows;

  friend bool operator==(const table_shard& left, const table_shard& right) {
    return left.version == right.version && left.HasSameContent(right);
  }
  /** Whether service and rows are equal; the versions may differ. */
  bool HasSameContent(const table_shard& other) const {
    return service == other.service && rows == other.rows;
  }

  /** Returns the row of a request; nullptr where none matches. After BuildIndex() the time of a
      lookup does not depend on the number of rows; without an index, the rows are scanned. */
  const request_row* FindRow(std::string_view method, std::string_view path) const;
  /** Returns the position in `rows` of the row that FindRow() returns. */
  std::optional<std::uint32_t> FindRowIndex(std::string_view method, std::string_view path) const;
  /** Returns the row with a name; nullptr where there is none. */
  const request_row* FindRowByName(std::string_view name) const;

  /** Builds the index of the rows. Parsed shards have an index; shards that code assembles work
      without one. Must be called again after a change of the rows. */
  void BuildIndex();

 private:
  /** Shared with copies of the shard, as their rows are the same. */
  std::shared_ptr<const row_index> index_;
};

/** A whole table as operators edit it. Services are sorted by name; the rows of each service are in
    the operators' order. */
class policy_table {
 public:
  /** Maximum size of the text of a whole table. */
  static constexpr std::size_t kMaxTextBytes = 16 << 20;
  /** Maximum size of a value on the platform, and hence of a shard as JSON. */
  static constexpr std::size_t kMaxShardBytes = 1'000'000;
  static constexpr std::size_t kMaxServices = 1'000;
  static constexpr std::size_t kMaxRows = 20'000;

  /** Parses and checks JSON with comments. Adds all problems to `problems`; the status carries the
      first one. */
  static absl::StatusOr<policy_table> Parse(std::string_view json,
                                            std::vector<table_problem>& problems);
  static absl::StatusOr<policy_table> Parse(std::string_view json);

  /** Gives each shard whose content is the same in an earlier table the version that it has there.
      A publisher must call this function for each edit: otherwise every node would fetch every
      shard again, which at 360 services costs 1,800 reads for one edit. */
  void RetainVersionsOf(const policy_table& earlier);

  //============================================================================
  std::uint64_t version() const { return version_; }
  std::span<const table_shard> shards() const { return shards_; }
  /** Returns nullptr where the table does not declare the service. */
  const table_shard* FindShard(std::string_view service) const;

  /** Returns the table as canonical JSON: equal tables give equal text. */
  std::string ToJson() const;

  friend bool operator==(const policy_table&, const policy_table&) = default;

 private:
  std::uint64_t version_ = 0;
  std::vector<table_shard> shards_;
};

/** Returns a shard as canonical JSON, the form in which the platform publishes it and nodes
    transfer it. */
std::string ShardToJson(const table_shard& shard);
/** Parses and checks the form that ShardToJson() writes. */
absl::StatusOr<table_shard> ParseShard(std::string_view json);
/** Parses a shard as above and adds all problems to `problems`. */
absl::StatusOr<table_shard> ParseShard(std::string_view json, std::vector<table_problem>& problems);
/** Returns the digest of the canonical form. Two contents that claim the same version differ in
    it. */
std::uint64_t ShardDigest(const table_shard& shard);

}  // namespace cuminferry
