#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::ctl {

/** What a node's HTTP interface answered. */
struct http_answer {
  int status = 0;
  std::string body;
  /** The value of a header; empty where the answer has none. */
  std::string Header(const std::string& name) const;

  std::multimap<std::string, std::string> headers;
};

/** Largest answer that is read; a node's ring of events is far smaller. */
inline constexpr std::size_t kLargestAnswer = 64 << 20;

/** One HTTP call. The error is kTargetUnreachable whatever kept it from ending. */
absl::StatusOr<http_answer> Get(endpoint at, const std::string& path,
                                std::chrono::milliseconds longest);
absl::StatusOr<http_answer> Post(endpoint at, const std::string& path,
                                 std::chrono::milliseconds longest);

/** A node and the JSON that it answered, or why there is none. */
struct node_answer {
  endpoint at;
  absl::StatusOr<nlohmann::json> json;
};

/** Asks many nodes at once, with a bounded number of calls under way; answers
    stand in the order of the nodes. */
std::vector<node_answer> GetJsonFromAll(std::span<const endpoint> nodes, const std::string& path,
                                        std::chrono::milliseconds longest);

}  // namespace cuminferry::ctl
