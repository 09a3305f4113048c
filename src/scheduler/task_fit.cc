#include "scheduler/task_fit.h"

namespace hareshore {

Resources resources_beside_reservations(const PassContext& pass, const Job& job, const Machine& machine) {
    Resources available = machine.free;
    const MachineType* type = pass.cluster.machine_type(machine.machine_type);
    bool fetches = type && type->fetch_gb_per_s > 0 && !machine.cache.has(job.spec.image);
    Seconds fetch_s = fetches ? job.spec.image_gb / type->fetch_gb_per_s : 0;
    bool ends_before =
        !job.spec.service() && pass.input.now + fetch_s + job.spec.estimate_s <= machine.reserved_until;
    if (!ends_before) available -= machine.reserved;
    return available;
}

}  // namespace hareshore
