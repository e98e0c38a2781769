#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry {
namespace {

/** Faults injected into a node. The property has to detect each of them. */
enum class fault : std::uint8_t { kNone, kLendsTwice, kRefundsLostLoans, kRetriesForFree };

struct tree_shape {
  std::uint32_t depth = 3;
  std::uint32_t fan_out = 2;
  double loss = 0.3;
  bool concurrent_calls = false;
};

/** Runs the call tree of one request whose replies are lost at random, and counts the attempts. */
class tree_run {
 public:
  tree_run(const tree_shape& shape, fault injected, std::uint64_t seed)
      : shape_(shape), fault_(injected), random_(seed) {}

  void Run(std::uint8_t granted) {
    retry_allowance allowance(granted);
    RunBackend(allowance, 0);
  }

  std::uint32_t requested_calls = 0;
  std::uint32_t attempts = 0;

 private:
  /** Runs one backend server, which makes its calls either one after another or concurrently. */
  void RunBackend(retry_allowance& allowance, std::uint32_t depth) {
    if (depth == shape_.depth) {
      return;
    }
    std::uint32_t outstanding = shape_.concurrent_calls ? shape_.fan_out : 1;
    for (std::uint32_t child = 0; child < shape_.fan_out; ++child) {
      ++requested_calls;
      Call(allowance, depth, outstanding - 1);
      outstanding = std::max<std::uint32_t>(1, outstanding - 1);
    }
  }

  void Call(retry_allowance& allowance, std::uint32_t depth, std::uint32_t outstanding_others) {
    bool answered = false;
    while (!answered) {
      ++attempts;
      const std::uint8_t lent = allowance.Lend(outstanding_others);
      if (fault_ == fault::kLendsTwice) {
        allowance.TakeBack(lent, lent);
      }
      retry_allowance callee_allowance(lent);
      RunBackend(callee_allowance, depth + 1);
      answered = random_.Fraction() >= shape_.loss;
      if (answered || fault_ == fault::kRefundsLostLoans) {
        allowance.TakeBack(lent, answered ? callee_allowance.left() : lent);
      }
      const bool is_free_retry = fault_ == fault::kRetriesForFree && attempts % 2 == 0;
      if (!answered && !is_free_retry && !allowance.TakeOne()) {
        return;
      }
    }
  }

  tree_shape shape_;
  fault fault_;
  random_source random_;
};

bool StaysBounded(const tree_shape& shape, fault injected, std::uint8_t granted,
                  std::uint64_t seed) {
  tree_run run(shape, injected, seed);
  run.Run(granted);
  return run.attempts <= run.requested_calls + granted;
}

}  // namespace

class retry_allowance_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_allowance_test);
  CPPUNIT_TEST(Tree_RepliesLost_StaysWithinTheAllowance);
  CPPUNIT_TEST(Tree_InjectedFault_IsDetected);
  CPPUNIT_TEST(Allowance_ForgedReturn_AddsNothing);
  CPPUNIT_TEST(Rule_ServiceOverloaded_NeverRetries);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A deep service loses replies while each of the services above it retries. With three attempts
  // at each of four hops, one request becomes 81 calls to the deepest service.
  void Tree_RepliesLost_StaysWithinTheAllowance() {
    testing::CheckProperty("attempts <= requested calls + allowance", [](std::uint64_t seed) {
      tree_shape shape;
      shape.depth = *rc::gen::inRange<std::uint32_t>(1, 5);
      shape.fan_out = *rc::gen::inRange<std::uint32_t>(1, 4);
      shape.loss = *rc::gen::inRange(0, 101) / 100.0;
      shape.concurrent_calls = *rc::gen::arbitrary<bool>();
      RC_ASSERT(StaysBounded(shape, fault::kNone, *rc::gen::inRange<std::uint8_t>(0, 9), seed));
    });
  }

  void Tree_InjectedFault_IsDetected() {
    for (const fault injected :
         {fault::kLendsTwice, fault::kRefundsLostLoans, fault::kRetriesForFree}) {
      bool found = false;
      for (std::uint64_t seed = 1; seed <= 200 && !found; ++seed) {
        found = !StaysBounded(tree_shape{}, injected, 2, seed);
      }
      CPPUNIT_ASSERT_MESSAGE("an injected fault was not detected", found);
    }
  }

  void Allowance_ForgedReturn_AddsNothing() {
    retry_allowance allowance(3);
    const std::uint8_t lent = allowance.Lend(1);
    allowance.TakeBack(lent, 255);
    allowance.TakeBack(lent, lent);
    allowance.TakeBack(255, 255);
    CPPUNIT_ASSERT_EQUAL(3, static_cast<int>(allowance.left()));
  }

  void Rule_ServiceOverloaded_NeverRetries() {
    CPPUNIT_ASSERT(RetryRuleOf(result_code::kRefusedOverload, true) == retry_rule::kNever);
    CPPUNIT_ASSERT(RetryRuleOf(result_code::kRefusedInstanceOnly, false) ==
                   retry_rule::kOtherTargetOnce);
    CPPUNIT_ASSERT(RetryRuleOf(result_code::kConnectionLost, false) == retry_rule::kNever);
    CPPUNIT_ASSERT(RetryRuleOf(result_code::kConnectionLost, true) == retry_rule::kOtherTarget);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_allowance_test);

}  // namespace cuminferry
