// Files a permit through one of the given nodes and prints the result.
//
//   cuminferry-example-caller 127.0.0.1:8080 127.0.0.1:8090

#include <cstdlib>
#include <iostream>

#include "cuminferry_caller/cuminferry_caller.h"

namespace {

using cuminferry::call_not_run;
using cuminferry::call_result;
using cuminferry::call_unknown;
using cuminferry::completed_call;

constexpr int kExitNotRun = 3;
constexpr int kExitUnknown = 4;
constexpr int kExitCommandLine = 2;

int PrintResult(const call_result& result) {
  if (const auto* completed = std::get_if<completed_call>(&result)) {
    std::cout << "completed with HTTP " << completed->http_status << ", " << completed->body.size()
              << " bytes\n";
    return EXIT_SUCCESS;
  }
  if (const auto* not_run = std::get_if<call_not_run>(&result)) {
    std::cout << "not run (CF" << static_cast<int>(not_run->code) << "); come back in "
              << not_run->retry_after.count() << " ms\n";
    return kExitNotRun;
  }
  const auto& unknown = std::get<call_unknown>(result);
  std::cout << "unknown (CF" << static_cast<int>(unknown.code) << "); it may have been filed. "
            << "Don't file again; ask about ticket " << unknown.ticket << "\n";
  return kExitUnknown;
}

}  // namespace

int main(int count, char** arguments) {
  std::vector<cuminferry::endpoint> nodes;
  for (int at = 1; at < count; ++at) {
    cuminferry::endpoint node;
    if (!cuminferry::endpoint::Parse(arguments[at], node)) {
      std::cerr << "not an address and port: " << arguments[at] << "\n";
      return kExitCommandLine;
    }
    nodes.push_back(node);
  }
  if (nodes.empty()) {
    std::cerr << "usage: cuminferry-example-caller NODE...\n";
    return kExitCommandLine;
  }
  auto caller = cuminferry::caller::builder().WithNodes(nodes).Build();
  return PrintResult(caller->Call({.service = "permit",
                                   .method = "POST",
                                   .path = "/permits",
                                   .body = "{\"parcel\":7,\"cubic_metres\":30}",
                                   .idempotent = false}));
}
