// Request bodies of job submissions.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace hareshore::test {

// The packed fields of a submission, by wire name.
using JobFields = std::map<std::string, std::string>;
using JobFieldsChange = std::function<void(JobFields&)>;

// Builds a job array of one task with one GPU; `change` may modify its fields before they are packed.
[[nodiscard]] std::string job_body(const std::string& id, const JobFieldsChange& change = {});

// Modifications of a submission.
void set_tasks(JobFields& fields, uint64_t tasks);
void make_gang(JobFields& fields);

// Builds a service with production priority whose replicas need this many CPUs and GPUs each.
[[nodiscard]] std::string service_body(const std::string& id, uint32_t replicas, double cpus = 1,
                                       double gpus = 0);

}  // namespace hareshore::test
