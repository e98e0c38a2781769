#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "cuminferry_wire/messages/bounded_input_archive.h"

namespace cuminferry {

/** Encodes the body of a message between nodes as cereal binary. */
template <typename Message>
std::string EncodeMessage(const Message& message) {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(message);
  return std::move(stream).str();
}

/** Decodes the body of a message between nodes; returns nothing if it is malformed. */
template <typename Message>
std::optional<Message> DecodeMessage(std::string_view bytes) {
  Message message;
  bounded_input_archive archive({bytes.data(), bytes.size()});
  try {
    archive(message);
  } catch (const std::exception&) {
    // cereal reports truncated input only by exceptions.
    return std::nullopt;
  }
  return message;
}

}  // namespace cuminferry
