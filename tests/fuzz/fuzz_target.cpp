#include <cstddef>
#include <cstdint>

#include "fuzz/fuzz_entries.h"

// CUMINFERRY_FUZZ_ENTRY is set for each target by tests/fuzz/CMakeLists.txt.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t count) {
  cuminferry::testing::CUMINFERRY_FUZZ_ENTRY({reinterpret_cast<const char*>(bytes), count});
  return 0;
}
