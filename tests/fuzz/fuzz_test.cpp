#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "fuzz/fuzz_entries.h"
#include "support/property.h"

namespace cuminferry::testing {

/** Runs the fuzz entries with their fixed corpus, with random changes of it and with random bytes.
    tests/fuzz/run searches longer, guided by coverage. An entry that fails aborts the process. */
class fuzz_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fuzz_test);
  CPPUNIT_TEST(Input_OfTheCorpus_ViolatesNoGuarantee);
  CPPUNIT_TEST(Input_ChangedCorpus_ViolatesNoGuarantee);
  CPPUNIT_TEST(Input_AnyBytes_ViolateNoGuarantee);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> CorpusOf(const named_fuzz_entry& each) {
    std::vector<std::filesystem::path> files;
    const auto folder = std::string(CUMINFERRY_SOURCE_DIR "/tests/fuzz/corpus/");
    for (const auto& file : std::filesystem::directory_iterator(folder + std::string(each.name))) {
      files.push_back(file.path());
    }
    std::ranges::sort(files);
    std::vector<std::string> texts;
    for (const auto& file : files) {
      std::stringstream text;
      text << std::ifstream(file, std::ios::binary).rdbuf();
      texts.push_back(text.str());
    }
    CPPUNIT_ASSERT(!texts.empty());
    return texts;
  }

 public:
  void Input_OfTheCorpus_ViolatesNoGuarantee() {
    for (const named_fuzz_entry& each : kFuzzEntries) {
      for (const std::string& input : CorpusOf(each)) {
        each.entry(input);
      }
    }
  }

  // Bytes may be damaged on the network or forged by an attacker. A node that crashes on such
  // bytes, or allocates as much memory as a forged length claims, is lost to all its callers.
  void Input_ChangedCorpus_ViolatesNoGuarantee() {
    for (const named_fuzz_entry& each : kFuzzEntries) {
      const std::vector<std::string> corpus = CorpusOf(each);
      CheckProperty("changed input of " + std::string(each.name), [&] {
        std::string input = *rc::gen::elementOf(corpus);
        const int changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes && !input.empty(); ++change) {
          const auto at = *rc::gen::inRange<std::size_t>(0, input.size());
          if (*rc::gen::inRange(0, 4) == 0) {
            input.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
          } else {
            input[at] = *rc::gen::arbitrary<char>();
          }
        }
        each.entry(input);
      });
    }
  }

  void Input_AnyBytes_ViolateNoGuarantee() {
    for (const named_fuzz_entry& each : kFuzzEntries) {
      CheckProperty("any input of " + std::string(each.name),
                    [&](const std::string& input) { each.entry(input); });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fuzz_test);

}  // namespace cuminferry::testing
