#include <cstddef>
#include <cstdint>

#include "fuzz/fuzz_entries.h"

// tests/fuzz/CMakeLists.txt defines CUMINFERRY_FUZZ_ENTRY for each target.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t count) {
  cuminferry::testing::CUMINFERRY_FUZZ_ENTRY({reinterpret_cast<const char*>(bytes), count});
  return 0;
}
