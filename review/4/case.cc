// Jobs of a class of small tasks come several times as often. Are they still done?
#include "../standins-2/platform.h"

using namespace site;

int main(int argc, char** argv) {
    if (argc < 4) return 2;
    signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    const double until = std::getenv("FOR_S") ? std::atof(std::getenv("FOR_S")) : 112;
    record.open(argv[3]);

    Facts facts;
    Jobs jobs;
    Nodes nodes(facts, argv[1], argv[2]);
    Store store(facts, nodes.client_ports().size());
    Cloud cloud(facts, jobs, nodes.client_ports(), 5);
    for (const auto& zone : facts.zones)
        for (int i = 0; i < 2; ++i) cloud.add_up(zone);
    nodes.start_all(store, cloud.port());
    if (!nodes.wait_ready(30)) finish(nodes, 2, "the controllers were not ready");
    while (cloud.workers().size() < 4) sleep_s(0.05);
    sleep_s(4);  // the workers have found the leader

    // Each job: a sweep of 250 tasks that take a twenty-fifth of a CPU each and run for 14 s. The class brings 3.9 jobs
    // a minute; in the burst 2.5 times as many for 60 s.
    Users users(nodes.client_ports());
    std::vector<std::string> refs;
    const double began = now();
    double next_at = began;
    size_t most_listed = 0, longest_report = 0;
    int unknown = 0;
    std::map<std::string, double> told;
    while (now() < until) {
        const bool burst = trouble && now() < began + 60;
        if (now() >= next_at && now() < began + 65) {
            JobInfo job;
            char ref[20];
            std::snprintf(ref, sizeof ref, "job-%06zu", 500 + refs.size());
            job.ref = ref;
            job.pieces = 250;
            job.vcpus = 0.04;
            job.cards = 0;
            job.memory_gb = 0.1;
            job.run_s = job.expect_s = 14;
            job.snapshot_s = job.flush_s = 0;
            jobs.add(job);
            const int status = users.submit(job);
            if (status != 201 && status != 200) finish(nodes, 2, "a job was not accepted");
            refs.push_back(job.ref);
            next_at += burst ? 15.5 / 2.5 : 15.5;
        }
        sleep_s(0.2);
        for (const auto& [name, worker] : cloud.workers()) {
            most_listed = std::max(most_listed, worker->listed());
            longest_report = std::max(longest_report, worker->longest_report());
        }
        // Each user asks about every 5 s.
        static double asked_at = 0;
        if (now() - asked_at < 5) continue;
        asked_at = now();
        for (const auto& ref : refs) {
            if (told.count(ref)) continue;
            std::string phase = users.poll(ref);
            if (phase == "done") told[ref] = now();
            unknown += phase.empty();
        }
        if (!nodes.all_alive()) finish(nodes, 2, "a controller ended by itself");
    }
    // From 3 s after the last task of a job has completed, its user expects `done`. Far beyond that: 30 s.
    int never = 0;
    std::string which;
    for (const auto& ref : refs) {
        if (told.count(ref)) continue;
        const auto completed = jobs.completed(ref);
        record.line("%s is not done for its user; its last task completed %s", ref.c_str(),
                    completed ? ("at " + std::to_string(*completed)).c_str() : "never");
        if (completed && *completed < until - 30) {
            ++never;
            which += " " + ref;
        }
    }
    char text[500];
    std::snprintf(text, sizeof text,
                  "%s: %zu jobs accepted, %zu done for their users; all tasks completed over 30 s ago but never told: %d%s; "
                  "most tasks listed by one machine: %zu, its longest report %zu bytes of JSON",
                  never ? "broken" : "held", refs.size(), told.size(), never, which.substr(0, 200).c_str(), most_listed,
                  longest_report);
    if (!never && told.size() < refs.size()) finish(nodes, 2, std::string("undecided, ") + text);
    finish(nodes, never ? 1 : 0, text);
}
