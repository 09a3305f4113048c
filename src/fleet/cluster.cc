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

void Cluster::recount(JobTable& jobs, Seconds now, Seconds silent_after) {
    teams.clear();
    for (auto& [name, h] : machines) {
        const MachineType* f = machine_type(h->machine_type);
        h->free = f ? Amount{f->cpus, f->gpus, f->memory_gb} : Amount{};
        if (f) h->cache.set_capacity(f->cache_gb);
        h->kept = {};
        h->kept_until = 0;
        h->placed = 0;
        h->usable = f && h->current && !h->condemned && !h->deleting && !h->emptying && h->leaves_at < 0 &&
                    h->unheard_since < 0 && (h->holding || now - h->last_report <= silent_after);
    }
    for (const auto& [id, job] : jobs.all()) {
        job->orphan = false;
        if (job->live.empty()) continue;
        auto n = static_cast<double>(job->live.size());
        teams[job->spec.team].cpus += n * job->spec.cpus;
        teams[job->spec.team].gpus += n * job->spec.gpus;
    }
    for (auto& [name, h] : machines) {
        for (const auto& r : jobs.on_machine(name)) {
            h->free -= Amount::of(r.job->spec);
            ++h->placed;
        }
        for (const auto& t : h->tasks) {
            if (t.phase == TaskPhase::kExited) continue;
            Job* job = jobs.find(t.name.job);
            if (job) {
                auto it = job->live.find(t.name.task);
                if (it != job->live.end() && it->second.machine == name) continue;  // counted above
                job->orphan = true;
            }
            h->free -= t.amount;
            ++h->placed;
            teams[t.team].cpus += t.amount.cpus;
            teams[t.team].gpus += t.amount.gpus;
            if (!t.sized) h->usable = false;  // what it takes is not known
        }
        if (h->placed > 0) {
            h->idle_since = -1;
        } else if (h->idle_since < 0) {
            h->idle_since = now;
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
