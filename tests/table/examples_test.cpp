#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_table/cuminferry_table.h"
#include "table/read_file.h"

namespace cuminferry {

class examples_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(examples_test);
  CPPUNIT_TEST(Tables_AsShipped_AreAccepted);
  CPPUNIT_TEST(Donauried_PermitFiling_HasHighestWeightAndRunsOnce);
  CPPUNIT_TEST(Quebec_Deposit_HasHighestWeightAndRunsOnce);
  CPPUNIT_TEST(Settings_AsShipped_AreAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Tables_AsShipped_AreAccepted() {
    for (const char* name : {"donauried", "quebec"}) {
      const policy_table table = Read(name);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, table.shards().size());
      for (const table_shard& shard : table.shards()) {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, shard.service.TotalTargets());
      }
    }
  }

  void Donauried_PermitFiling_HasHighestWeightAndRunsOnce() {
    CheckHasHighestWeight(Read("donauried"), "permit", "/permits");
  }

  void Quebec_Deposit_HasHighestWeightAndRunsOnce() {
    CheckHasHighestWeight(Read("quebec"), "reservations", "/deposits");
  }

  void Settings_AsShipped_AreAccepted() {
    const auto settings = node_settings::Parse(testing::ReadFile("examples/node.settings.jsonc"));
    CPPUNIT_ASSERT_MESSAGE(std::string(settings.status().message()), settings.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("halle-nord/permit-1"), settings->instance);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8500"), settings->platform.at(0).ToString());
  }

 private:
  static policy_table Read(const std::string& name) {
    auto table = policy_table::Parse(testing::ReadFile("examples/" + name + ".table.jsonc"));
    CPPUNIT_ASSERT_MESSAGE(std::string(table.status().message()), table.ok());
    return *std::move(table);
  }

  static void CheckHasHighestWeight(const policy_table& table, const char* service,
                                    const char* path) {
    const request_row* expected = table.FindShard(service)->FindRow("POST", path);
    CPPUNIT_ASSERT(expected != nullptr && !expected->idempotent);
    for (const table_shard& shard : table.shards()) {
      for (const request_row& row : shard.rows) {
        CPPUNIT_ASSERT(row.weight < expected->weight || row.name == expected->name);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(examples_test);

}  // namespace cuminferry
