#include "scheduler/task_fit.h"

namespace hareshore {

Resources resources_outside_reservations(const PassContext& pass, const Job& job, const Machine& machine) {
    Resources available = machine.free;
    const MachineType* type = pass.cluster.machine_type(machine.machine_type);
    bool needs_fetch = type && type->fetch_gb_per_s > 0 && !machine.cache.has(job.spec.image);
    Seconds fetch_s = needs_fetch ? job.spec.image_gb / type->fetch_gb_per_s : 0;
    bool ends_before_reservation =
        !job.spec.service() && pass.input.now + fetch_s + job.spec.estimate_s <= machine.reserved_until;
    if (!ends_before_reservation) available -= machine.reserved;
    return available;
}

}  // namespace hareshore
