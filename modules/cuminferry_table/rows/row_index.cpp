#include "cuminferry_table/rows/row_index.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cuminferry_table/rows/path_pattern.h"

namespace cuminferry {
namespace {

constexpr std::uint32_t kNone = UINT32_MAX;

/** A literal segment below a node. */
struct edge {
  std::uint32_t parent = 0;
  std::string segment;
};

/** An edge as a lookup names it, without a copy of the text. */
struct edge_view {
  std::uint32_t parent = 0;
  std::string_view segment;
};

struct edge_hash {
  using is_transparent = void;
  std::size_t operator()(const edge_view& of) const { return absl::HashOf(of.parent, of.segment); }
  std::size_t operator()(const edge& of) const { return (*this)(edge_view{of.parent, of.segment}); }
};

struct edge_equal {
  using is_transparent = void;
  static edge_view View(const edge& of) { return {of.parent, of.segment}; }
  static edge_view View(const edge_view& of) { return of; }
  template <typename Left, typename Right>
  bool operator()(const Left& left, const Right& right) const {
    return View(left).parent == View(right).parent && View(left).segment == View(right).segment;
  }
};

struct tree_node {
  std::uint32_t placeholder = kNone;
  /** First row that ends here, and first that takes all that follows. */
  std::uint32_t row_here = kNone;
  std::uint32_t row_rest = kNone;
  /** Least row at or below this node: a branch that cannot better what was
      found is not entered. */
  std::uint32_t least_below = kNone;
};

/** Where the tree of one method begins; there are few methods. */
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
      const std::string_view pattern = ComparedPath(rows[position].path_pattern);
      shadowing_.push_back(FirstCovering(root, pattern));
      Insert(root, pattern, position);
    }
  }

  std::uint32_t Find(std::string_view method, std::string_view path) const {
    const auto root = std::ranges::find(roots_, method, &method_root::method);
    if (root == roots_.end() || path.empty() || path.front() != '/') {
      return kNone;
    }
    std::uint32_t best = kNone;
    Search(root->node, ComparedPath(path), best);
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
      if (nodes_[parent].placeholder == kNone) {
        const std::uint32_t child = NewNode();
        nodes_[parent].placeholder = child;
      }
      return nodes_[parent].placeholder;
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
    NoteLeast(node, position);
    while (!pattern.empty()) {
      const std::string_view segment = TakeSegment(pattern);
      if (segment == kRestOfPath) {
        nodes_[node].row_rest = std::min(nodes_[node].row_rest, position);
        return;
      }
      node = ChildOf(node, segment);
      NoteLeast(node, position);
    }
    nodes_[node].row_here = std::min(nodes_[node].row_here, position);
  }

  void NoteLeast(std::uint32_t node, std::uint32_t position) {
    nodes_[node].least_below = std::min(nodes_[node].least_below, position);
  }

  std::uint32_t Literal(std::uint32_t parent, std::string_view segment) const {
    const auto found = literals_.find(edge_view{parent, segment});
    return found == literals_.end() ? kNone : found->second;
  }

  void Search(std::uint32_t node, std::string_view path, std::uint32_t& best) const {
    if (node == kNone || nodes_[node].least_below >= best) {
      return;
    }
    best = std::min(best, nodes_[node].row_rest);
    if (path.empty()) {
      best = std::min(best, nodes_[node].row_here);
      return;
    }
    const std::string_view segment = TakeSegment(path);
    Search(Literal(node, segment), path, best);
    if (!segment.empty()) {
      Search(nodes_[node].placeholder, path, best);
    }
  }

  /** The first row so far whose pattern covers all paths of this pattern. */
  std::uint32_t FirstCovering(std::uint32_t node, std::string_view pattern) const {
    if (node == kNone) {
      return kNone;
    }
    std::uint32_t best = nodes_[node].row_rest;
    if (pattern.empty()) {
      return std::min(best, nodes_[node].row_here);
    }
    const std::string_view segment = TakeSegment(pattern);
    if (segment == kRestOfPath) {
      return best;
    }
    best = std::min(best, FirstCovering(nodes_[node].placeholder, pattern));
    if (!IsPlaceholder(segment)) {
      best = std::min(best, FirstCovering(Literal(node, segment), pattern));
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
  return found == kNone ? std::nullopt : std::optional(found);
}

std::optional<std::uint32_t> row_index::FindShadowing(std::uint32_t position) const {
  const std::uint32_t found = state_->shadowing(position);
  return found == kNone ? std::nullopt : std::optional(found);
}

std::size_t row_index::rows() const { return state_->rows(); }

}  // namespace cuminferry
