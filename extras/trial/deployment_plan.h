#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "cuminferry_table/cuminferry_table.h"
#include "load/load_plan.h"
#include "stand_ins/backend/backend_settings.h"

namespace cuminferry::trial {

/** How the backend servers of one service behave. Slots, connections and targets come from the
    table. */
struct service_plan {
  std::string name;
  /** How long a backend server is slower after its start. */
  std::chrono::milliseconds warm_up_time{0};
  std::vector<stand_ins::request_kind> kinds;
};

/** The contents of a deployment file: the operators' table, the behaviour of backend servers,
    and the load that callers generate. */
struct deployment_plan {
  std::string name;
  std::string region;
  /** Factor applied to the file's service times. The table's slots, connections and limits are
      multiplied by `slots_scale`. Both keep the processor time of a single machine from becoming
      the bottleneck. */
  double service_time_scale = 1.0;
  double slots_scale = 1.0;
  policy_table table;
  std::string table_text;
  std::vector<service_plan> services;
  /** Name of the service that the load is meant to overload. */
  std::string bottleneck;
  std::vector<load::load_kind> kinds;
  /** Whole requests per second outside the surge. */
  double rate = 100.0;

  /** The failure domains, in the table's order. */
  std::vector<std::string> Domains() const;
  const service_plan* FindService(std::string_view service) const;

  /** Number of requests that a service receives for one whole request of this kind, nested
      calls included. */
  double VisitsOf(const load::load_kind& kind, std::string_view service) const;
  /** Whole requests per second that the bottleneck can complete if all its slots are busy.
      Counts only the kinds of the load that need the bottleneck, in the load's proportions. */
  double Capacity() const;

  /** Reads a deployment file (JSON with comments) and the table file that it names.
      @return  an error if a file can't be read or its contents are invalid */
  static absl::StatusOr<deployment_plan> Read(const std::string& file);
};

}  // namespace cuminferry::trial
