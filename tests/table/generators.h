#pragma once

#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry::testing {

/** Generates a path pattern from few words, so that the patterns of different rows overlap. */
inline rc::Gen<std::string> AnyPattern() {
  return rc::gen::exec([] {
    const auto segments = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("a", "b", "{x}", "{y}"));
    std::string pattern;
    for (std::size_t at = 0; at < segments.size() && at < 4; ++at) {
      pattern += "/" + segments[at];
    }
    pattern += *rc::gen::element<std::string>("", "", "/**");
    return pattern.empty() ? std::string("/") : pattern;
  });
}

/** Generates a path that may match the patterns of AnyPattern(). */
inline rc::Gen<std::string> AnyPath() {
  return rc::gen::exec([] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("/a", "/b", "/c", "/", "/{x}", "?a/b"));
    std::string path;
    for (std::size_t at = 0; at < pieces.size() && at < 6; ++at) {
      path += pieces[at];
    }
    return path;
  });
}

inline rc::Gen<request_row> AnyRow() {
  return rc::gen::exec([] {
    request_row row;
    row.method = *rc::gen::element<std::string>("GET", "PUT");
    row.path_pattern = *AnyPattern();
    row.weight = *rc::gen::inRange<std::uint16_t>(0, 10'001);
    row.fleet_limit = *rc::gen::element<std::uint32_t>(0, 64, 100);
    row.target_limit = *rc::gen::element<std::uint32_t>(0, 1, 60);
    row.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 100'000));
    row.idempotent = *rc::gen::arbitrary<bool>();
    row.retry_allowance = *rc::gen::inRange<std::uint8_t>(0, 11);
    row.max_answer_bytes = *rc::gen::inRange<std::uint32_t>(1, 1 << 24);
    return row;
  });
}

/** Generates a shard that passes every check: rows that would be shadowed are left out. */
inline rc::Gen<table_shard> AnyShard(std::string name = "service") {
  return rc::gen::exec([name] {
    table_shard shard;
    shard.service.name = name;
    shard.service.domains = {{"east", *rc::gen::inRange<std::uint32_t>(1, 9)},
                             {"north", *rc::gen::inRange<std::uint32_t>(1, 9)}};
    shard.service.slots = *rc::gen::inRange<std::uint32_t>(60, 300);
    shard.service.connections = shard.service.slots;
    shard.version = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    for (request_row& row : *rc::gen::container<std::vector<request_row>>(AnyRow())) {
      row.name = name + "-" + std::to_string(shard.rows.size());
      row.service = name;
      shard.rows.push_back(std::move(row));
      const row_index index(shard.rows);
      if (index.FindShadowing(static_cast<std::uint32_t>(shard.rows.size() - 1)).has_value()) {
        shard.rows.pop_back();
      }
    }
    return shard;
  });
}

}  // namespace cuminferry::testing
