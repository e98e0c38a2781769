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

  /** Targets over all failure domains. */
  std::uint32_t TotalTargets() const;

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

  friend bool operator==(const table_shard& left, const table_shard& right) {
    return left.version == right.version && left.SameContent(right);
  }
  /** Whether service and rows are the same, whatever the version. */
  bool SameContent(const table_shard& other) const {
    return service == other.service && rows == other.rows;
  }

  /** The row of a request; nullptr where none matches. Takes the same time for
      ten rows and for ten thousand once BuildIndex() was called. */
  const request_row* FindRow(std::string_view method, std::string_view path) const;
  /** The position in `rows` that FindRow() finds. */
  std::optional<std::uint32_t> FindRowNumber(std::string_view method, std::string_view path) const;
  /** The row of a name; nullptr where there is none. */
  const request_row* FindRowNamed(std::string_view name) const;

  /** Indexes the rows. Shards that were read have it; one that is made by hand
      works without. To be called again after the rows were changed. */
  void BuildIndex();

 private:
  /** Shared by copies, which have the same rows. */
  std::shared_ptr<const row_index> index_;
};

/** A whole table as operators edit it. Immutable once made. Services stand by
    name, the rows of each service in the operators' order. */
class policy_table {
 public:
  /** Largest text of a whole table. */
  static constexpr std::size_t kLargestText = 16 << 20;
  /** Largest published value, and so the largest shard. */
  static constexpr std::size_t kLargestShard = 1'000'000;
  static constexpr std::size_t kMostServices = 1'000;
  static constexpr std::size_t kMostRows = 20'000;

  /** Reads and checks JSON with comments. All problems found are added to
      `problems`; the status carries the first. */
  static absl::StatusOr<policy_table> Parse(std::string_view json,
                                            std::vector<table_problem>& problems);
  static absl::StatusOr<policy_table> Parse(std::string_view json);

  /** Gives each shard that is the same in an earlier table the version that it has
      there. A publisher does this with each edit: otherwise every node would take
      every shard anew, and at 360 services one edit would cost 1,800 reads. */
  void KeepVersionsOf(const policy_table& earlier);

  //============================================================================
  std::uint64_t version() const { return version_; }
  std::span<const table_shard> shards() const { return shards_; }
  /** nullptr where the table does not declare the service. */
  const table_shard* FindShard(std::string_view service) const;

  /** The table as JSON, canonical: equal tables give equal text. */
  std::string ToJson() const;

  friend bool operator==(const policy_table&, const policy_table&) = default;

 private:
  std::uint64_t version_ = 0;
  std::vector<table_shard> shards_;
};

/** A shard as JSON, canonical, as the platform publishes it and nodes pass it on. */
std::string ShardToJson(const table_shard& shard);
/** Reads and checks the form that ShardToJson() writes. */
absl::StatusOr<table_shard> ParseShard(std::string_view json);
/** As above; all problems found are added to `problems`. */
absl::StatusOr<table_shard> ParseShard(std::string_view json, std::vector<table_problem>& problems);
/** Digest of the canonical form; tells two contents of one version apart. */
std::uint64_t ShardDigest(const table_shard& shard);

}  // namespace cuminferry
