// Job records for tests of the stored record formats.
#pragma once
#include <cstdint>
#include <string>

#include "jobs/record.h"

namespace hareshore::test {

// Returns the record whose bytes in jobs/record_format_test.cc were written by commit 64db79f, the production
// version before 9b35ad5.
[[nodiscard]] JobRecord production_record();

// Returns a job array with every task placed on one of `machines` machines, the first of which is vm-000231.
[[nodiscard]] JobRecord large_record(const std::string& id, uint32_t tasks, uint32_t machines);

}  // namespace hareshore::test
