// Amounts of CPUs, GPUs and memory: what a task asks for, what a machine has.
#pragma once
#include <algorithm>
#include <cstdint>

#include "model/job_spec.h"

namespace hareshore {

inline constexpr double kRoundingError = 1e-9;  // sums of decimals such as 0.1 are not exact

struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;
    Resources& operator+=(const Resources& o);
    Resources& operator-=(const Resources& o);
    // Whether one task of this size fits; asked of all machines for each job, so it must cost little.
    bool holds(const Resources& a) const {
        return cpus + kRoundingError >= a.cpus && gpus + kRoundingError >= a.gpus &&
               memory_gb + kRoundingError >= a.memory_gb;
    }
    bool holds(const JobSpec& s) const { return holds(of(s)); }
    // The smaller of each.
    Resources componentwise_min(const Resources& o) const {
        return {std::min(cpus, o.cpus), std::min(gpus, o.gpus), std::min(memory_gb, o.memory_gb)};
    }
    // How many tasks of this size fit, at most `most`.
    uint32_t count_fitting(const JobSpec& s, uint32_t most) const;
    static Resources of(const JobSpec& s) { return {s.cpus, s.gpus, s.memory_gb}; }
};

}  // namespace hareshore
