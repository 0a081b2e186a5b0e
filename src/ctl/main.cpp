#include <iostream>
#include <string>
#include <vector>

#include <kumquatdrift/ctl/run.hpp>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    const auto code = kumquatdrift::run_ctl(arguments, kumquatdrift::make_ctl_ports(), std::cout, std::cerr);
    return static_cast<int>(code);
}
