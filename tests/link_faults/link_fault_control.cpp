#include "link_faults/link_fault_control.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <utility>

namespace cuminferry::trial {
namespace {

constexpr int kFileMode = 0600;

}  // namespace

link_fault_control::link_fault_control(const std::string& file, std::string library)
    : file_(file), library_(std::move(library)) {
  const int descriptor = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  static_cast<void>(!::ftruncate(descriptor, sizeof(link_fault_table)));
  void* mapped =
      ::mmap(nullptr, sizeof(link_fault_table), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  if (mapped != MAP_FAILED) {
    table_ = new (mapped) link_fault_table;
  }
}

link_fault_control::~link_fault_control() {
  if (table_ != nullptr) {
    ::munmap(table_, sizeof(link_fault_table));
  }
}

std::vector<std::string> link_fault_control::EnvironmentFor(std::size_t domain) const {
  return {"LD_PRELOAD=" + library_, std::string(kLinkFaultFile) + "=" + file_,
          std::string(kLinkFaultDomain) + "=" + std::to_string(domain)};
}

void link_fault_control::SilenceOpenConnections() {
  if (table_ != nullptr) {
    ++table_->silence_epoch;
  }
}

void link_fault_control::SetCutOff(std::size_t domain, bool cut_off) {
  for (std::size_t other = 0; table_ != nullptr && other < link_fault_table::kDomains; ++other) {
    if (other != domain) {
      table_->cut[domain][other] = cut_off ? 1 : 0;
      table_->cut[other][domain] = cut_off ? 1 : 0;
    }
  }
}

}  // namespace cuminferry::trial
