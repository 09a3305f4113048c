// Case 3: a job is cancelled, one of its machines hangs, and the leading controller ends every 12 s.
#include "site.h"

namespace {

using namespace review;

constexpr Seconds kBetweenEnds_s = 12.0;  // "ten times in two minutes"
constexpr int kEnds = 4;

// The pieces of the job that are on a machine.
std::string on_machines(Site& site, const std::string& job) {
    std::string found;
    for (const auto& [name, machine] : site.machines) {
        if (machine.worker->gone()) continue;
        for (const auto& piece : machine.worker->pieces())
            if (piece.job == job && piece.present()) found += " " + piece.name() + " on " + name;
    }
    return found;
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

Task<int> scenario(Site& site) {
    Loop& loop = site.loop;
    for (int i = 0; i < 6; ++i) site.add_machine(site.settings.zones[static_cast<size_t>(i) % 2], 300);
    for (int node = 0; node < site.settings.controllers; ++node) site.start(node);
    if (!co_await site.all_reported(15)) co_return 2;

    Description job;
    job.id = "job-000001";
    job.owner = "equipo-vision";
    job.pieces = 4;
    job.vcpus = 28, job.cards = 4, job.memory_gb = 200;
    job.bundle = "img-01", job.size_gb = 2;
    job.run_s = job.expect_s = 600, job.snapshot_s = 45, job.flush_s = 3;
    if (!co_await site.submit(job)) co_return 2;
    Seconds patience = loop.now() + 25;
    while (running(site, job.id) < job.pieces) {
        if (loop.now() > patience || !site.all_alive()) co_return 2;
        co_await loop.sleep(0.1);
    }
    co_await loop.sleep(3);

    Worker* hanging = nullptr;
    for (const auto& [name, machine] : site.machines)
        if (!machine.worker->pieces().empty()) hanging = machine.worker.get();
    hanging->hang();
    co_await loop.sleep(0.5);
    std::string phase = co_await site.cancel(job.id);
    const Seconds told = loop.now();
    if (phase != "withdrawn") co_return 2;

    int ends = 0;
    Seconds next_poll = told + 5;
    while (loop.now() <= told + site.settings.cancel_s + 0.25) {
        if (trouble() && ends < kEnds && loop.now() >= told + 1 + ends * kBetweenEnds_s) {
            const int leader = co_await site.find_leader();
            if (leader < 0) {
                site.record.line("no leader is known");
                co_return 2;
            }
            ++ends;
            site.record.line("the leading controller is killed");
            site.kill_and_return(leader, 4.0);
        }
        if (loop.now() >= next_poll) {
            site.tasks.spawn(poll_once(site, job.id), "poll");
            next_poll += 5;
        }
        if (!site.all_alive()) co_return 1;
        co_await loop.sleep(0.05);
    }
    const std::string left = on_machines(site, job.id);
    site.record.line("cancel_s and 0.25 s after the answer, on machines:" + (left.empty() ? " none" : left));
    if (left.empty()) co_return 0;
    while (!on_machines(site, job.id).empty() && loop.now() < told + 65) co_await loop.sleep(0.05);
    site.record.line("the last piece was gone " + std::to_string(loop.now() - told) + " s after the answer");
    co_return 1;
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
    return run(argc, argv, settings, scenario, 110);
}
