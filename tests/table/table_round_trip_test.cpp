#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "cuminferry_table/cuminferry_table.h"
#include "support/property.h"
#include "table/generators.h"

namespace cuminferry {

class table_round_trip_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_round_trip_test);
  CPPUNIT_TEST(Shard_WrittenAndRead_IsTheSame);
  CPPUNIT_TEST(Table_WrittenAndRead_IsTheSame);
  CPPUNIT_TEST(Digest_TwoShards_EqualIfAndOnlyIfTheyAre);
  CPPUNIT_TEST(Shard_TruncatedOrDamaged_NeverCrashes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Shard_WrittenAndRead_IsTheSame() {
    testing::CheckProperty("ParseShard undoes ShardToJson", [] {
      const table_shard shard = *testing::AnyShard();
      const auto read = ParseShard(ShardToJson(shard));
      RC_ASSERT(read.ok());
      RC_ASSERT(*read == shard);
      RC_ASSERT(ShardToJson(*read) == ShardToJson(shard));
    });
  }

  void Table_WrittenAndRead_IsTheSame() {
    testing::CheckProperty("Parse undoes ToJson", [] {
      const policy_table table = TableOf(*testing::AnyShard("map"), *testing::AnyShard("permit"));
      const auto parsed = policy_table::Parse(table.ToJson());
      RC_ASSERT(parsed.ok());
      RC_ASSERT(*parsed == table);
      RC_ASSERT(parsed->ToJson() == table.ToJson());
    });
  }

  void Digest_TwoShards_EqualIfAndOnlyIfTheyAre() {
    testing::CheckProperty("digests differ where shards differ", [] {
      const table_shard shard = *testing::AnyShard();
      table_shard other = shard;
      RC_ASSERT(ShardDigest(other) == ShardDigest(shard));
      const auto change = *rc::gen::inRange(0, 4);
      if (change == 0) {
        ++other.version;
      } else if (change == 1) {
        ++other.service.slots;
      } else if (change == 2 && !other.rows.empty()) {
        other.rows.back().idempotent = !other.rows.back().idempotent;
      } else if (change == 3 && !other.rows.empty()) {
        other.rows.pop_back();
      }
      RC_ASSERT((ShardDigest(other) == ShardDigest(shard)) == (other == shard));
      RC_ASSERT(change != 0 || other.HasSameContent(shard));
    });
  }

  // A peer sends a shard that is truncated or damaged. Parsing must fail with a result code and
  // must never crash the process.
  void Shard_TruncatedOrDamaged_NeverCrashes() {
    testing::CheckProperty("a damaged shard gives a status", [] {
      std::string text = ShardToJson(*testing::AnyShard());
      text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
      if (!text.empty()) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
      }
      const auto read = ParseShard(text);
      RC_ASSERT(read.ok() || CodeOf(read.status()) >= result_code::kTableNotJson);
    });
  }

 private:
  static policy_table TableOf(const table_shard& first, const table_shard& second) {
    nlohmann::json table_json = {{"version", 9}, {"rows", nlohmann::json::array()}};
    for (const table_shard* shard : {&second, &first}) {
      const auto part = nlohmann::json::parse(ShardToJson(*shard));
      table_json["services"].push_back(part["service"]);
      table_json["rows"].insert(table_json["rows"].end(), part["rows"].begin(), part["rows"].end());
    }
    auto table = policy_table::Parse(table_json.dump());
    RC_ASSERT(table.ok());
    return *std::move(table);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_round_trip_test);

}  // namespace cuminferry
