#include "soak/site_shape.h"

#include <algorithm>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array kServices{
    site_service{.name = "sets", .machines = 20.0 / 64.0, .slots = 94, .queue = 108},
    site_service{.name = "changes", .machines = 14.0 / 64.0, .slots = 135, .queue = 108},
    site_service{.name = "history", .machines = 25.0 / 64.0, .slots = 75, .queue = 108},
    site_service{.name = "rating", .machines = 5.0 / 64.0, .slots = 65, .queue = 216}};

constexpr std::array kRows{site_row{.name = "set",
                                    .kind = "safe",
                                    .service = "sets",
                                    .priority = 1,
                                    .timeout = milliseconds(800),
                                    .objective = milliseconds(1'500),
                                    .work = milliseconds(120),
                                    .call = {.row = "sync", .times = 1},
                                    .share = 0.424},
                           site_row{.name = "change",
                                    .kind = "unsafe",
                                    .service = "changes",
                                    .priority = 2,
                                    .timeout = milliseconds(1'000),
                                    .objective = milliseconds(3'000),
                                    .work = milliseconds(160),
                                    .call = {.row = "mirror", .times = 2},
                                    .share = 0.172,
                                    .body_bytes = 4'000},
                           site_row{.name = "past",
                                    .kind = "safe",
                                    .service = "history",
                                    .priority = 1,
                                    .timeout = milliseconds(1'500),
                                    .objective = milliseconds(800),
                                    .work = milliseconds(300),
                                    .share = 0.222},
                           site_row{.name = "rate",
                                    .kind = "safe",
                                    .service = "rating",
                                    .priority = 0,
                                    .timeout = milliseconds(600),
                                    .objective = milliseconds(150),
                                    .work = milliseconds(48),
                                    .share = 0.182},
                           site_row{.name = "sync",
                                    .kind = "safe",
                                    .service = "changes",
                                    .priority = 1,
                                    .timeout = milliseconds(2'500),
                                    .objective = milliseconds(1'000),
                                    .work = milliseconds(15),
                                    .call = {.row = "mirror", .times = 1}},
                           site_row{.name = "mirror",
                                    .kind = "safe",
                                    .service = "history",
                                    .priority = 1,
                                    .timeout = milliseconds(2'000),
                                    .objective = milliseconds(800),
                                    .work = milliseconds(15),
                                    .call = {.row = "segment", .times = 4}},
                           site_row{.name = "segment",
                                    .kind = "safe",
                                    .service = "rating",
                                    .priority = 1,
                                    .timeout = milliseconds(700),
                                    .objective = milliseconds(300),
                                    .work = milliseconds(30)}};

}  // namespace

std::span<const site_service> site_shape::Services() { return kServices; }
std::span<const site_row> site_shape::Rows() { return kRows; }

const site_row& site_shape::RowOf(std::string_view name) {
  return *std::ranges::find(kRows, name, &site_row::name);
}

// Of each run of consecutive machines, each service gets its share, so that every domain has all.
const site_service& site_shape::ServiceOfMachine(std::size_t machine, std::size_t machines) {
  const double place = (static_cast<double>(machine) + 0.5) / static_cast<double>(machines);
  double end = 0.0;
  for (const site_service& service : kServices) {
    end += service.machines;
    if (place < end) {
      return service;
    }
  }
  return kServices.back();
}

}  // namespace cuminferry::testing
