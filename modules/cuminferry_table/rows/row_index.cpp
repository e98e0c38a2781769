#include "cuminferry_table/rows/row_index.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cuminferry_table/rows/path_pattern.h"

namespace cuminferry {
namespace {

constexpr std::uint32_t kNoRowOrNode = UINT32_MAX;

/** A literal segment that leads from a tree node to a child. */
struct edge {
  std::uint32_t parent = 0;
  std::string segment;
};

/** The key of a lookup in the map of edges; does not copy the text. */
struct edge_view {
  std::uint32_t parent = 0;
  std::string_view segment;
};

struct edge_hash {
  using is_transparent = void;
  std::size_t operator()(const edge_view& key) const {
    return absl::HashOf(key.parent, key.segment);
  }
  std::size_t operator()(const edge& key) const {
    return (*this)(edge_view{key.parent, key.segment});
  }
};

struct edge_equal {
  using is_transparent = void;
  static edge_view View(const edge& key) { return {key.parent, key.segment}; }
  static edge_view View(const edge_view& key) { return key; }
  template <typename Left, typename Right>
  bool operator()(const Left& left, const Right& right) const {
    return View(left).parent == View(right).parent && View(left).segment == View(right).segment;
  }
};

struct tree_node {
  std::uint32_t placeholder_child = kNoRowOrNode;
  /** The first row whose pattern ends at this node, and the first one whose pattern continues with
      "**". */
  std::uint32_t ending_row = kNoRowOrNode;
  std::uint32_t remainder_row = kNoRowOrNode;
  /** The lowest row position at or below this node. A search skips a branch that cannot contain an
      earlier row than the one found. */
  std::uint32_t lowest_row = kNoRowOrNode;
};

/** The root of the tree of one method. A list of roots is enough, as there are few methods. */
struct method_root {
  std::string method;
  std::uint32_t node = 0;
};

}  // namespace

class row_index::state {
 public:
  explicit state(std::span<const request_row> rows) {
    shadowing_.reserve(rows.size());
    for (std::uint32_t position = 0; position < rows.size(); ++position) {
      const std::uint32_t root = RootOf(rows[position].method);
      const std::string_view pattern = NormalizedPath(rows[position].path_pattern);
      shadowing_.push_back(FindFirstCovering(root, pattern));
      Insert(root, pattern, position);
    }
  }

  std::uint32_t Find(std::string_view method, std::string_view path) const {
    const auto root = std::ranges::find(roots_, method, &method_root::method);
    if (root == roots_.end() || path.empty() || path.front() != '/') {
      return kNoRowOrNode;
    }
    std::uint32_t best = kNoRowOrNode;
    Search(root->node, NormalizedPath(path), best);
    return best;
  }

  std::uint32_t shadowing(std::uint32_t position) const { return shadowing_[position]; }
  std::size_t rows() const { return shadowing_.size(); }

 private:
  std::uint32_t NewNode() {
    nodes_.emplace_back();
    return static_cast<std::uint32_t>(nodes_.size() - 1);
  }

  std::uint32_t RootOf(const std::string& method) {
    const auto found = std::ranges::find(roots_, method, &method_root::method);
    if (found != roots_.end()) {
      return found->node;
    }
    const std::uint32_t root = NewNode();
    roots_.push_back({method, root});
    return root;
  }

  std::uint32_t ChildOf(std::uint32_t parent, std::string_view segment) {
    if (IsPlaceholder(segment)) {
      if (nodes_[parent].placeholder_child == kNoRowOrNode) {
        const std::uint32_t child = NewNode();
        nodes_[parent].placeholder_child = child;
      }
      return nodes_[parent].placeholder_child;
    }
    const auto found = literals_.find(edge_view{parent, segment});
    if (found != literals_.end()) {
      return found->second;
    }
    const std::uint32_t child = NewNode();
    literals_.emplace(edge{parent, std::string(segment)}, child);
    return child;
  }

  void Insert(std::uint32_t node, std::string_view pattern, std::uint32_t position) {
    UpdateLowestRow(node, position);
    while (!pattern.empty()) {
      const std::string_view segment = TakeSegment(pattern);
      if (segment == kAnyRemainder) {
        nodes_[node].remainder_row = std::min(nodes_[node].remainder_row, position);
        return;
      }
      node = ChildOf(node, segment);
      UpdateLowestRow(node, position);
    }
    nodes_[node].ending_row = std::min(nodes_[node].ending_row, position);
  }

  void UpdateLowestRow(std::uint32_t node, std::uint32_t position) {
    nodes_[node].lowest_row = std::min(nodes_[node].lowest_row, position);
  }

  std::uint32_t LiteralChildOf(std::uint32_t parent, std::string_view segment) const {
    const auto found = literals_.find(edge_view{parent, segment});
    return found == literals_.end() ? kNoRowOrNode : found->second;
  }

  void Search(std::uint32_t node, std::string_view path, std::uint32_t& best) const {
    if (node == kNoRowOrNode || nodes_[node].lowest_row >= best) {
      return;
    }
    best = std::min(best, nodes_[node].remainder_row);
    if (path.empty()) {
      best = std::min(best, nodes_[node].ending_row);
      return;
    }
    const std::string_view segment = TakeSegment(path);
    Search(LiteralChildOf(node, segment), path, best);
    if (!segment.empty()) {
      Search(nodes_[node].placeholder_child, path, best);
    }
  }

  /** Returns the first inserted row whose pattern matches all paths of this pattern. */
  std::uint32_t FindFirstCovering(std::uint32_t node, std::string_view pattern) const {
    if (node == kNoRowOrNode) {
      return kNoRowOrNode;
    }
    std::uint32_t best = nodes_[node].remainder_row;
    if (pattern.empty()) {
      return std::min(best, nodes_[node].ending_row);
    }
    const std::string_view segment = TakeSegment(pattern);
    if (segment == kAnyRemainder) {
      return best;
    }
    best = std::min(best, FindFirstCovering(nodes_[node].placeholder_child, pattern));
    if (!IsPlaceholder(segment)) {
      best = std::min(best, FindFirstCovering(LiteralChildOf(node, segment), pattern));
    }
    return best;
  }

  std::vector<method_root> roots_;
  absl::flat_hash_map<edge, std::uint32_t, edge_hash, edge_equal> literals_;
  std::vector<tree_node> nodes_;
  std::vector<std::uint32_t> shadowing_;
};

row_index::row_index(std::span<const request_row> rows) : state_(std::make_unique<state>(rows)) {}
row_index::~row_index() = default;

std::optional<std::uint32_t> row_index::Find(std::string_view method, std::string_view path) const {
  const std::uint32_t found = state_->Find(method, path);
  return found == kNoRowOrNode ? std::nullopt : std::optional(found);
}

std::optional<std::uint32_t> row_index::FindShadowing(std::uint32_t position) const {
  const std::uint32_t found = state_->shadowing(position);
  return found == kNoRowOrNode ? std::nullopt : std::optional(found);
}

std::size_t row_index::rows() const { return state_->rows(); }

}  // namespace cuminferry
