#include "users/submission_check.h"

#include <algorithm>

#include "base/constants.h"
#include "http/json_size.h"

namespace hareshore {

namespace {

bool allows_machine_type(const JobSpec& job, const MachineType& type) {
    return job.machine_types.empty() || std::find(job.machine_types.begin(), job.machine_types.end(),
                                                  type.name) != job.machine_types.end();
}

}  // namespace

std::optional<JobRefusal> check_runnable(const JobSpec& job, const Config& config,
                                         const std::vector<MachineType>& machine_types) {
    const Team* team = config.team(job.team);
    if (!team) return JobRefusal::kUnknownTeam;
    bool fits = std::any_of(machine_types.begin(), machine_types.end(), [&](const MachineType& type) {
        return type.fits(job.cpus, job.gpus, job.memory_gb) && allows_machine_type(job, type);
    });
    if (!fits) return JobRefusal::kNoMachineTypeFits;
    double tasks_at_once = job.gang() || job.service() ? job.tasks : 1;
    if (team->cpus_max > 0 && job.cpus * tasks_at_once > team->cpus_max)
        return JobRefusal::kCpusAboveTeamLimit;
    if (team->gpus_max > 0 && job.gpus * tasks_at_once > team->gpus_max)
        return JobRefusal::kGpusAboveTeamLimit;
    return std::nullopt;
}

std::optional<JobRefusal> check_record_size(const JobRecord& record, const Config& config,
                                            const RecordFormat& record_format) {
    // The record of a gang holds the placements of all its tasks at once. Tasks of arrays and services start
    // as far as their record has room, one at a time if necessary.
    size_t reserve = constants::kRecordReserveBytes;
    if (record.spec.gang()) reserve += (record.spec.tasks - 1) * constants::kGangPlacementBytes;
    for (uint64_t format = record_format.write_format(); format <= kNewestRecordFormat; ++format)
        if (json_size(record.pack(format)) + reserve > config.value_limit(format))
            return JobRefusal::kRecordTooLarge;
    return std::nullopt;
}

int status_of(JobRefusal refusal) {
    return refusal == JobRefusal::kRecordTooLarge ? 400 : 422;
}

std::string describe(JobRefusal refusal, const JobSpec& job) {
    switch (refusal) {
        case JobRefusal::kUnknownTeam:
            return "unknown team " + job.team;
        case JobRefusal::kNoMachineTypeFits:
            return "no allowed machine type has enough CPUs, GPUs and memory for one task";
        case JobRefusal::kCpusAboveTeamLimit:
            return "the job needs more CPUs at once than the team's limit";
        case JobRefusal::kGpusAboveTeamLimit:
            return "the job needs more GPUs at once than the team's limit";
        case JobRefusal::kRecordTooLarge:
            break;
    }
    return "the job's description exceeds the size limit of a stored record: shorten its names or its list "
           "of machine types, or reduce the number of tasks if it is a gang";
}

}  // namespace hareshore
