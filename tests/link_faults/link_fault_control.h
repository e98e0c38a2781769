#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "link_faults/link_fault_table.h"

namespace cuminferry::trial {

/** The trial's hand on the links between nodes. */
class link_fault_control {
 public:
  /** Makes the table's file.
      @param library  path of the library that is loaded into the nodes */
  link_fault_control(const std::string& file, std::string library);
  ~link_fault_control();
  link_fault_control(const link_fault_control&) = delete;
  link_fault_control& operator=(const link_fault_control&) = delete;

  /** What a node of this failure domain needs in its environment. */
  std::vector<std::string> EnvironmentFor(std::size_t domain) const;

  //============================================================================
  /** All connections between nodes that are open now go silent for good; new
      ones work. */
  void SilenceOpenConnections();
  /** Cuts a failure domain off from all others, or joins it again. Connections
      that carried something meanwhile stay silent. */
  void SetCutOff(std::size_t domain, bool cut_off);

 private:
  const std::string file_;
  const std::string library_;
  link_fault_table* table_ = nullptr;
};

}  // namespace cuminferry::trial
