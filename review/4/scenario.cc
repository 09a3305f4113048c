// An accepted job meets one machine that fails every task. Does it ever run again?
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
    cloud.add_up("lujan-zone");
    nodes.start_all(store, cloud.port());
    if (!nodes.wait_ready(15)) finish(nodes, 2, "the controllers were not ready");
    while (cloud.workers().empty()) sleep_s(0.05);
    sleep_s(4);  // the worker has found the leader

    auto first = cloud.workers().begin()->second;
    first->set_sick(trouble);
    if (trouble) record.line("from now on for 40 s vm-000001 fails every task that it starts");
    const double sick_until = now() + 40;

    JobInfo job;
    job.ref = "job-000412";
    jobs.add(job);
    Users users(nodes.client_ports());
    const int status = users.submit(job);
    if (status != 201 && status != 200) finish(nodes, 2, "the job was not accepted");

    double failed_at = 0, well_at = 0;
    while (now() < until) {
        sleep_s(1);
        if (trouble && well_at == 0 && now() > sick_until) {
            first->set_sick(false);
            well_at = now();
            record.line("vm-000001 is well again");
        }
        if (failed_at == 0 && jobs.launches > 0 && jobs.starts == 0) failed_at = now();
        if (users.poll(job.ref) == "done") finish(nodes, 0, "held: the job ran and its user was told");
        if (!nodes.all_alive()) finish(nodes, 2, "a controller ended by itself");
    }
    char text[300];
    std::snprintf(text, sizeof text,
                  "broken: the accepted job was launched %d times and has waited ever since, %.0f s; machines rented "
                  "for it: %d",
                  jobs.launches.load(), now() - failed_at, cloud.rented());
    finish(nodes, 1, text);
}
