#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <limits>
#include <string>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

std::shared_ptr<const customer_registry> MakeCustomers() {
  return *customer_registry::Make(
      {{.name = "farm", .keys = {key_digest::Of("key-1"), key_digest::Of("key-2")}},
       {.name = "coop", .keys = {key_digest::Of("key-3")}, .priority = 1U}});
}

key_status StatusOf(std::string_view field) {
  return CheckKey(std::array{field}, MakeCustomers().get()).status;
}

}  // namespace

class key_check_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_check_test);
  CPPUNIT_TEST(Key_OfACustomer_IdentifiesTheCustomer);
  CPPUNIT_TEST(Key_InvalidForms_AreUnknown);
  CPPUNIT_TEST(Key_TwoFields_AreUnknown);
  CPPUNIT_TEST(Key_NoCustomersInTheTable_IsIgnored);
  CPPUNIT_TEST(Customers_Invalid_AreRefusedWithoutShowingTheKey);
  CPPUNIT_TEST(Digest_TextForm_IsReadBackAndHidesTheKey);
  CPPUNIT_TEST(Digest_AnyText_IsReadOnlyInCanonicalForm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Key_OfACustomer_IdentifiesTheCustomer() {
    const auto registry = MakeCustomers();
    for (const std::string_view field : {"Bearer key-2", "bearer key-2", "  BEARER   key-2\t"}) {
      const key_check found = CheckKey(std::array{field}, registry.get());
      CPPUNIT_ASSERT(found.status == key_status::kKnown);
      CPPUNIT_ASSERT_EQUAL(std::string("farm"), found.holder->name);
    }
  }

  // Forms of the field that an attacker may try because other servers accept them.
  void Key_InvalidForms_AreUnknown() {
    const std::string long_key = "Bearer " + std::string(10'240, 'k');
    const std::string binary_key = std::string("Bearer \x01\xff\x00key-1", 14);
    for (const std::string_view field :
         {"", "Bearer", "Bearer ", "key-1", "Basic key-1", "Bearer key-1 key-1", "Bearer farm",
          "Bearer key-1,key-2", "Bearer KEY-1", "Bearerkey-1"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(field), StatusOf(field) == key_status::kUnknown);
    }
    CPPUNIT_ASSERT(StatusOf(long_key) == key_status::kUnknown);
    CPPUNIT_ASSERT(StatusOf(binary_key) == key_status::kUnknown);
    CPPUNIT_ASSERT(StatusOf("Bearer " + key_digest::Of("key-1").ToText()) == key_status::kUnknown);
  }

  void Key_TwoFields_AreUnknown() {
    const std::array<std::string_view, 2> fields{"Bearer key-1", "Bearer key-1"};
    CPPUNIT_ASSERT(CheckKey(fields, MakeCustomers().get()).status == key_status::kUnknown);
  }

  void Key_NoCustomersInTheTable_IsIgnored() {
    const std::array<std::string_view, 1> fields{"Bearer key-1"};
    CPPUNIT_ASSERT(CheckKey(fields, nullptr).status == key_status::kNone);
  }

  void Customers_Invalid_AreRefusedWithoutShowingTheKey() {
    const customer good{.name = "farm", .keys = {key_digest::Of("key-1")}};
    const auto check_refused = [&](const customer& other, result_code code) {
      const auto registry = customer_registry::Make({good, other});
      CPPUNIT_ASSERT(!registry.ok());
      CPPUNIT_ASSERT(CodeOf(registry.status()) == code);
      const std::string message(registry.status().message());
      CPPUNIT_ASSERT(message.find("key-1") == std::string::npos);
      CPPUNIT_ASSERT(message.find(key_digest::Of("key-1").ToText()) == std::string::npos);
    };
    check_refused({.name = "coop", .keys = {key_digest::Of("key-1")}},
                  result_code::kTableDuplicateKey);
    check_refused({.name = "farm"}, result_code::kTableDuplicateRow);
    check_refused({.name = ""}, result_code::kTableMissingKey);
    check_refused({.name = "a\r\nb"}, result_code::kTableOutOfRange);
    check_refused({.name = "coop", .rate = -1.0}, result_code::kTableOutOfRange);
    check_refused({.name = "coop", .burst = std::numeric_limits<double>::infinity()},
                  result_code::kTableOutOfRange);
  }

  void Digest_TextForm_IsReadBackAndHidesTheKey() {
    const key_digest digest = key_digest::Of("key-1");
    CPPUNIT_ASSERT(key_digest::Parse(digest.ToText()) == digest);
    CPPUNIT_ASSERT(digest.ToText().find("key") == std::string::npos);
    CPPUNIT_ASSERT(digest != key_digest::Of("key-2"));
  }

  void Digest_AnyText_IsReadOnlyInCanonicalForm() {
    CheckProperty("a text that is no digest is none", [](const std::string& text) {
      const auto digest = key_digest::Parse(text);
      RC_ASSERT(!digest || ToLowerAscii(text) == digest->ToText());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_check_test);

}  // namespace cuminferry::testing
