// Checks whether a well-formed job can ever run on this cluster.
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

// Why a job is refused permanently.
enum class JobRefusal : uint8_t {
    kUnknownTeam,
    kNoMachineTypeFits,   // A task fits no machine type that the job allows.
    kCpusAboveTeamLimit,  // The tasks that must run at the same time exceed the team's limit.
    kGpusAboveTeamLimit,  // The same for GPUs.
    kRecordTooLarge,      // The job's record exceeds the store's value limit, now or after an upgrade.
};

// Why the job can never run with the teams of `config` and the `machine_types`; none if it can.
[[nodiscard]] std::optional<JobRefusal> check_runnable(const JobSpec& job, const Config& config,
                                                       const std::vector<MachineType>& machine_types);

// Why the new job's record could exceed the key-value store's value limit, in the format in force or any
// later one; none if it fits.
[[nodiscard]] std::optional<JobRefusal> check_record_size(const JobRecord& record, const Config& config,
                                                          const RecordFormat& record_format);

// The HTTP status of the refusal, and a one-line message for the user.
[[nodiscard]] int status_of(JobRefusal refusal);
[[nodiscard]] std::string describe(JobRefusal refusal, const JobSpec& job);

}  // namespace hareshore
