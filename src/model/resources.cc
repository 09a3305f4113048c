#include "model/resources.h"

#include <cmath>

namespace hareshore {

Resources& Resources::operator+=(const Resources& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    memory_gb += o.memory_gb;
    return *this;
}

Resources& Resources::operator-=(const Resources& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    memory_gb -= o.memory_gb;
    return *this;
}

uint32_t Resources::count_fitting(const JobSpec& s, uint32_t most) const {
    if (!holds(s)) return 0;
    double n = most;
    if (s.cpus > 0) n = std::min(n, std::floor((cpus + kRoundingError) / s.cpus));
    if (s.gpus > 0) n = std::min(n, std::floor((gpus + kRoundingError) / s.gpus));
    if (s.memory_gb > 0) n = std::min(n, std::floor((memory_gb + kRoundingError) / s.memory_gb));
    return n <= 0 ? 0 : static_cast<uint32_t>(n);
}

}  // namespace hareshore
