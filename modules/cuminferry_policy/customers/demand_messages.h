#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/customers/limit_messages.h"

namespace cuminferry {

/** Encodes a list with its length in one byte, or in two from 128 elements on: these messages are
    sent often, and the eight bytes of cereal's lengths would be most of them. Elements from 32,767
    on are left out. */
template <typename Archive, typename List>
void SerializeShortList(Archive& archive, List& list) {
  constexpr std::size_t kMaxLength = 0x7FFF;
  constexpr std::size_t kMaxShortLength = 0x7F;
  constexpr unsigned kShortBits = 7;
  std::size_t length = std::min(list.size(), kMaxLength);
  const bool is_long = length > kMaxShortLength;
  auto low = static_cast<std::uint8_t>((length & kMaxShortLength) | (is_long ? 0x80U : 0U));
  auto high = static_cast<std::uint8_t>(length >> kShortBits);
  archive(low);
  if ((low & 0x80U) != 0) {
    archive(high);
  }
  if constexpr (Archive::is_loading::value) {
    length = (low & kMaxShortLength) | (std::size_t{high} << kShortBits);
    // Grows with what was read: a forged length ends at the end of the message.
    list.clear();
    for (std::size_t read = 0; read < length; ++read) {
      typename List::value_type element{};
      archive(element);
      list.push_back(std::move(element));
    }
  } else {
    for (std::size_t written = 0; written < length; ++written) {
      archive(list[written]);
    }
  }
}

/** Encodes a figure that is not negative as its logarithm in two bytes: within 0.04% from 2^-32 to
    nearly 2^32. Figures outside these bounds are encoded as the nearer bound; only 0 is encoded as
    0. With a smallest figure of 2^-8, a pool whose customers sent less than 1/256 of their
   published rates had no level. */
template <typename Archive>
void SerializeFigure(Archive& archive, double& figure) {
  constexpr double kStepsPerOctave = 1024.0;
  constexpr double kLowestExponent = -32.0;
  // Code 0 is the figure 0.
  constexpr double kLowestCode = 1.0;
  constexpr double kMaxCode = 65535.0;
  std::uint16_t code = 0;
  if (figure > 0.0) {
    const double steps = (std::log2(figure) - kLowestExponent) * kStepsPerOctave;
    code = static_cast<std::uint16_t>(
        std::lround(std::clamp(kLowestCode + steps, kLowestCode, kMaxCode)));
  }
  archive(code);
  figure = code == 0 ? 0.0 : std::exp2((code - kLowestCode) / kStepsPerOctave + kLowestExponent);
}

/** Encodes a count, which is negative where requests were taken back, in four bytes. */
template <typename Archive>
void SerializeCount(Archive& archive, double& count) {
  auto short_count = static_cast<float>(count);
  archive(short_count);
  count = short_count;
}

/** A customer's requests of one pool at one node since its last report. @see share_pool */
struct pool_demand {
  std::uint32_t pool = 0;
  double requested = 0.0;
  /** Requests among these that the ingress node would admit if it knew no customers. */
  double admitted = 0.0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(pool);
    SerializeFigure(archive, requested);
    SerializeFigure(archive, admitted);
  }
};

/** A node's report of a customer's requests to the customer's coordinator. */
struct customer_report {
  /** `limit.customer` names the customer; the rest is reported only if `counts_for_limit`. */
  limit_report limit;
  bool counts_for_limit = false;
  std::vector<pool_demand> pools;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeShortList(archive, limit.customer);
    archive(counts_for_limit);
    if (counts_for_limit) {
      SerializeCount(archive, limit.requested);
      SerializeCount(archive, limit.admitted);
      SerializeFigure(archive, limit.share);
    }
    SerializeShortList(archive, pools);
  }
};

/** A customer's request rate of one pool over all nodes, per second. */
struct pool_rate {
  std::uint32_t pool = 0;
  double rate = 0.0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(pool);
    SerializeFigure(archive, rate);
  }
};

/** The coordinator's reply to a customer_report. */
struct customer_figures {
  /** Share of the customer's requests that its limit admits. */
  double share = 1.0;
  std::vector<pool_rate> rates;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeFigure(archive, share);
    SerializeShortList(archive, rates);
  }
};

/** Level up to which all customers of a pool are admitted: requests per second over all nodes for
    each unit of a customer's weight. */
struct pool_level {
  std::uint32_t pool = 0;
  double level = 0.0;
  /** Fraction of the admitted requests that comes from customers which the level holds. They alone
      change with the level. */
  double held_fraction = 1.0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(pool);
    SerializeFigure(archive, level);
    SerializeFigure(archive, held_fraction);
  }
};

/** A customer's requests of one pool over all nodes, as its coordinator knows them. */
struct customer_load {
  /** Requests per second. */
  double requested = 0.0;
  /** Level at which all of them are admitted. @see fair_demand */
  double saturation = 0.0;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeFigure(archive, requested);
    SerializeFigure(archive, saturation);
  }
};

/** The loads of those customers of a pool that one node coordinates. */
struct pool_loads {
  std::uint32_t pool = 0;
  /** Requests per second of these customers that ingress nodes would admit if they knew no
      customers. */
  double admitted = 0.0;
  std::vector<customer_load> customers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(pool);
    SerializeFigure(archive, admitted);
    SerializeShortList(archive, customers);
  }
};

/** Message to a coordinator of customers, of the levels of pools, or of both. */
struct share_query {
  std::vector<customer_report> reports;
  std::vector<pool_loads> loads;
  /** Address of the sender's backend server, which identifies it; sent only with loads. */
  endpoint sender;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeShortList(archive, reports);
    SerializeShortList(archive, loads);
    if (!loads.empty()) {
      archive(sender.address, sender.port);
    }
  }
};

/** Reply to a share_query: figures in the order of its reports, and the levels that the node knows
    of the pools which the query names. */
struct share_reply {
  std::vector<customer_figures> figures;
  std::vector<pool_level> levels;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeShortList(archive, figures);
    SerializeShortList(archive, levels);
  }
};

}  // namespace cuminferry
