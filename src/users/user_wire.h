// The users' protocol: reading submissions and writing answers.
#pragma once
#include <string>
#include <variant>

#include "cloud/machine_type.h"
#include "config/config.h"
#include "model/job_spec.h"

namespace hareshore {

// The job, or why the message is malformed.
std::variant<JobSpec, std::string> parse_submission(std::string_view body);
bool valid_job_id(std::string_view id);

// Empty if the job can run; else why it never can.
std::string never_runnable(const JobSpec& job, const Config& config,
                           const std::vector<MachineType>& machine_types);

std::string pack_phase(const std::string& id, JobPhase phase);
std::string pack_job(const std::string& id, JobPhase phase, uint32_t done, uint32_t running);
std::string pack_error(const std::string& what);

}  // namespace hareshore
