#include "standins/deployment.h"

#include <gtest/gtest.h>

#include <cstdlib>

#include "base/log.h"

namespace hareshore::test {

namespace {

constexpr int kCloudHost = 1;
constexpr int kFirstControllerHost = 10;
constexpr uint16_t kCloudPort = 8443;
constexpr uint16_t kUserPort = 8080;
constexpr uint16_t kPeerPort = 8081;
constexpr uint16_t kStorePort = 2379;
constexpr Seconds kUserTimeout_s = 5;
constexpr Seconds kCallTimeout_s = 10;  // on the fake clock
constexpr int kRegistrationAttempts = 20;
constexpr Seconds kRegistrationRetry_s = 0.5;
constexpr Seconds kNeverReturn_s = 3600;  // tests delete machines explicitly
constexpr int kListedAge_s = 100;

std::string label_of(int node) {
    return "node-" + std::to_string(node);
}

Config controller_config(int node, int controllers) {
    Config config;
    config.label = label_of(node);
    config.zone = std::string("a");
    config.listen = address(kFirstControllerHost + node, kUserPort);
    config.peer_listen = address(kFirstControllerHost + node, kPeerPort);
    config.cloud = address(kCloudHost, kCloudPort);
    config.store = address(kFirstControllerHost + node, kStorePort);
    config.zones = {"a", "b"};
    Team team;
    team.name = "team";
    team.gpus_max = 8;
    config.teams = {team};
    config.heartbeat_interval_s = 3;
    config.lease_s = 24;
    config.gang_wait_s = 40;
    config.gang_peer_s = 4;
    config.cancel_s = 49;
    config.store_rps = 200;
    config.write_rps = 100;
    config.value_bytes = 8192;
    config.txn_ops = 12;
    config.cloud_rps = 6;
    config.list_lag_s = 6;
    config.sockets = 200;
    for (int peer = 0; peer < controllers; ++peer)
        if (peer != node)
            config.peers.push_back({label_of(peer), "a", address(kFirstControllerHost + peer, kPeerPort)});
    return config;
}

struct PendingCall {
    std::string method, path, body;
    CallResult response;
    bool completed = false;
};

Task<void> run_call(Loop& loop, Address to, PendingCall& call) {
    HttpClient http(loop, to, 1);
    call.response = co_await http.call(std::move(call.method), std::move(call.path), std::move(call.body),
                                       kUserTimeout_s);
    call.completed = true;
}

Task<void> run_heartbeat(Loop& loop, Address to, FakeWorker& worker, int& status, bool& completed) {
    status = co_await worker.send_heartbeat(loop, to);
    completed = true;
}

}  // namespace

Deployment::Deployment(int controllers) : cloud(loop, address(kCloudHost, kCloudPort)) {
    settings.idle_return_s = settings.calm_s = kNeverReturn_s;
    const char* log_level = std::getenv("LOG_LEVEL");
    setup_log(log_level ? log_level : "error", "test");
    cloud.machine_types = {small_machine_type()};
    for (int node = 0; node < controllers; ++node) {
        configs.push_back(controller_config(node, controllers));
        store.listen_for(node, configs.back().store);
    }
    nodes.resize(static_cast<size_t>(controllers));
}

Deployment::~Deployment() {
    for (size_t node = 0; node < nodes.size(); ++node) kill(static_cast<int>(node));
    store.stop();
    cloud.stop();
    unwind(loop);
}

Controller& Deployment::start(int node) {
    auto& controller = nodes[static_cast<size_t>(node)];
    controller = std::make_unique<Controller>(loop, config(node), settings);
    return *controller;
}

void Deployment::kill(int node) {
    auto& controller = nodes[static_cast<size_t>(node)];
    if (!controller) return;
    controller->stop();
    unwind(loop);
    controller.reset();
}

bool Deployment::start_and_elect() {
    for (size_t node = 0; node < nodes.size(); ++node) start(static_cast<int>(node));
    return run_until([&] { return leader() != kNoLeader; });
}

void Deployment::run(Seconds duration) {
    loop.run_until([] { return false; }, duration);
}

int Deployment::leader() const {
    for (size_t node = 0; node < nodes.size(); ++node)
        if (nodes[node] && nodes[node]->election().leading()) return static_cast<int>(node);
    return kNoLeader;
}

CallResult Deployment::call(int node, std::string method, std::string path, std::string body) {
    PendingCall call{std::move(method), std::move(path), std::move(body), {}};
    TaskGroup group(loop);
    group.spawn(run_call(loop, config(node).listen, call), "call");
    run_until([&] { return call.completed; }, kCallTimeout_s);
    return call.response;
}

int Deployment::send_heartbeat(FakeWorker& worker, int node) {
    int status = -1;
    bool completed = false;
    TaskGroup group(loop);
    group.spawn(run_heartbeat(loop, config(node).listen, worker, status, completed), "heartbeat");
    run_until([&] { return completed; }, kCallTimeout_s);
    return status;
}

void Deployment::register_worker(FakeWorker& worker) {
    for (int i = 0; i < kRegistrationAttempts; ++i) {
        int leading = leader();
        if (leading != kNoLeader && send_heartbeat(worker, leading) == 200 &&
            worker.fencing_token == node(leading).election().fencing_token())
            return;
        run(kRegistrationRetry_s);
    }
    FAIL() << "no leader accepted the worker's heartbeat";
}

bool Deployment::launch(FakeWorker& worker, int node, const std::string& job) {
    EXPECT_EQ(call(node, "POST", "/v2/runs", job_body(job)).status, 201);
    for (int sent : {1, 2}) {
        int status = send_heartbeat(worker, node);
        EXPECT_EQ(status, 200) << "heartbeat " << sent;
    }
    return worker.find(job + "/0") != nullptr;
}

std::vector<FakeWorker> Deployment::registered_workers(size_t count) {
    std::vector<FakeWorker> workers(count);
    for (size_t i = 0; i < count; ++i) {
        workers[i].name = "vm-00000" + std::to_string(i);
        register_worker(workers[i]);
    }
    return workers;
}

void Deployment::list_machine(const FakeWorker& worker) {
    cloud.machines[worker.name] = {worker.name, worker.addr, worker.machine_type,
                                   worker.zone, worker.spot, MachinePhase::kRunning,
                                   kListedAge_s};
}

}  // namespace hareshore::test
