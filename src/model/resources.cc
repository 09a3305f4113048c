#include "model/resources.h"

#include <cmath>

namespace hareshore {

Resources& Resources::operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    list_bytes += other.list_bytes;
    return *this;
}

Resources& Resources::operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    list_bytes -= other.list_bytes;
    return *this;
}

uint32_t Resources::count_fitting(const JobSpec& spec, uint32_t at_most) const {
    if (!can_fit(spec)) return 0;
    double count = at_most;
    auto limit_by = [&](double available, double needed) {
        if (needed > 0) count = std::min(count, std::floor((available + kRoundingError) / needed));
    };
    limit_by(cpus, spec.cpus);
    limit_by(gpus, spec.gpus);
    limit_by(memory_gb, spec.memory_gb);
    limit_by(list_bytes, task_list_bytes(spec.id));
    return count <= 0 ? 0 : static_cast<uint32_t>(count);
}

}  // namespace hareshore
