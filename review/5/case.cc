// One machine has the gang's image, the other fetches it a quarter slower than nominal. Does the gang ever start?
#include "../standins-2/platform.h"

using namespace site;

int main(int argc, char** argv) {
    if (argc < 4) return 2;
    signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    const double until = std::getenv("FOR_S") ? std::atof(std::getenv("FOR_S")) : 118;
    record.open(argv[3]);

    const Facts facts = dogear_books_memphis();
    Jobs jobs;
    Nodes nodes(facts, argv[1], argv[2]);
    Store store(facts, nodes.client_ports().size());
    Cloud cloud(facts, jobs, nodes.client_ports(), 8);
    for (int i = 0; i < 2; ++i) cloud.add_up("midtown-zone");
    nodes.start_all(store, cloud.port());
    if (!nodes.wait_ready(30)) finish(nodes, 2, "the controllers were not ready");
    while (cloud.workers().size() < 2) sleep_s(0.05);

    JobInfo job;
    job.ref = "job-000412";
    job.jobclass = "cover-match";
    job.owner = "photo-crew";
    job.shape = "ensemble";
    job.pieces = 2;
    job.vcpus = 14;
    job.cards = 2;
    job.memory_gb = 51;
    job.bundle = "img-covers-4";
    job.size_gb = 25;
    job.one_zone = true;
    job.driftwood = false;
    job.expect_s = job.run_s = 20;
    job.snapshot_s = 45;
    job.flush_s = 3;
    jobs.add(job);
    // vm-000001 has the image from earlier work.
    for (const auto& [name, worker] : cloud.workers()) {
        if (name == "vm-000001") worker->give_image(job.bundle);
        if (trouble) worker->set_fetch(0.75);
    }
    record.line("the machines fetch images at %.0f%% of the nominal rate", trouble ? 75.0 : 100.0);
    sleep_s(4);  // the workers have found the leader

    Users users(nodes.client_ports());
    const int status = users.submit(job);
    if (status != 201 && status != 200) finish(nodes, 2, "the job was not accepted");
    while (now() < until) {
        sleep_s(1);
        if (users.poll(job.ref) == "done") finish(nodes, 0, "held: the gang ran and its user was told");
        if (!nodes.all_alive()) finish(nodes, 2, "a controller ended by itself");
    }
    char text[300];
    std::snprintf(text, sizeof text,
                  "%s: the accepted gang was launched %d times, each time given up while its image was fetched; tasks that ran: %d",
                  jobs.starts ? "undecided" : "broken", jobs.launches.load() / 2, jobs.starts.load());
    finish(nodes, jobs.starts ? 2 : 1, text);
}
