#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_table/rows/request_row.h"

namespace cuminferry {

/** One service as the table declares it. */
struct service_entry {
  std::string name;
  /** Targets of the service in each failure domain. Shares of fleet-wide limits
      are cut by these numbers, which change by an edit only. */
  struct domain_targets {
    std::string failure_domain;
    std::uint32_t targets = 0;
    friend bool operator==(const domain_targets&, const domain_targets&) = default;
  };
  std::vector<domain_targets> domains;
  /** Requests that one target works on at once. */
  std::uint32_t slots = 1;
  /** Connections that one target accepts. */
  std::uint32_t connections = 1;

  friend bool operator==(const service_entry&, const service_entry&) = default;
};

/** One service's part of the table: what a node of the service, or one that
    calls it, needs to know. */
struct table_shard {
  service_entry service;
  /** The table version at which this part last changed. */
  std::uint64_t version = 0;
  /** In the table's order; the first row that matches is taken. */
  std::vector<request_row> rows;

  friend bool operator==(const table_shard&, const table_shard&) = default;

  /** The row of a request; nullptr where none matches. */
  const request_row* FindRow(std::string_view method, std::string_view path) const;
};

/** One thing that is wrong with a table or with settings. */
struct table_problem {
  result_code code = result_code::kOk;
  /** Where: a JSON pointer, with line and column where the text could not be read. */
  std::string place;
  /** What is wrong and what would be accepted. */
  std::string detail;
};

/** A whole table as operators edit it. Immutable once made. */
class policy_table {
 public:
  /** Reads and checks JSON with comments. All problems found are added to
      `problems`; the status carries the first. */
  static absl::StatusOr<policy_table> Parse(std::string_view json,
                                            std::vector<table_problem>& problems);
  static absl::StatusOr<policy_table> Parse(std::string_view json);

  //============================================================================
  std::uint64_t version() const { return version_; }
  std::span<const table_shard> shards() const { return shards_; }
  /** nullptr where the table does not declare the service. */
  const table_shard* FindShard(std::string_view service) const;

  /** The table as JSON, canonical: equal tables give equal text. */
  std::string ToJson() const;

 private:
  std::uint64_t version_ = 0;
  std::vector<table_shard> shards_;
};

/** A shard as JSON, canonical, as the platform publishes it and nodes pass it on. */
std::string ShardToJson(const table_shard& shard);
/** Reads and checks the form that ShardToJson() writes. */
absl::StatusOr<table_shard> ParseShard(std::string_view json);
/** Digest of the canonical form; tells two contents of one version apart. */
std::uint64_t ShardDigest(const table_shard& shard);

}  // namespace cuminferry
