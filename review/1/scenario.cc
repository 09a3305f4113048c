// Case 1: a job's only task fails once on a machine that is faulty for a few seconds, and is never started
// again.
#include "site.h"

namespace {

using namespace review;

constexpr Seconds kLeftWaiting_s = 90;  // "no job is left waiting for 90 s"

const Worker::Piece* piece_of(Site& site, const std::string& job) {
    for (const auto& [name, machine] : site.machines)
        for (const auto& piece : machine.worker->pieces())
            if (piece.job == job) return &piece;
    return nullptr;
}

size_t running(Site& site, const std::string& job) {
    size_t count = 0;
    for (const auto& [name, machine] : site.machines)
        for (const auto& piece : machine.worker->pieces())
            if (piece.job == job && piece.phase == "running") ++count;
    return count;
}

Task<void> poll_once(Site& site, std::string job) {
    co_await site.poll(job);
}

Description whole_machine(const std::string& id, const std::string& owner, uint32_t pieces) {
    Description job;
    job.id = id;
    job.owner = owner;
    job.pieces = pieces;
    job.vcpus = 28, job.cards = 4, job.memory_gb = 200;
    job.bundle = "img-01", job.size_gb = 2;
    job.run_s = job.expect_s = 600, job.snapshot_s = 45, job.flush_s = 3;
    return job;
}

Task<int> scenario(Site& site) {
    Loop& loop = site.loop;
    site.cloud->rents_in = {"lujan-zone", "uco-zone"};
    site.cloud->boot_s = 5;
    for (int i = 0; i < 3; ++i) site.add_machine(site.settings.zones[static_cast<size_t>(i) % 2], 300);
    for (int node = 0; node < site.settings.controllers; ++node) site.start(node);
    if (!co_await site.all_reported(12)) co_return 2;

    // Two of the three machines are busy for the whole time.
    Description other = whole_machine("job-000001", "equipo-bodega", 2);
    if (!co_await site.submit(other)) co_return 2;
    Seconds patience = loop.now() + 12;
    while (running(site, other.id) < other.pieces) {
        if (loop.now() > patience || !site.all_alive()) co_return 2;
        co_await loop.sleep(0.05);
    }
    Worker* free = nullptr;
    for (const auto& [name, machine] : site.machines)
        if (machine.worker->pieces().empty()) free = machine.worker.get();
    if (!free || site.machines.size() != 3) co_return 2;
    if (trouble()) {
        free->sick = true;
        site.record.line(free->name() + " is faulty: it fails every task that it starts");
    }
    Description job = whole_machine("job-000002", "equipo-vision", 1);
    if (!co_await site.submit(job)) co_return 2;
    co_await loop.sleep(6);
    if (free->sick) {
        free->sick = false;
        site.record.line(free->name() + " is sound again; no trouble is left");
    }
    // With no trouble left, the job must run; 30 s without a stop count as a start.
    const Seconds troubles_over = loop.now();
    Seconds next_poll = troubles_over, waiting_since = troubles_over;
    while (loop.now() < troubles_over + kLeftWaiting_s + 2) {
        const Worker::Piece* piece = piece_of(site, job.id);
        if (piece && piece->phase != "exited") {
            if (piece->phase == "running" && loop.now() - piece->since > 30) co_return 0;
            waiting_since = loop.now();
        }
        if (loop.now() - waiting_since > kLeftWaiting_s) {
            site.record.line(job.id + " has waited for 90 s; " + free->name() +
                             (free->gone() ? " is gone" : "") + " has " +
                             std::to_string(free->pieces().size()) +
                             " pieces; machines rented: " + std::to_string(site.machines.size() - 3));
            co_return free->gone() || !free->pieces().empty() ? 2 : 1;
        }
        if (loop.now() >= next_poll) {
            site.tasks.spawn(poll_once(site, job.id), "poll");
            next_poll += 5;
        }
        if (!site.all_alive()) co_return 1;
        co_await loop.sleep(0.05);
    }
    co_return 2;
}

}  // namespace

int main(int argc, char** argv) {
    Settings settings;
    settings.zones = {"lujan-zone", "uco-zone"};
    for (const char* team : {"equipo-bodega", "equipo-precios", "equipo-vision"})
        settings.teams.push_back("name = \"" + std::string(team) +
                                 "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    MachineType& flavor = settings.flavor;
    flavor.name = "malbec-gpu32";
    flavor.cpus = 32, flavor.gpus = 4, flavor.memory_gb = 256;
    flavor.cache_gb = 150, flavor.fetch_gb_per_s = 1, flavor.price = 11.24, flavor.spot_price = 2.91;
    flavor.boot_s = 30, flavor.zones = settings.zones;
    return run(argc, argv, settings, scenario, 116);
}
