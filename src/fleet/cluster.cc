#include "fleet/cluster.h"

#include <algorithm>
#include <cmath>

#include "jobs/table.h"

namespace hareshore {

void ImageCache::use(const std::string& image, double gb) {
    std::erase_if(images_, [&](const Image& i) { return i.name == image; });
    images_.insert(images_.begin(), {image, gb});
    double sum = 0;
    for (auto it = images_.begin(); it != images_.end();) {
        sum += it->gb;
        it = sum > capacity_ && it != images_.begin() ? images_.erase(it) : std::next(it);
    }
}

bool ImageCache::has(const std::string& image) const {
    return std::any_of(images_.begin(), images_.end(), [&](const Image& i) { return i.name == image; });
}

Amount& Amount::operator+=(const Amount& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    memory_gb += o.memory_gb;
    return *this;
}

Amount& Amount::operator-=(const Amount& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    memory_gb -= o.memory_gb;
    return *this;
}

uint32_t Amount::fits(const JobSpec& s, uint32_t most) const {
    if (!holds(s)) return 0;
    double n = most;
    if (s.cpus > 0) n = std::min(n, std::floor((cpus + kEps) / s.cpus));
    if (s.gpus > 0) n = std::min(n, std::floor((gpus + kEps) / s.gpus));
    if (s.memory_gb > 0) n = std::min(n, std::floor((memory_gb + kEps) / s.memory_gb));
    return n <= 0 ? 0 : static_cast<uint32_t>(n);
}

void Machine::judge_hearing(const Report& r, bool direct, Seconds lease_s, Seconds now) {
    auto doubt = [&] {
        if (unheard_since < 0) unheard_since = now;
    };
    if (r.session > session) {
        // Its lease ended although it was answered well within it.
        if (answered_at >= 0 && now - answered_at < lease_s / 2) doubt();
    } else if (direct && answered_direct) {
        // One that is answered stays and numbers its reports one by one; one that is not has asked others.
        if (r.seq == answered_seq + 1) {
            unheard_since = -1;
        } else {
            doubt();
        }
    }
    answered_direct = false;
}

void Machine::answered(bool direct, Seconds now) {
    answered_at = now;
    answered_seq = seq;
    answered_direct = direct;
}

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
        h->last_report = now;
        h->born = now;
    }
    return *h;
}

namespace {

Machine::TaskCount count_tasks(const Machine& machine, const JobTable& jobs) {
    Machine::TaskCount count;
    for (const auto& r : jobs.on_machine(machine.name)) {
        count.taken += Amount::of(r.job->spec);
        ++count.placed;
    }
    for (const auto& task : machine.tasks) {
        if (task.phase == TaskPhase::kExited) continue;
        if (const Job* job = jobs.find(task.name.job)) {
            auto placement = job->live.find(task.name.task);
            if (placement != job->live.end() && placement->second.machine == machine.name)
                continue;  // counted above
        }
        count.taken += task.amount;
        ++count.placed;
        count.all_sized = count.all_sized && task.sized;
        count.unplaced.push_back({task.name.job, task.team, task.amount});
    }
    return count;
}

}  // namespace

void Cluster::recount_machine(Machine& machine, JobTable& jobs, Seconds now, Seconds silent_after) const {
    if (!machine.counted) {
        machine.count = count_tasks(machine, jobs);
        machine.counted = true;
    }
    const MachineType* type = machine_type(machine.machine_type);
    machine.free = type ? Amount{type->cpus, type->gpus, type->memory_gb} : Amount{};
    if (type) machine.cache.set_capacity(type->cache_gb);
    machine.free -= machine.count.taken;
    machine.placed = machine.count.placed;
    machine.usable = type && machine.current && !machine.condemned && !machine.deleting &&
                     !machine.emptying && machine.leaves_at < 0 && machine.unheard_since < 0 &&
                     (machine.holding || now - machine.last_report <= silent_after) &&
                     machine.count.all_sized;
    if (machine.placed > 0) {
        machine.idle_since = -1;
    } else if (machine.idle_since < 0) {
        machine.idle_since = now;
    }
}

void Cluster::recount(JobTable& jobs, Seconds now, Seconds silent_after) {
    for (const auto& name : jobs.take_changed_machines())
        if (Machine* changed = machine(name)) changed->counted = false;
    teams.clear();
    for (const auto& [id, job] : jobs.all()) {
        job->orphan = false;
        if (job->live.empty()) continue;
        auto n = static_cast<double>(job->live.size());
        TeamUse& use = teams[job->spec.team];
        use.cpus += n * job->spec.cpus;
        use.gpus += n * job->spec.gpus;
    }
    for (auto& [name, machine] : machines) {
        recount_machine(*machine, jobs, now, silent_after);
        machine->kept = {};
        machine->kept_until = 0;
        for (const auto& task : machine->count.unplaced) {
            if (Job* job = jobs.find(task.job)) job->orphan = true;
            TeamUse& use = teams[task.team];
            use.cpus += task.amount.cpus;
            use.gpus += task.amount.gpus;
        }
    }
}

bool Cluster::within_limit(const Config& config, const JobSpec& spec, uint32_t tasks, TeamUse kept) const {
    const Team* t = config.team(spec.team);
    if (!t) return false;
    auto it = teams.find(spec.team);
    TeamUse use = it == teams.end() ? TeamUse{} : it->second;
    use.cpus += kept.cpus;
    use.gpus += kept.gpus;
    if (t->cpus_max > 0 && use.cpus + tasks * spec.cpus > t->cpus_max + kEps) return false;
    return !(t->gpus_max > 0 && use.gpus + tasks * spec.gpus > t->gpus_max + kEps);
}

}  // namespace hareshore
