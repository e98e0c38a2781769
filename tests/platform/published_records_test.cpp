#include "platform/published_records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = R"({"version":"0000000c","base_version":"00000005","resources":[
  {"type":"routes","metadata":{"name":"r-1"},"spec":{"host":"jepu9.example","prefix":"/puka111/",
   "kind":"unsafe","timeout_ms":800,"slo_ms":1500,"priority":0,"service":"wuno96b","attempts":2}},
  {"type":"routes","metadata":{"name":"r-2"},"spec":{"host":"hulo84.example","prefix":"/leny950/",
   "kind":"safe","timeout_ms":5000,"slo_ms":1200,"priority":2,"attempts":3,"later":true,
   "weighted_backends":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]}},
  {"type":"services","metadata":{"name":"huvo11a"},"spec":{"health_path":"/healthz","max_conns":1198}},
  {"type":"services","metadata":{"name":"wuno96b"},"spec":{"health_path":"/healthz","max_conns":250}},
  {"type":"limits","metadata":{},"spec":{"header_bytes":8192,"body_bytes":1000,"header_ms":3000,
   "idle_ms":15000}}]})";

constexpr char kCustomer[] = R"({"type":"tenants","metadata":{"name":"pulo780"},"spec":{
  "api_keys":["2thhkmgjqnirth5mgjy5","rcpihhacruddedev3nax"],"priority":1,"rate_per_s":359.5,
  "burst":359}})";

// The table with a row that is open to requests without a key, and with customers.
std::string TableWithCustomers(const std::string& customers) {
  std::string table = kTable;
  const std::string end = "]}";
  const std::string open_row = R"(,{"type":"routes","metadata":{"name":"r-3"},"spec":{
    "host":"jepu9.example","prefix":"/open/","timeout_ms":100,"service":"wuno96b",
    "public":true}},)";
  return table.insert(table.size() - end.size(), open_row + customers);
}

constexpr char kEntry[] =
    R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"halle-nord","version":"v1",)"
    R"("capacity":183,"state":"ready","warmup_left_ms":0,"sequence":4})";

// Reads an instance's entry as it arrives from the store.
std::optional<service_instance> ReadEntry(const std::string& value) {
  const std::string key = "servers/i-7f3a91c2";
  return platform::ReadInstance(
      {.key = key, .value = platform::RemoveRenewalCounter(key, value), .revision = 4});
}

// A list or object in 500,000 levels.
std::string Nested(std::string_view open, std::string_view close) {
  std::string text;
  for (const std::string_view part : {open, std::string_view("0"), close}) {
    for (int i = 0; i < (part == "0" ? 1 : 500'000); ++i) {
      text += part;
    }
  }
  return text;
}

item_replica Replica(const std::string& key, const std::string& value) {
  item_replica items;
  items.Apply(
      {.complete_to = 5, .whole = true, .items = {{.key = key, .value = value, .revision = 4}}});
  return items;
}

}  // namespace

