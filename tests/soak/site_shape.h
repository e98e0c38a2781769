#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::testing {

/** A service of the site. */
struct site_service {
  std::string_view name;
  /** Share of the machines whose backend servers belong to it. */
  double machines = 0.0;
  std::uint32_t slots = 0;
  std::size_t queue = 0;
};

/** A call that each run of a row's request makes, one after the other. */
struct site_call {
  std::string_view row;
  int times = 0;
};

/** A row of the site with its load. */
struct site_row {
  std::string_view name;
  std::string_view kind;
  std::string_view service;
  int priority = 0;
  duration timeout{};
  duration objective{};
  /** Mean duration of a run, without its calls. */
  duration work{};
  site_call call;
  /** Share of the requests of clients; 0 for a row that only backend servers call. */
  double share = 0.0;
  /** Mean size of the body in bytes. */
  std::size_t body_bytes = 0;
};

/** The shape of a deployment whose requests call two and three services deep: mostly reads, and one
    row that may run once, has a body and calls twice. */
struct site_shape {
  static constexpr std::size_t kDomains = 4;
  static constexpr int kCustomers = 75;
  /** Requests a second that clients send to each machine. */
  static constexpr double kRequestsPerMachine = 37.0;

  static std::span<const site_service> Services();
  static std::span<const site_row> Rows();
  static const site_row& RowOf(std::string_view name);
  /** Service of a machine's backend server, of `machines` machines. */
  static const site_service& ServiceOfMachine(std::size_t machine, std::size_t machines);
};

}  // namespace cuminferry::testing
