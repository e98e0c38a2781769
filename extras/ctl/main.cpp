#include <iostream>
#include <string>
#include <vector>

#include "ctl/command_line.h"

int main(int count, char** values) {
  const std::vector<std::string> arguments(values + 1, values + count);
  return static_cast<int>(cuminferry::ctl::RunCtl(arguments, {std::cout, std::cerr}));
}
