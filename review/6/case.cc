// A service holds part of its team's limit, a gang waits for more than the rest. A machine with tasks of a third job
// of the team is taken back. Do these tasks ever run again?
#include "../standins-2/platform.h"

using namespace site;

int main(int argc, char** argv) {
    if (argc < 4) return 2;
    signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    const double until = std::getenv("FOR_S") ? std::atof(std::getenv("FOR_S")) : 116;
    record.open(argv[3]);

    const Facts facts = dogear_books_memphis();  // listings-crew: 24 GPUs at most
    Jobs jobs;
    Nodes nodes(facts, argv[1], argv[2]);
    Store store(facts, nodes.client_ports().size());
    Cloud cloud(facts, jobs, nodes.client_ports(), 8);
    for (int i = 0; i < 5; ++i) cloud.add_up("midtown-zone");
    for (int i = 0; i < 4; ++i) cloud.add_up("rented-zone", true);
    nodes.start_all(store, cloud.port());
    if (!nodes.wait_ready(30)) finish(nodes, 2, "the controllers were not ready");
    while (cloud.workers().size() < 9) sleep_s(0.05);
    sleep_s(4);  // the workers have found the leader

    JobInfo service;  // 10 GPUs
    service.ref = "job-000400";
    service.jobclass = "shelf-api";
    service.owner = "listings-crew";
    service.shape = "standing";
    service.rank = "production";
    service.pieces = 5;
    service.vcpus = 14;
    service.cards = 2;
    service.memory_gb = 51;
    service.bundle = "img-shelf-0";
    service.size_gb = 1;
    service.driftwood = false;
    service.expect_s = service.snapshot_s = service.flush_s = 0;
    service.run_s = 1e6;  // until it is stopped

    JobInfo grade = service;  // 8 GPUs
    grade.ref = "job-000401";
    grade.jobclass = "spine-grade";
    grade.shape = "sweep";
    grade.rank = "idle";
    grade.pieces = 8;
    grade.vcpus = 6;
    grade.cards = 1;
    grade.memory_gb = 24;
    grade.bundle = "img-grade-0";
    grade.size_gb = 2;
    grade.driftwood = true;
    grade.expect_s = grade.run_s = 20;

    JobInfo match = service;  // 16 GPUs
    match.ref = "job-000402";
    match.jobclass = "cover-match";
    match.shape = "ensemble";
    match.rank = "standard";
    match.pieces = 8;
    match.bundle = "img-covers-0";
    match.one_zone = true;
    match.expect_s = match.run_s = 60;
    match.snapshot_s = 45;
    match.flush_s = 3;

    Users users(nodes.client_ports());
    auto submit = [&](const JobInfo& job) {
        jobs.add(job);
        const int status = users.submit(job);
        if (status != 201 && status != 200) finish(nodes, 2, "a job was not accepted");
    };
    auto live = [&](const JobInfo& job) {
        size_t n = 0;
        for (const auto& [name, worker] : cloud.workers()) n += worker->live(job.ref);
        return n;
    };
    submit(service);
    for (double end = now() + 15; live(service) < 5 && now() < end;) sleep_s(0.1);
    submit(grade);
    for (double end = now() + 15; live(grade) < 8 && now() < end;) sleep_s(0.1);
    if (live(service) < 5 || live(grade) < 8) finish(nodes, 2, "the first two jobs were not started");
    submit(match);
    sleep_s(3);
    if (trouble) {  // one of four cheap machines
        std::string taken;
        for (const auto& [name, worker] : cloud.workers())
            if (worker->live(grade.ref) == 2) taken = name;
        if (taken.empty()) finish(nodes, 2, "no machine has two tasks of the array");
        cloud.take_back(taken);
    }
    const double from = now();
    while (now() < until) {
        sleep_s(1);
        users.poll(match.ref);
        if (users.poll(grade.ref) == "done") finish(nodes, 0, "held: the array ran and its user was told");
        if (!nodes.all_alive()) finish(nodes, 2, "a controller ended by itself");
    }
    size_t empty = 0;
    for (const auto& [name, worker] : cloud.workers()) empty += worker->listed() == 0;
    char text[400];
    std::snprintf(text, sizeof text,
                  "broken: %.0f s after the cloud took a machine back, its tasks of the accepted array have not begun again: "
                  "tasks begun %d, on machines now: service %zu, gang %zu, array %zu; empty machines %zu",
                  now() - from, jobs.starts.load(), live(service), live(match), live(grade), empty);
    finish(nodes, live(grade) ? 2 : 1, text);
}
