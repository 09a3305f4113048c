#include "cluster/cluster.h"

namespace hareshore {

const MachineType* Cluster::machine_type(const std::string& name) const {
    for (const auto& f : machine_types)
        if (f.name == name) return &f;
    return nullptr;
}

Machine* Cluster::machine(const std::string& name) {
    auto it = machines.find(name);
    return it == machines.end() ? nullptr : it->second.get();
}

Machine& Cluster::ensure(const std::string& name, Seconds now) {
    auto& h = machines[name];
    if (!h) {
        h = std::make_unique<Machine>();
        h->name = name;
        h->last_heartbeat = now;
        h->created_at = now;
    }
    return *h;
}

bool Cluster::within_limit(const Config& config, const JobSpec& spec, uint32_t tasks, TeamUsage kept) const {
    const Team* t = config.team(spec.team);
    if (!t) return false;
    auto it = teams.find(spec.team);
    TeamUsage use = it == teams.end() ? TeamUsage{} : it->second;
    use.cpus += kept.cpus;
    use.gpus += kept.gpus;
    if (t->cpus_max > 0 && use.cpus + tasks * spec.cpus > t->cpus_max + kRoundingError) return false;
    return !(t->gpus_max > 0 && use.gpus + tasks * spec.gpus > t->gpus_max + kRoundingError);
}

}  // namespace hareshore
