#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry::testing {
namespace {

constexpr std::uint32_t kFirstAddress = 0x0A000000;

service_instance Instance(std::uint32_t number, std::uint32_t domains) {
  return {.id = std::to_string(number),
          .service = "maps",
          .backend = {.address = kFirstAddress + number, .port = 80},
          .failure_domain = "domain-" + std::to_string(number % domains)};
}

}  // namespace

class dissemination_tree_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(dissemination_tree_test);
  CPPUNIT_TEST(Update_LargeFleet_HasTwoReaders);
  CPPUNIT_TEST(Update_LargeFleet_QueriesPerNodeAreBounded);
  CPPUNIT_TEST(Update_LargeFleet_OnlyFirstPairsQueryOtherDomains);
  CPPUNIT_TEST(Update_NodeNotListed_QueriesItsDomain);
  CPPUNIT_TEST(Update_ReaderIsDraining_IsReplaced);
  CPPUNIT_TEST(Update_NoOtherNodeKnown_IsReader);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Update_LargeFleet_HasTwoReaders() {
    std::set<std::string> domains;
    std::size_t readers = 0;
    for (const service_instance& own : fleet_) {
      const dissemination_tree tree = TreeOf(own, fleet_);
      if (tree.is_reader()) {
        ++readers;
        domains.insert(own.failure_domain);
      }
    }
    CPPUNIT_ASSERT_EQUAL(dissemination_tree::kReaders, readers);
    CPPUNIT_ASSERT_EQUAL(dissemination_tree::kReaders, domains.size());
  }

  // Guards against overloaded nodes near the root of the tree. Seven thousand nodes query their
  // sources four times a second, and a node that is queried a thousand times a second has no time
  // left for calls.
  void Update_LargeFleet_QueriesPerNodeAreBounded() {
    std::map<endpoint, std::size_t> query_counts;
    std::size_t max_depth = 0;
    for (const service_instance& own : fleet_) {
      const dissemination_tree tree = TreeOf(own, fleet_);
      max_depth = std::max(max_depth, tree.depth());
      for (const endpoint& source : tree.sources()) {
        ++query_counts[source];
      }
    }
    for (const auto& [node, count] : query_counts) {
      // Each node queries one of its two sources at a time. A reader is also queried by the first
      // pairs of all domains.
      CPPUNIT_ASSERT(count <= 2 * dissemination_tree::kPairsPerParent + 2 * kDomains);
    }
    CPPUNIT_ASSERT(max_depth <= 4);
  }

  void Update_LargeFleet_OnlyFirstPairsQueryOtherDomains() {
    std::map<endpoint, std::string> domain_of;
    for (const service_instance& instance : fleet_) {
      domain_of[instance.backend] = instance.failure_domain;
    }
    std::size_t cross_domain_nodes = 0;
    for (const service_instance& own : fleet_) {
      const dissemination_tree tree = TreeOf(own, fleet_);
      const bool queries_other_domain = std::ranges::any_of(
          tree.sources(),
          [&](const endpoint& source) { return domain_of[source] != own.failure_domain; });
      cross_domain_nodes += queries_other_domain ? 1 : 0;
    }
    CPPUNIT_ASSERT(cross_domain_nodes <= 2 * kDomains);
  }

  void Update_NodeNotListed_QueriesItsDomain() {
    const std::vector<service_instance> listed = MakeInstances(20, 2);
    dissemination_tree tree;
    tree.Update(listed, {.address = 1, .port = 1}, "domain-0");
    CPPUNIT_ASSERT(!tree.is_reader());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tree.sources().size());
    for (const endpoint& source : tree.sources()) {
      CPPUNIT_ASSERT_EQUAL(0U, (source.address - kFirstAddress) % 2);
    }
  }

  // A reader's instance is removed. The fleet must again have two readers, or it receives no more
  // updates after the next loss.
  void Update_ReaderIsDraining_IsReplaced() {
    std::vector<service_instance> listed = MakeInstances(20, 4);
    for (service_instance& instance : listed) {
      instance.draining = TreeOf(instance, listed).is_reader();
      if (instance.draining) {
        break;
      }
    }
    const auto readers = std::ranges::count_if(listed, [&](const service_instance& own) {
      return !own.draining && TreeOf(own, listed).is_reader();
    });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, static_cast<std::ptrdiff_t>(readers));
  }

  void Update_NoOtherNodeKnown_IsReader() {
    dissemination_tree tree;
    CPPUNIT_ASSERT(tree.is_reader() && tree.empty());
    tree.Update({}, {.address = 1, .port = 1}, "domain-0");
    CPPUNIT_ASSERT(tree.is_reader() && tree.empty());
    const std::vector<service_instance> own = MakeInstances(1, 1);
    tree.Update(own, own.front().backend, own.front().failure_domain);
    CPPUNIT_ASSERT(tree.is_reader() && tree.empty());
  }

 private:
  static constexpr std::uint32_t kDomains = 12;

  static std::vector<service_instance> MakeInstances(std::uint32_t count, std::uint32_t domains) {
    std::vector<service_instance> listed;
    for (std::uint32_t number = 0; number < count; ++number) {
      listed.push_back(Instance(number, domains));
    }
    return listed;
  }

  static dissemination_tree TreeOf(const service_instance& own,
                                   const std::vector<service_instance>& listed) {
    dissemination_tree tree;
    tree.Update(listed, own.backend, own.failure_domain);
    return tree;
  }

  // 600 nodes in one domain, and 50 in each of the others.
  const std::vector<service_instance> fleet_ = [] {
    std::vector<service_instance> listed = MakeInstances(600, kDomains);
    for (std::uint32_t number = 600; number < 1150; ++number) {
      listed.push_back(Instance(number, 1));
    }
    return listed;
  }();
};

CPPUNIT_TEST_SUITE_REGISTRATION(dissemination_tree_test);

}  // namespace cuminferry::testing
