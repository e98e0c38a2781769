#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "cuminferry_table/cuminferry_table.h"
#include "load/load_plan.h"
#include "stand_ins/backend/backend_settings.h"

namespace cuminferry::trial {

/** What the instances of one service do. Slots, connections and targets come
    from the table. */
struct service_plan {
  std::string name;
  std::chrono::milliseconds cold{0};
  std::vector<stand_ins::request_kind> kinds;
};

/** A deployment as its file describes it: the operators' table, what backend
    servers do, and what callers ask for. */
struct deployment_plan {
  std::string name;
  std::string region;
  /** Service times of the file were multiplied by this, and the table's slots,
      connections and limits by slots_scale, so that processor time of one machine
      is not the bottleneck. */
  double scale = 1.0;
  double slots_scale = 1.0;
  policy_table table;
  std::string table_text;
  std::vector<service_plan> services;
  /** The service that the load is meant to overload. */
  std::string bottleneck;
  std::vector<load::load_kind> kinds;
  /** Whole requests a second on an ordinary day. */
  double rate = 100.0;

  /** The failure domains, in the table's order. */
  std::vector<std::string> Domains() const;
  const service_plan* FindService(std::string_view service) const;

  /** Calls of a service that one whole request of this kind makes, calls of
      calls included. */
  double VisitsOf(const load::load_kind& kind, std::string_view service) const;
  /** Whole requests a second that the bottleneck can complete, of those in the
      load's mix that need it. */
  double Capacity() const;

  /** Reads a deployment file, JSON with comments, and the table it names. */
  static absl::StatusOr<deployment_plan> Read(const std::string& file);
};

}  // namespace cuminferry::trial
