#pragma once

#include <bit>
#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cstring>
#include <span>
#include <string>
#include <type_traits>
#include <vector>

namespace cuminferry {
class bounded_input_archive;
}

// BinaryOutputArchive writes what this archive reads. cereal already pairs BinaryOutputArchive with
// its own input archive, so only this direction is declared.
template <>
struct cereal::traits::detail::get_output_from_input<cuminferry::bounded_input_archive> {
  using type = cereal::BinaryOutputArchive;
};

namespace cuminferry {

/** A cereal input archive over memory that validates every length before it allocates.

    A forged length of some gigabytes would otherwise be allocated before the missing bytes were
    noticed, so that one small frame could end the process. Each length is therefore compared with
    the number of bytes left, and the length of a list also with kMaxListLength. The encoding is
    little-endian, like that of cereal::BinaryOutputArchive on little-endian machines.
*/
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
 public:
  static_assert(std::endian::native == std::endian::little);

  explicit bounded_input_archive(std::span<const char> bytes) : InputArchive(this), bytes_(bytes) {}

  void ReadBytes(void* into, std::size_t count) {
    if (count > bytes_.size()) {
      throw cereal::Exception("the message ends early");
    }
    std::memcpy(into, bytes_.data(), count);
    bytes_ = bytes_.subspan(count);
  }

  std::size_t remaining_bytes() const { return bytes_.size(); }

 private:
  std::span<const char> bytes_;
};

/** Maximum number of elements in a list of a message: twice the instances of the largest fleet. */
inline constexpr cereal::size_type kMaxListLength = 16'384;

template <typename Number>
requires std::is_arithmetic_v<Number> || std::is_enum_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, Number& number) {
  archive.ReadBytes(std::addressof(number), sizeof(number));
}

inline void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, std::string& text) {
  cereal::size_type length = 0;
  archive.ReadBytes(&length, sizeof(length));
  if (length > archive.remaining_bytes()) {
    throw cereal::Exception("a text is longer than the message");
  }
  text.resize(length);
  archive.ReadBytes(text.data(), length);
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, std::vector<Element>& list) {
  cereal::size_type length = 0;
  archive.ReadBytes(&length, sizeof(length));
  if (length > kMaxListLength || length > archive.remaining_bytes()) {
    throw cereal::Exception("a list is longer than the message");
  }
  list.resize(length);
  for (Element& element : list) {
    archive(element);
  }
}

}  // namespace cuminferry

CEREAL_REGISTER_ARCHIVE(cuminferry::bounded_input_archive)
