// Amounts of CPUs, GPUs and memory: what a task asks for, what a machine has.
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

    // What one task of the job takes.
    static Resources of(const JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memory_gb}; }

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    // Whether these amounts fit into this room; asked of all machines for each job, so it must cost little.
    [[nodiscard]] bool holds(const Resources& needed) const {
        return cpus + kRoundingError >= needed.cpus && gpus + kRoundingError >= needed.gpus &&
               memory_gb + kRoundingError >= needed.memory_gb;
    }
    // Whether one task of the job fits.
    [[nodiscard]] bool holds(const JobSpec& spec) const { return holds(of(spec)); }
    // How many tasks of the job fit, at most `at_most`.
    [[nodiscard]] uint32_t count_fitting(const JobSpec& spec, uint32_t at_most) const;
    // The smaller amount of each.
    [[nodiscard]] Resources componentwise_min(const Resources& other) const {
        return {std::min(cpus, other.cpus), std::min(gpus, other.gpus), std::min(memory_gb, other.memory_gb)};
    }
};

}  // namespace hareshore
