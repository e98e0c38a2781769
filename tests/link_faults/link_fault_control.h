#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "link_faults/link_fault_table.h"

namespace cuminferry::trial {

/** Controls the link faults of the nodes of a trial through the shared table. */
class link_fault_control {
 public:
  /** Creates and maps the file of the table. Without the mapping no fault is injected.
      @param file     path of the file
      @param library  path of the library that nodes preload */
  link_fault_control(const std::string& file, std::string library);
  ~link_fault_control();
  link_fault_control(const link_fault_control&) = delete;
  link_fault_control& operator=(const link_fault_control&) = delete;

  /** Environment variables, "NAME=value", for a node of this failure domain. */
  std::vector<std::string> EnvironmentFor(std::size_t domain) const;

  //============================================================================
  /** Connections between nodes that are open now deliver nothing more; new ones
      work. */
  void SilenceOpenConnections();
  /** Disconnects a failure domain from all others, or connects it again. Connections
      that dropped data meanwhile deliver nothing more. */
  void SetCutOff(std::size_t domain, bool cut_off);

 private:
  const std::string file_;
  const std::string library_;
  link_fault_table* table_ = nullptr;
};

}  // namespace cuminferry::trial
