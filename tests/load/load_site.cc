// A load generator for measuring the resource usage of a controller in real time on loopback: stand-ins for
// the key-value store and the cloud, workers that send heartbeats and run tasks, and users that submit and
// poll jobs. It writes a settings file for each controller; the controllers are started separately, see
// measure-costs.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <random>

#include "standins/deployment.h"

namespace hareshore::test {

namespace {

struct LoadOptions {
    int controllers = 1;
    int workers = 200;
    double heartbeat_interval_s = 5;  // mean interval between a worker's heartbeats
    double task_s = 60;               // run time of a task
    double jobs_per_s = 0;            // submission rate of job arrays with tasks_per_job tasks
    int tasks_per_job = 4;
    int pollers = 0;    // users that poll a job repeatedly
    double poll_s = 5;  // interval between a user's polls
    double for_s = 30;  // run time of the load generator
    int sockets = 800;
    std::string directory = ".";  // for the settings files
};

constexpr int kStoreHost = 1;
constexpr int kFirstControllerHost = 10;
constexpr uint16_t kStorePort = 2379;
constexpr uint16_t kCloudPort = 8443;
constexpr uint16_t kUserPort = 8080;
constexpr uint16_t kPeerPort = 8081;

Address controller_address(int controller) {
    return address(kFirstControllerHost + controller, kUserPort);
}

void write_settings(const LoadOptions& options, int controller) {
    std::ofstream out(options.directory + "/controller-" + std::to_string(controller) + ".toml");
    out << "label = \"controller-" << controller << "\"\nsite = \"a\"\n"
        << "client_listen = \"" << text_of(controller_address(controller)) << "\"\n"
        << "back = \"" << text_of(address(kFirstControllerHost + controller, kPeerPort)) << "\"\n";
    for (int peer = 0; peer < options.controllers; ++peer)
        if (peer != controller)
            out << "[[siblings]]\nlabel = \"controller-" << peer << "\"\nsite = \"a\"\naddr = \""
                << text_of(address(kFirstControllerHost + peer, kPeerPort)) << "\"\n";
    out << "[endpoints]\ncloud = \"" << text_of(address(kStoreHost, kCloudPort)) << "\"\nstate = \""
        << text_of(address(kStoreHost, kStorePort)) << "\"\n"
        << "[facts]\nnodes = " << options.controllers << "\nzones = [\"a\", \"b\"]\nskew_ms = 100.0\n"
        << "[[facts.teams]]\nname = \"team\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"
        << "[facts.workers]\nreport_s = " << options.heartbeat_interval_s
        << "\nlease_s = 24.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = 49.0\n"
        << "[facts.state]\nrps = 2000.0\nwrite_rps = 500.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
        << "[facts.cloud]\nrps = 12.0\nlist_lag_s = 6.0\n"
        << "[facts.machine_limits]\ncores = 1.0\nram_mb = 512.0\nsockets = " << options.sockets << "\n";
}

// A worker that keeps its connection open, follows redirects and ends its tasks after their run time.
class LoadWorker {
  public:
    LoadWorker(Loop& loop, const LoadOptions& options, int number) : loop_(loop), options_(options) {
        worker_.name = fmt::format("vm-{:06}", number);
        worker_.addr = text_of(address(kStoreHost, kCloudPort));
        worker_.zone = number % 2 == 0 ? "a" : "b";
        controller_ = number % options.controllers;
    }

    Task<void> run() {
        std::mt19937 random(std::hash<std::string>{}(worker_.name));
        std::uniform_real_distribution<double> spread(0.75, 1.25);
        co_await loop_.sleep(options_.heartbeat_interval_s * (spread(random) - 0.75) * 2);
        while (true) {
            bool accepted = co_await send_heartbeat();
            end_tasks();
            co_await loop_.sleep(accepted ? options_.heartbeat_interval_s * spread(random) : 1.0);
        }
    }

  private:
    Task<bool> send_heartbeat() {
        if (!client_) client_ = std::make_unique<HttpClient>(loop_, controller_address(controller_), 1);
        CallResult response = co_await client_->call("POST", "/hello", worker_.next_heartbeat(), 4.0);
        if (response.status == 200) {
            worker_.execute_commands(response.body);
            for (const auto& task : worker_.tasks) started_.try_emplace(task.name.text(), loop_.now());
            co_return true;
        }
        auto redirect = MsgpackDocument::parse(response.body);
        std::string to = redirect ? redirect->root()["harbor"].text_or("") : "";
        auto dash = to.rfind('-');
        controller_ = dash == std::string::npos ? (controller_ + 1) % options_.controllers
                                                : std::stoi(to.substr(dash + 1));
        client_.reset();
        co_return false;
    }

