#include "trial/demo.h"

namespace cuminferry::trial {

int RunDemo(const deployment_plan&, const std::string&) { return 1; }

}  // namespace cuminferry::trial
