// Records as the version in production, 64db79f, wrote them.
#pragma once
#include <cstdint>
#include <string>

#include "jobs/record.h"

namespace hareshore::test {

// The record whose bytes that version's code made, see jobs/record_format_test.cc.
[[nodiscard]] JobRecord production_record();

// An array whose tasks are all on machines, vm-000231 and so on.
[[nodiscard]] JobRecord large_record(const std::string& id, uint32_t tasks, uint32_t machines);

}  // namespace hareshore::test
