#include "cuminferry_policy/claims/ticket_text.h"

#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr char kExample[] =
    "7f000001-1f91.0123456789abcdef.0000002a.00112233445566778899aabbccddeeff";

}  // namespace

class ticket_text_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ticket_text_test);
  CPPUNIT_TEST(Example_ReadAndWritten_IsUnchanged);
  CPPUNIT_TEST(Ticket_Any_RoundTripsThroughText);
  CPPUNIT_TEST(Text_ChangedAnywhere_IsOtherTicketOrInvalid);
  CPPUNIT_TEST(MintTicket_TwoSendersWithSameSeed_DrawDifferentNonces);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Example_ReadAndWritten_IsUnchanged() {
    claim_ticket ticket;
    CPPUNIT_ASSERT(ticket_text::Read(kExample, ticket));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8081"), ticket.home.ToString());
    CPPUNIT_ASSERT_EQUAL(42U, ticket.id.window);
    CPPUNIT_ASSERT_EQUAL(std::string(kExample), ticket_text::Write(ticket));
  }

  void Ticket_Any_RoundTripsThroughText() {
    CheckProperty(
        "a ticket round-trips through its text",
        [](std::uint32_t address, std::uint16_t port, std::uint64_t high, std::uint64_t low) {
          const claim_ticket ticket{{address, port}, {low | 1, address | 1, high, low}};
          claim_ticket read;
          RC_ASSERT(ticket_text::Read(ticket_text::Write(ticket), read));
          RC_ASSERT(read == ticket);
        });
  }

  // A header is truncated, or a caller invents a ticket. A lenient parser could accept it as
  // another caller's ticket, and a revocation would then hit that caller's call.
  void Text_ChangedAnywhere_IsOtherTicketOrInvalid() {
    CheckProperty("one ticket has one text", [] {
      std::string text = kExample;
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
      text.resize(*rc::gen::inRange<std::size_t>(at, text.size() + 2), 'a');
      claim_ticket read;
      if (ticket_text::Read(text, read)) {
        RC_ASSERT(ticket_text::Write(read) == text);
      }
    });
  }

  void MintTicket_TwoSendersWithSameSeed_DrawDifferentNonces() {
    random_source first(1);
    random_source second(1);
    CPPUNIT_ASSERT(MintTicket({{1, 1}, 9, 4}, 3, first).id !=
                   MintTicket({{1, 1}, 9, 4}, 5, second).id);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ticket_text_test);

}  // namespace cuminferry::testing
