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

/** Answer of a node's HTTP interface. */
struct http_answer {
  int status = 0;
  std::string body;
  /** The value of a header, found without regard to case; empty if it is absent. */
  std::string Header(const std::string& name) const;

  std::multimap<std::string, std::string> headers;
};

/** Maximum size of an answer in bytes; a node's ring buffer of events is far smaller. */
inline constexpr std::size_t kMaxAnswerBytes = 64 << 20;

/** Makes one HTTP call. Any failure to get an answer is reported as kTargetUnreachable. */
absl::StatusOr<http_answer> Get(endpoint address, const std::string& path,
                                std::chrono::milliseconds timeout);
absl::StatusOr<http_answer> Post(endpoint address, const std::string& path,
                                 std::chrono::milliseconds timeout);

/** The JSON that a node answered, or the error. */
struct node_answer {
  endpoint address;
  absl::StatusOr<nlohmann::json> json;
};

/** Queries nodes concurrently, at most 32 at a time. The answers are in the order of the
    nodes. */
std::vector<node_answer> GetJsonFromAll(std::span<const endpoint> nodes, const std::string& path,
                                        std::chrono::milliseconds timeout);

}  // namespace cuminferry::ctl
