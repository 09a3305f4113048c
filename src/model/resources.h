// Amounts of CPUs, GPUs, memory and room in heartbeats, as required by a task or available on a machine.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/constants.h"
#include "model/job_spec.h"

namespace hareshore {

inline constexpr double kRoundingError = 1e-9;  // sums of decimals such as 0.1 are not exact

// An upper bound of the JSON bytes that a task of the job takes in its machine's heartbeat, and a command for
// it in the response.
[[nodiscard]] inline double task_list_bytes(std::string_view job_id) {
    return static_cast<double>(
        std::max(constants::kMinTaskEntryBytes, constants::kTaskEntryOverheadBytes + job_id.size()));
}

struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    // Room in the machine's heartbeats: the protocol limits their size, and thus the number of tasks that a
    // machine can have, however small they are.
    double list_bytes = 0;

    // The resources of one task of the job.
    static Resources of(const JobSpec& spec) {
        return {spec.cpus, spec.gpus, spec.memory_gb, task_list_bytes(spec.id)};
    }
    // The resources of an empty machine.
    static Resources of_machine(double cpus, double gpus, double memory_gb) {
        return {cpus, gpus, memory_gb, constants::kTaskListBytes};
    }

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    // Whether `needed` fits. Inline because the scheduler calls it for every pair of job and machine.
    [[nodiscard]] bool can_fit(const Resources& needed) const {
        return cpus + kRoundingError >= needed.cpus && gpus + kRoundingError >= needed.gpus &&
               memory_gb + kRoundingError >= needed.memory_gb && list_bytes >= needed.list_bytes;
    }
    // Whether one task of the job fits.
    [[nodiscard]] bool can_fit(const JobSpec& spec) const { return can_fit(of(spec)); }
    // The number of tasks of the job that fit, at most `at_most`.
    [[nodiscard]] uint32_t count_fitting(const JobSpec& spec, uint32_t at_most) const;
    // The minimum of each amount.
    [[nodiscard]] Resources componentwise_min(const Resources& other) const {
        return {std::min(cpus, other.cpus), std::min(gpus, other.gpus), std::min(memory_gb, other.memory_gb),
                std::min(list_bytes, other.list_bytes)};
    }
};

}  // namespace hareshore
