// Writes and reads job records and other values in the stand-in store.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/record.h"
#include "standins/deployment.h"

namespace hareshore::test {

// Convert bytes from and to lower-case hexadecimal, so that a failed comparison shows which byte differs.
[[nodiscard]] std::string from_hex(std::string_view hex);
[[nodiscard]] std::string to_hex(std::string_view bytes);

// Stores a value under a key that must not exist.
void store_value(Deployment& deployment, const std::string& key, std::string value);
// Stores a job's record in format 1, as versions without format 2 write it.
void store_record(Deployment& deployment, const JobRecord& record);
// Return the stored record of a job and the number of its format.
[[nodiscard]] JobRecord stored_record(Deployment& deployment, const std::string& id);
[[nodiscard]] uint64_t stored_format(Deployment& deployment, const std::string& id);

// Formats a machine name such as vm-000231.
[[nodiscard]] std::string machine_name(uint64_t number);
// Returns a worker for each machine in the record's placements, with the tasks placed there running.
[[nodiscard]] std::vector<FakeWorker> workers_of(const JobRecord& record);

}  // namespace hareshore::test
