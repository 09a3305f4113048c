// Named fault scripts, the parameters of the fault tests.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "scenario/fault_scenario.h"

namespace hareshore::test {

struct FaultScript {
    const char* name;
    int controllers, machines;
    std::function<void(FaultScenario&)> run;
};

inline void PrintTo(const FaultScript& script,
                    std::ostream* out) {  // NOLINT(readability-identifier-naming): GoogleTest's name
    *out << script.name;
}

inline std::string name_of(const testing::TestParamInfo<FaultScript>& info) {
    return info.param.name;
}

}  // namespace hareshore::test
