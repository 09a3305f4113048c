// A deployment of real controllers, which tests can start and kill, with stand-ins for the key-value store
// and the cloud. It runs on a fake clock.
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
    // Configures `controllers` controllers named "node-0", "node-1" and so on in zone "a" without starting
    // them.
    explicit Deployment(int controllers = 1);
    ~Deployment();

    Controller& start(int node);
    // Simulates the end of a process by cancelling all its coroutines.
    void kill(int node);
    // Starts all controllers and waits for a leader. Returns whether one was elected.
    [[nodiscard]] bool start_and_elect();

    // Runs the loop for this long on the fake clock.
    void run(Seconds duration);
    // Runs the loop until the condition holds. Returns whether it did within the timeout.
    template <class Condition>
    bool run_until(Condition condition, Seconds timeout = 30) {
        return loop.run_until(condition, timeout);
    }

    [[nodiscard]] int leader() const;  // or kNoLeader
    [[nodiscard]] Controller& node(int node) { return *nodes[static_cast<size_t>(node)]; }
    [[nodiscard]] Config& config(int node) { return configs[static_cast<size_t>(node)]; }

    // Sends a user's request and returns the response.
    CallResult call(int node, std::string method, std::string path, std::string body = "");
    // Sends a worker's heartbeat and returns the status of the response.
    int send_heartbeat(FakeWorker& worker, int node);
    // Sends heartbeats to the leader until one is answered 200 and the worker has the leader's fencing token.
    void register_worker(FakeWorker& worker);
    // Submits a job of one task to this node, which must be the leader, and sends the two heartbeats that
    // launch it. Returns whether the worker runs the task; no other worker may have room for it.
    [[nodiscard]] bool launch(FakeWorker& worker, int node, const std::string& job);
    // Returns `count` workers named vm-000000, vm-000001 and so on, all registered with the leader.
    std::vector<FakeWorker> registered_workers(size_t count);
    // Adds the worker's machine to the cloud's list as running.
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
