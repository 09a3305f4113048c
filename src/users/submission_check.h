// Whether a well-formed job can ever run here.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cloud/machine_type.h"
#include "config/config.h"
#include "jobs/record.h"
#include "jobs/record_format.h"

namespace hareshore {

// Why a job is refused for good.
enum class JobRefusal : uint8_t {
    kUnknownTeam,
    kNoMachineTypeFits,   // a task fits no machine type that the job allows
    kCpusAboveTeamLimit,  // the tasks that must run at once exceed the team's limit
    kGpusAboveTeamLimit,  // the same for GPUs
    kRecordTooLarge,      // the job's record exceeds the key-value store's limit, now or after an upgrade
};

// Why the job can never run with the teams of `config` and the `machine_types`; empty if it can.
[[nodiscard]] std::optional<JobRefusal> never_runnable(const JobSpec& job, const Config& config,
                                                       const std::vector<MachineType>& machine_types);

// Why the new job's record could not be written under the limits of the key-value store, in the format in
// force or any later one; empty if it can.
[[nodiscard]] std::optional<JobRefusal> never_recordable(const JobRecord& record, const Config& config,
                                                         const RecordFormat& record_format);

// The HTTP status of the refusal, and one line for the user.
[[nodiscard]] int status_of(JobRefusal refusal);
[[nodiscard]] std::string describe(JobRefusal refusal, const JobSpec& job);

}  // namespace hareshore
