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

// What it reads is written by BinaryOutputArchive, which cereal pairs with its own reader already.
template <>
struct cereal::traits::detail::get_output_from_input<cuminferry::bounded_input_archive> {
  using type = cereal::BinaryOutputArchive;
};

namespace cuminferry {

/** A cereal input archive over memory that believes no length.

    A forged length of some gigabytes would be allocated before the first byte
    is missed: one small frame could end the process. So each length is held
    against the bytes that are there, and lists against kLongestList, before
    anything is allocated. Little-endian, the counterpart of
    cereal::BinaryOutputArchive on the machines that we run on.
*/
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
 public:
  static_assert(std::endian::native == std::endian::little);

  explicit bounded_input_archive(std::span<const char> bytes) : InputArchive(this), bytes_(bytes) {}

  void LoadBytes(void* into, std::size_t count) {
    if (count > bytes_.size()) {
      throw cereal::Exception("the message ends early");
    }
    std::memcpy(into, bytes_.data(), count);
    bytes_ = bytes_.subspan(count);
  }

  std::size_t left() const { return bytes_.size(); }

 private:
  std::span<const char> bytes_;
};

/** Most elements in a list of a message. */
inline constexpr cereal::size_type kLongestList = 4096;

template <typename Number>
requires std::is_arithmetic_v<Number> || std::is_enum_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, Number& number) {
  archive.LoadBytes(std::addressof(number), sizeof(number));
}

inline void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, std::string& text) {
  cereal::size_type length = 0;
  archive.LoadBytes(&length, sizeof(length));
  if (length > archive.left()) {
    throw cereal::Exception("a text is longer than the message");
  }
  text.resize(length);
  archive.LoadBytes(text.data(), length);
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, std::vector<Element>& list) {
  cereal::size_type length = 0;
  archive.LoadBytes(&length, sizeof(length));
  if (length > kLongestList || length > archive.left()) {
    throw cereal::Exception("a list is longer than the message");
  }
  list.resize(length);
  for (Element& element : list) {
    archive(element);
  }
}

}  // namespace cuminferry

CEREAL_REGISTER_ARCHIVE(cuminferry::bounded_input_archive)