    void end_tasks() {
        for (auto& task : worker_.tasks) {
            if (task.phase != TaskPhase::kRunning) continue;
            if (loop_.now() - started_[task.name.text()] < options_.task_s) continue;
            exit_task(task, ExitCause::kDone);
        }
    }

    Loop& loop_;
    const LoadOptions& options_;
    FakeWorker worker_;
    int controller_;
    std::map<std::string, Seconds> started_;
    std::unique_ptr<HttpClient> client_;
};

struct UserCounts {
    int submissions = 0, accepted = 0, polls = 0, successful_polls = 0;
};

Task<void> submit_jobs(Loop& loop, const LoadOptions& options, UserCounts& counts) {
    HttpClient client(loop, controller_address(0), 4);
    while (options.jobs_per_s > 0) {
        co_await loop.sleep(1 / options.jobs_per_s);
        auto id = fmt::format("job-{:06}", ++counts.submissions);
        auto body = job_body(id, [&](JobFields& fields) {
            MsgpackWriter tasks;
            fields["pieces"] = tasks.count(static_cast<uint64_t>(options.tasks_per_job)).take();
        });
        CallResult response = co_await client.call("POST", "/v2/runs", body, 5.0);
        if (response.status == 201) ++counts.accepted;
    }
}

Task<void> poll(Loop& loop, const LoadOptions& options, int number, UserCounts& counts) {
    HttpClient client(loop, controller_address(number % options.controllers), 1);
    co_await loop.sleep(options.poll_s * number / std::max(1, options.pollers));
    while (true) {
        int job = 1 + number % std::max(1, counts.submissions);
        CallResult response = co_await client.call("GET", fmt::format("/v2/runs/job-{:06}", job), "", 2.0);
        ++counts.polls;
        if (response.status == 200) ++counts.successful_polls;
        co_await loop.sleep(options.poll_s);
    }
}

void run_load(const LoadOptions& options) {
    SystemClock clock;
    Loop loop(clock);
    FakeStore store(loop);
    store.listen_for(0, address(kStoreHost, kStorePort));
    FakeCloud cloud(loop, address(kStoreHost, kCloudPort));
    cloud.machine_types = {small_machine_type()};
    for (int controller = 0; controller < options.controllers; ++controller)
        write_settings(options, controller);
    std::vector<std::unique_ptr<LoadWorker>> workers;
    UserCounts counts;
    TaskGroup group(loop);
    for (int number = 0; number < options.workers; ++number) {
        workers.push_back(std::make_unique<LoadWorker>(loop, options, number));
        group.spawn(workers.back()->run(), "worker");
    }
    group.spawn(submit_jobs(loop, options, counts), "submissions");
    for (int number = 0; number < options.pollers; ++number)
        group.spawn(poll(loop, options, number, counts), "poll");
    loop.run_until([] { return false; }, options.for_s);
    std::cout << counts.accepted << " of " << counts.submissions << " submissions accepted, "
              << counts.successful_polls << " of " << counts.polls << " polls answered\n";
    group.cancel();
    store.stop();
    cloud.stop();
    unwind(loop);
}

}  // namespace

}  // namespace hareshore::test

int main(int argc, char** argv) {
    hareshore::test::LoadOptions options;
    CLI::App app{"Generates load for measuring controllers"};
    app.add_option("--controllers", options.controllers, "settings files to write");
    app.add_option("--workers", options.workers, "machines that send heartbeats");
    app.add_option("--report-s", options.heartbeat_interval_s, "mean interval between a worker's heartbeats");
    app.add_option("--task-s", options.task_s, "run time of a task");
    app.add_option("--jobs-per-s", options.jobs_per_s, "submissions per second");
    app.add_option("--tasks-per-job", options.tasks_per_job, "tasks of each job");
    app.add_option("--pollers", options.pollers, "users that poll");
    app.add_option("--poll-s", options.poll_s, "interval between a user's polls");
    app.add_option("--for-s", options.for_s, "run time of the load generator");
    app.add_option("--sockets", options.sockets, "socket limit of each controller");
    app.add_option("--directory", options.directory, "directory for the settings files");
    CLI11_PARSE(app, argc, argv);
    hareshore::test::run_load(options);
    return 0;
}
