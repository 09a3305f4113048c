// Bodies of submissions.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace hareshore::test {

// The packed fields of a submission by their names on the wire.
using JobFields = std::map<std::string, std::string>;
using JobFieldsChange = std::function<void(JobFields&)>;

// An array of one task that takes a GPU, unless `change` says otherwise.
[[nodiscard]] std::string job_body(const std::string& id, const JobFieldsChange& change = {});

// Changes of a submission.
void set_tasks(JobFields& fields, uint64_t tasks);
void make_gang(JobFields& fields);

// A service of production rank whose replicas take these CPUs and GPUs each.
[[nodiscard]] std::string service_body(const std::string& id, uint32_t replicas, double cpus = 1,
                                       double gpus = 0);

}  // namespace hareshore::test