class published_records_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(published_records_test);
  CPPUNIT_TEST(ReadTable_NothingPublished_IsNull);
  CPPUNIT_TEST(ReadTable_Valid_HasRowsServicesAndLimits);
  CPPUNIT_TEST(ReadTable_Truncated_IsRefusedWithBytePosition);
  CPPUNIT_TEST(ReadTable_NoVersion_IsRefused);
  CPPUNIT_TEST(ReadTable_UnknownService_IsRefused);
  CPPUNIT_TEST(ReadTable_Customers_AreFoundByKey);
  CPPUNIT_TEST(ReadTable_InvalidCustomers_AreRefusedWithoutShowingAKey);
  CPPUNIT_TEST(ReadTable_NumbersWithFractionsOrNull_AreAccepted);
  CPPUNIT_TEST(ReplaceKeysByDigests_Table_HoldsNoKey);
  CPPUNIT_TEST(ReplaceKeysByDigests_TruncatedTable_HoldsNoKey);
  CPPUNIT_TEST(ReadInstance_Entry_IsDecoded);
  CPPUNIT_TEST(ReadInstance_NoStartTime_IsDecoded);
  CPPUNIT_TEST(ReadInstance_EntryOfAnotherWriter_IsNone);
  CPPUNIT_TEST(ReadInstance_OtherRecord_IsNone);
  CPPUNIT_TEST(ReadInstance_IdUnfitForAHeader_IsNone);
  CPPUNIT_TEST(ReadInstance_AnyWarmUpTime_IsBounded);
  CPPUNIT_TEST(RemoveRenewalCounter_OnlyTheCounterDiffers_IsTheSame);
  CPPUNIT_TEST(RemoveRenewalCounter_OtherRecords_AreUnchanged);
  CPPUNIT_TEST(RemoveRenewalCounter_DeeplyNestedEntry_IsUnchanged);
  CPPUNIT_TEST(ReplaceKeysByDigests_DeeplyNestedTable_IsRefused);
  CPPUNIT_TEST(ReadRecords_UpToTheirBounds_AreDecoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadTable_NothingPublished_IsNull() {
    const auto table = platform::ReadTable(item_replica());
    CPPUNIT_ASSERT(table.ok());
    CPPUNIT_ASSERT(*table == nullptr);
  }

  void ReadTable_Valid_HasRowsServicesAndLimits() {
    const auto table = platform::ReadTable(Replica("op/config", kTable));
    CPPUNIT_ASSERT(table.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, (*table)->version());
    const http_route* permit = (*table)->Find("jepu9.example", "/puka111/2f");
    CPPUNIT_ASSERT(permit->repeat == repeat_rule::kOnce);
    CPPUNIT_ASSERT(permit->timeout == milliseconds(800));
    CPPUNIT_ASSERT(permit->objective == milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(2U, permit->attempts);
    const http_route* map = (*table)->Find("hulo84.example", "/leny950/2f");
    CPPUNIT_ASSERT(map->repeat == repeat_rule::kIdempotent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, map->services.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(90.0, map->services[0].weight, 1e-9);
    CPPUNIT_ASSERT_EQUAL(2U, (*table)->max_priority());
    CPPUNIT_ASSERT_EQUAL(std::size_t{8192}, (*table)->limits().max_head_bytes);
  }

  // Guards against the use of a truncated table, which would lack rows that clients use.
  void ReadTable_Truncated_IsRefusedWithBytePosition() {
    const std::string truncated = std::string(kTable).substr(0, 400);
    const auto table = platform::ReadTable(Replica("op/config", truncated));
    CPPUNIT_ASSERT(!table.ok());
    CPPUNIT_ASSERT(table.status().message().find("602") != absl::string_view::npos);
  }

  void ReadTable_NoVersion_IsRefused() {
    CPPUNIT_ASSERT(!platform::ReadTable(Replica("op/config", R"({"resources":[]})")).ok());
    CPPUNIT_ASSERT(
        !platform::ReadTable(Replica("op/config", R"({"version":"xyz","resources":[]})")).ok());
  }

  void ReadTable_UnknownService_IsRefused() {
    std::string table = kTable;
    const std::string known = R"("name":"wuno96b")";
    table.replace(table.find(known), known.size(), R"("name":"other")");
    CPPUNIT_ASSERT(!platform::ReadTable(Replica("op/config", table)).ok());
  }

  void ReadTable_Customers_AreFoundByKey() {
    const auto table = platform::ReadTable(Replica(
        "op/config", platform::ReplaceKeysByDigests("op/config", TableWithCustomers(kCustomer))));
    CPPUNIT_ASSERT_MESSAGE(std::string(table.status().message()), table.ok());
    const customer_registry& registry = *(*table)->customers();
    const customer* const found_customer = registry.FindByKey("2thhkmgjqnirth5mgjy5");
    CPPUNIT_ASSERT(found_customer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("pulo780"), found_customer->name);
    CPPUNIT_ASSERT_EQUAL(1U, *found_customer->priority);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(359.5, found_customer->rate, 1e-9);
    CPPUNIT_ASSERT(registry.FindByKey("rcpihhacruddedev3nax") == found_customer);
    CPPUNIT_ASSERT(registry.FindByKey("rcpihhacruddedev3naX") == nullptr);
    CPPUNIT_ASSERT((*table)->Find("jepu9.example", "/open/x")->accepts_requests_without_key);
  }

  // Guards against keys in the error messages, which are logged, when the operator publishes an
  // invalid list of customers.
  void ReadTable_InvalidCustomers_AreRefusedWithoutShowingAKey() {
    for (const std::string& customers :
         {std::string(kCustomer) + "," + R"({"type":"tenants","metadata":{"name":"other"},
            "spec":{"api_keys":["2thhkmgjqnirth5mgjy5"]}})",
          std::string(
              R"({"type":"tenants","metadata":{},"spec":{"api_keys":["2thhkmgjqnirth5mgjy5"]}})"),
          std::string(R"({"type":"tenants","metadata":{"name":"a"},
            "spec":{"api_keys":["2thhkmgjqnirth5mgjy5"],"rate_per_s":-3}})"),
          std::string(R"({"type":"tenants","metadata":{"name":"a"},
            "spec":{"api_keys":[7,"2thhkmgjqnirth5mgjy5"]}})")}) {
      const std::string stored =
          platform::ReplaceKeysByDigests("op/config", TableWithCustomers(customers));
      const auto table = platform::ReadTable(Replica("op/config", stored));
      CPPUNIT_ASSERT_MESSAGE(customers, !table.ok());
      CPPUNIT_ASSERT(stored.find("2thhkmgjqnirth5mgjy5") == std::string::npos);
      CPPUNIT_ASSERT(table.status().message().find("2thhkmgjqnirth5mgjy5") ==
                     absl::string_view::npos);
    }
  }

  void ReadTable_NumbersWithFractionsOrNull_AreAccepted() {
    std::string table = kTable;
    const std::string complete = R"("timeout_ms":800,"slo_ms":1500)";
    table.replace(table.find(complete), complete.size(), R"("timeout_ms":800.5,"slo_ms":null)");
    const auto read = platform::ReadTable(Replica("op/config", table));
    CPPUNIT_ASSERT_MESSAGE(std::string(read.status().message()), read.ok());
    const http_route* permit = (*read)->Find("jepu9.example", "/puka111/2f");
    CPPUNIT_ASSERT(permit->timeout == std::chrono::microseconds(800'500));
    CPPUNIT_ASSERT(permit->objective == permit->timeout);
  }

  void ReplaceKeysByDigests_Table_HoldsNoKey() {
    const std::string stored =
        platform::ReplaceKeysByDigests("op/config", TableWithCustomers(kCustomer));
    CPPUNIT_ASSERT(stored.find("2thhkmgjqnirth5mgjy5") == std::string::npos);
    CPPUNIT_ASSERT(stored.find("rcpihhacruddedev3nax") == std::string::npos);
    CPPUNIT_ASSERT(stored.find("pulo780") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string(kTable), platform::ReplaceKeysByDigests("op/config", kTable));
    CPPUNIT_ASSERT_EQUAL(
        TableWithCustomers(kCustomer),
        platform::ReplaceKeysByDigests("servers/i-1", TableWithCustomers(kCustomer)));
  }

  // Guards against keys in the copy and the error message of a table that is truncated within a
  // key.
  void ReplaceKeysByDigests_TruncatedTable_HoldsNoKey() {
    const std::string complete = TableWithCustomers(kCustomer);
    const std::size_t in_keys = complete.find("5mgjy5") + 3;
    const std::string stored =
        platform::ReplaceKeysByDigests("op/config", complete.substr(0, in_keys));
    CPPUNIT_ASSERT(stored.find("2thhkmgjq") == std::string::npos);
    const auto table = platform::ReadTable(Replica("op/config", stored));
    CPPUNIT_ASSERT(!table.ok());
    CPPUNIT_ASSERT(table.status().message().find("byte") != absl::string_view::npos);
  }

  void ReadInstance_Entry_IsDecoded() {
    const auto instance = ReadEntry(
        R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"halle-nord","version":"v1",
            "capacity":183,"state":"draining","warmup_left_ms":2500,"sequence":4,
            "born":1785000000123})");
    CPPUNIT_ASSERT(instance.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), instance->id);
    CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), instance->backend.ToString());
    CPPUNIT_ASSERT_EQUAL(183U, instance->slots);
    CPPUNIT_ASSERT(instance->draining);
    CPPUNIT_ASSERT(instance->warm_up_time == milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1'785'000'000'123}, instance->started_millis);
  }

  void ReadInstance_NoStartTime_IsDecoded() {
    const auto instance = ReadEntry(kEntry);
    CPPUNIT_ASSERT(instance.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, instance->started_millis);
  }

  // Guards against requests to an address that another writer's entry names.
  void ReadInstance_EntryOfAnotherWriter_IsNone() {
    const std::pair<std::string, std::string> replacements[] = {
        {R"("service":"huvo11a",)", ""},
        {R"("service":"huvo11a")", R"("service":7)"},
        {R"("addr":"10.128.0.9:8080",)", ""},
        {R"("addr":"10.128.0.9:8080")", R"("addr":"10.128.0.9")"},
        {R"("addr":"10.128.0.9:8080")", R"("addr":["10.128.0.9:8080"])"},
        {R"("zone":"halle-nord",)", ""},
        {R"("zone":"halle-nord")", R"("zone":null)"},
        {R"("version":"v1",)", ""},
        {R"("capacity":183,)", ""},
        {R"("capacity":183)", R"("capacity":"183")"},
        {R"("capacity":183)", R"("capacity":1.5)"},
        {R"("state":"ready",)", ""},
        {R"("state":"ready")", R"("state":"zombie")"},
        {R"("state":"ready")", R"("state":true)"},
        {R"("warmup_left_ms":0,)", ""},
        {R"("warmup_left_ms":0)", R"("warmup_left_ms":"0")"},
        {R"(,"sequence":4)", ""},
        {R"("sequence":4)", R"("sequence":"4")"},
        {R"("sequence":4)", R"("sequence":4,"born":"yesterday")"},
        {R"("sequence":4)", R"("sequence":4,"born":1785.5)"},
        {"{", ""},
        {"huvo", "hu\xffvo"},
    };
    for (const auto& [from, to] : replacements) {
      std::string entry = kEntry;
      entry.replace(entry.find(from), from.size(), to);
      CPPUNIT_ASSERT_MESSAGE(entry, !ReadEntry(entry));
    }
    CPPUNIT_ASSERT(!ReadEntry(""));
    CPPUNIT_ASSERT(!ReadEntry("[]"));
    CPPUNIT_ASSERT(!ReadEntry("null"));
    CPPUNIT_ASSERT(!ReadEntry(std::string("\x00\xfe\x80", 3)));
  }

  void ReadInstance_OtherRecord_IsNone() {
    CPPUNIT_ASSERT(!platform::ReadInstance({.key = "op/config", .value = kEntry, .revision = 4}));
  }

  // Guards against a request smuggled in by the key of an entry: the id is sent in a header field.
  void ReadInstance_IdUnfitForAHeader_IsNone() {
    for (const std::string& id :
         {std::string(), std::string("a\r\nX: 1"), std::string("a\n"), std::string("a b"),
          std::string("a\0b", 3), std::string("\xc3\xa9")}) {
      published_item item{.key = "servers/" + id, .value = kEntry, .revision = 4};
      CPPUNIT_ASSERT(!platform::ReadInstance(item));
      CPPUNIT_ASSERT(platform::ReduceItem(item).use == item_reduction::use::kUnreadable);
    }
  }

  // Guards against a time that no number holds once it is counted in microseconds.
  void ReadInstance_AnyWarmUpTime_IsBounded() {
    for (const char* millis : {"1e300", "-1e300", "9223372036854775807"}) {
      std::string entry = kEntry;
      const std::string field = R"("warmup_left_ms":0)";
      entry.replace(entry.find(field), field.size(), R"("warmup_left_ms":)" + std::string(millis));
      const auto instance = ReadEntry(entry);
      CPPUNIT_ASSERT(instance.has_value());
      CPPUNIT_ASSERT(instance->warm_up_time >= duration::zero());
      CPPUNIT_ASSERT(instance->warm_up_time <= std::chrono::hours(30 * 24));
    }
  }

  void RemoveRenewalCounter_OnlyTheCounterDiffers_IsTheSame() {
    const auto entry = [](const char* state, int counter) {
      return platform::RemoveRenewalCounter("servers/i-1", std::string(R"({"state":")") + state +
                                                               R"(","sequence":)" +
                                                               std::to_string(counter) + "}");
    };
    CPPUNIT_ASSERT_EQUAL(entry("ready", 1), entry("ready", 2));
    CPPUNIT_ASSERT(entry("ready", 1) != entry("draining", 2));
  }

  void RemoveRenewalCounter_OtherRecords_AreUnchanged() {
    const std::string damaged = R"({"sequence":1)";
    CPPUNIT_ASSERT_EQUAL(damaged, platform::RemoveRenewalCounter("servers/i-1", damaged));
    const std::string other = R"({"sequence": 1})";
    CPPUNIT_ASSERT_EQUAL(other, platform::RemoveRenewalCounter("op/config", other));
  }

  // Guards against the end of every node that reads an entry of another writer: to write out a
  // value of 500,000 levels exhausts the stack.
  void RemoveRenewalCounter_DeeplyNestedEntry_IsUnchanged() {
    for (const auto& [open, close] : {std::pair("[", "]"), std::pair(R"({"a":)", "}")}) {
      std::string entry = kEntry;
      const std::string zone = R"("halle-nord")";
      entry.replace(entry.find(zone), zone.size(), Nested(open, close));
      CPPUNIT_ASSERT(entry == platform::RemoveRenewalCounter("servers/i-1", entry));
      CPPUNIT_ASSERT(!ReadEntry(entry));
    }
  }

  // Guards against the end of every node that reads a table with a field of 500,000 levels: to
  // replace the customers' keys the table is written out again.
  void ReplaceKeysByDigests_DeeplyNestedTable_IsRefused() {
    const std::string customers = std::string(kCustomer) +
                                  R"(,{"type":"limits","metadata":{},"spec":{"later":)" +
                                  Nested("[", "]") + "}}";
    const std::string stored =
        platform::ReplaceKeysByDigests("op/config", TableWithCustomers(customers));
    CPPUNIT_ASSERT(stored.size() < 1'000);
    const auto table = platform::ReadTable(Replica("op/config", stored));
    CPPUNIT_ASSERT(!table.ok());
    CPPUNIT_ASSERT(table.status().message().find("levels") != absl::string_view::npos);
  }

  void ReadRecords_UpToTheirBounds_AreDecoded() {
    // A table of the largest size that the platform takes, and an entry with fields to come.
    std::string rows;
    for (int i = 0; rows.size() < 1024 * 1024; ++i) {
      rows += R"(,{"type":"routes","metadata":{"name":"x-)" + std::to_string(i) +
              R"("},"spec":{"host":"a","prefix":"/)" + std::to_string(i) +
              R"(/","kind":"safe","timeout_ms":800,"service":"huvo11a"}})";
    }
    std::string table = kTable;
    table.insert(table.size() - 2, rows);
    const auto read = platform::ReadTable(Replica("op/config", table));
    CPPUNIT_ASSERT_MESSAGE(std::string(read.status().message()), read.ok());
    const std::string later(8 * 1024, 'x');
    std::string entry = kEntry;
    entry.insert(1, R"("later":{"a":[[["b"]]],"text":")" + later + R"("},)");
    CPPUNIT_ASSERT(ReadEntry(entry).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(published_records_test);

}  // namespace cuminferry::testing
