#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cuminferry {

/** Ids of instances, each with the start time of the run that is meant; of too many, the oldest are
    forgotten. */
class recent_ids {
 public:
  explicit recent_ids(std::size_t max_size) : max_size_(max_size) {}

  /** Returns whether the id, or its run, is new.
      @param started_millis  @see service_instance */
  bool Insert(std::string_view id, std::int64_t started_millis);
  void Erase(std::string_view id);
  bool Contains(std::string_view id) const { return runs_.contains(id); }
  /** Start time of the run of this id; nothing where the id is not contained. */
  std::optional<std::int64_t> RunOf(std::string_view id) const;
  std::size_t size() const { return runs_.size(); }

 private:
  std::size_t max_size_;
  std::map<std::string, std::int64_t, std::less<>> runs_;
  // In the order of insertion; may contain ids that were erased.
  std::deque<std::string> order_;
};

}  // namespace cuminferry
