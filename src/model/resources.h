// Amounts of CPUs, GPUs and memory, as required by a task or available on a machine.
#pragma once
#include <algorithm>
#include <cstdint>

#include "model/job_spec.h"

namespace hareshore {

inline constexpr double kRoundingError = 1e-9;  // sums of decimals such as 0.1 are not exact

struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;

    // The resources of one task of the job.
    static Resources of(const JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memory_gb}; }

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    // Whether `needed` fits. Inline because the scheduler calls it for every pair of job and machine.
    [[nodiscard]] bool can_fit(const Resources& needed) const {
        return cpus + kRoundingError >= needed.cpus && gpus + kRoundingError >= needed.gpus &&
               memory_gb + kRoundingError >= needed.memory_gb;
    }
    // Whether one task of the job fits.
    [[nodiscard]] bool can_fit(const JobSpec& spec) const { return can_fit(of(spec)); }
    // The number of tasks of the job that fit, at most `at_most`.
    [[nodiscard]] uint32_t count_fitting(const JobSpec& spec, uint32_t at_most) const;
    // The minimum of each amount.
    [[nodiscard]] Resources componentwise_min(const Resources& other) const {
        return {std::min(cpus, other.cpus), std::min(gpus, other.gpus), std::min(memory_gb, other.memory_gb)};
    }
};

}  // namespace hareshore
