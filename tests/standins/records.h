// Job records and other values in the stand-in store.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/record.h"
#include "standins/deployment.h"

namespace hareshore::test {

// Bytes as lower-case hexadecimal digits, so that a failed comparison shows which byte differs.
[[nodiscard]] std::string from_hex(std::string_view hex);
[[nodiscard]] std::string to_hex(std::string_view bytes);

// Puts a value under a key that is not there yet.
void store_value(Deployment& deployment, const std::string& key, std::string value);
// Puts a job's record in format 1, as the version in production wrote it.
void store_record(Deployment& deployment, const JobRecord& record);
// The stored record of a job and the format in which it is.
[[nodiscard]] JobRecord stored_record(Deployment& deployment, const std::string& id);
[[nodiscard]] uint64_t stored_format(Deployment& deployment, const std::string& id);

// vm-000231.
[[nodiscard]] std::string machine_name(uint64_t number);
// The workers of the machines that the record's placements name, each with its running tasks.
[[nodiscard]] std::vector<FakeWorker> workers_of(const JobRecord& record);

}  // namespace hareshore::test
