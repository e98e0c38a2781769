#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_table/cuminferry_table.h"
#include "support/property.h"

namespace cuminferry {
namespace {

using domain_list = std::vector<service_entry::domain_targets>;

domain_list AnyDomains() {
  const auto targets = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(1, 30)));
  domain_list domains;
  for (const std::uint32_t count : targets) {
    domains.push_back({"domain-" + std::to_string(domains.size()), count});
  }
  return domains;
}

}  // namespace

class target_share_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_share_test);
  CPPUNIT_TEST(Shares_AnyLimit_SumUpToIt);
  CPPUNIT_TEST(Shares_LimitRaised_NoneFalls);
  CPPUNIT_TEST(Shares_LimitOfOnePerDomain_EachDomainHasSome);
  CPPUNIT_TEST(Share_TargetNotInTheTable_IsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Shares_AnyLimit_SumUpToIt() {
    testing::CheckProperty("the shares sum up to the limit, evenly", [](const std::string& row) {
      const domain_list domains = AnyDomains();
      const auto limit = *rc::gen::inRange<std::uint32_t>(1, 5000);
      std::uint64_t sum = 0;
      std::uint32_t smallest = UINT32_MAX;
      std::uint32_t largest = 0;
      for (const auto& domain : domains) {
        sum += DomainShare(limit, row, domains, domain.failure_domain);
        for (std::uint32_t slot = 0; slot < domain.targets; ++slot) {
          const auto share = TargetShare(limit, row, domains, domain.failure_domain, slot);
          smallest = std::min(smallest, share);
          largest = std::max(largest, share);
        }
      }
      RC_ASSERT(sum == limit);
      RC_ASSERT(largest - smallest <= 1);
    });
  }

  // Guards against exceeding both limits while only a part of the nodes has an edit that raises a
  // limit. If the edit reduced a share, a node with the old table would still use that share while
  // other nodes already use their increased ones.
  void Shares_LimitRaised_NoneFalls() {
    testing::CheckProperty("raising a limit reduces no share", [](const std::string& row) {
      const domain_list domains = AnyDomains();
      const auto limit = *rc::gen::inRange<std::uint32_t>(1, 5000);
      const auto raised = limit + *rc::gen::inRange<std::uint32_t>(0, 50);
      for (const auto& domain : domains) {
        for (std::uint32_t slot = 0; slot < domain.targets; ++slot) {
          RC_ASSERT(TargetShare(limit, row, domains, domain.failure_domain, slot) <=
                    TargetShare(raised, row, domains, domain.failure_domain, slot));
        }
      }
    });
  }

  // Clients in a failure domain that is cut off get no service if all shares of a limit belong to
  // other domains.
  void Shares_LimitOfOnePerDomain_EachDomainHasSome() {
    testing::CheckProperty("each domain has a share", [](const std::string& row) {
      const domain_list domains = AnyDomains();
      const auto limit = static_cast<std::uint32_t>(domains.size());
      for (const auto& domain : domains) {
        RC_ASSERT(DomainShare(limit, row, domains, domain.failure_domain) == 1U);
      }
    });
  }

  void Share_TargetNotInTheTable_IsNothing() {
    const domain_list domains = {{"east", 2}};
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, TargetShare(10, "row", domains, "east", 2));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, TargetShare(10, "row", domains, "west", 0));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, DomainShare(10, "row", domains, "west"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_share_test);

}  // namespace cuminferry
