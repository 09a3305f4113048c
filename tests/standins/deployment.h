// A deployment: controllers that can be started and killed, with stand-ins for the key-value store and the
// cloud, on a fake clock.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controller/controller.h"
#include "http/client.h"
#include "standins/addresses.h"
#include "standins/cloud.h"
#include "standins/job_bodies.h"
#include "standins/messages.h"
#include "standins/store.h"
#include "standins/unwind.h"
#include "standins/worker.h"

namespace hareshore::test {

constexpr int kNoLeader = -1;

struct Deployment {
    // Configures `controllers` controllers, "node-0" and so on, of zone "a"; none is started.
    explicit Deployment(int controllers = 1);
    ~Deployment();

    Controller& start(int node);
    // A process's end is played by cancelling its routines.
    void kill(int node);
    // Starts all controllers and waits until one of them leads; whether one does.
    [[nodiscard]] bool start_and_elect();

    // Lets time pass.
    void run(Seconds duration);
    // Runs until the condition holds; whether it does within `most`.
    template <class Condition>
    bool run_until(Condition condition, Seconds most = 30) {
        return loop.run_until(condition, most);
    }

    [[nodiscard]] int leader() const;  // or kNoLeader
    [[nodiscard]] Controller& node(int node) { return *nodes[static_cast<size_t>(node)]; }
    [[nodiscard]] Config& config(int node) { return configs[static_cast<size_t>(node)]; }

    // A user's request and the answer to it.
    CallResult call(int node, std::string method, std::string path, std::string body = "");
    // Sends a worker's report; the status of the answer.
    int send_heartbeat(FakeWorker& worker, int node);
    // Reports to whoever leads until it is answered 200 with this epoch known.
    void register_worker(FakeWorker& worker);
    // Submits a job of one task at this node, which leads, and reports until the worker runs the task;
    // whether it does. Nobody else may have room for it.
    [[nodiscard]] bool launch(FakeWorker& worker, int node, const std::string& job);
    // `count` workers that the leader knows, vm-000000 and so on.
    std::vector<FakeWorker> registered_workers(size_t count);
    // The cloud lists the worker's machine as running.
    void list_machine(const FakeWorker& worker);

    FakeClock clock;
    Loop loop{clock};
    FakeStore store{loop};
    FakeCloud cloud;
    std::vector<Config> configs;
    Settings settings;
    std::vector<std::unique_ptr<Controller>> nodes;
};

}  // namespace hareshore::test
