#include "scenario/fault_scenario.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hareshore::test {

namespace {

constexpr int kFirstStoreProxyHost = 20;
constexpr int kFirstPeerProxyHost = 100;
constexpr int kPeerProxyHostsPerNode = 10;
constexpr uint16_t kStorePort = 2379;
constexpr uint16_t kPeerPort = 8081;
constexpr Seconds kStartupTime_s = 9;  // until the first machines have sent heartbeats
constexpr Seconds kElectionTimeout_s = 40;
constexpr Seconds kRunningTime_s = 4;      // of a started job before a script continues
constexpr Seconds kRetryInterval_s = 0.3;  // before the request goes to the next controller
constexpr Seconds kKilledNodePause_s = 0.1;
constexpr Seconds kInvariantCheckInterval_s = 0.1;
constexpr Seconds kFinalRecordsTime_s = 4;     // until the final records of all finished jobs are written
constexpr Seconds kReplicasTimeout_s = 90;     // until all replicas of a service run
constexpr Seconds kServiceStopTimeout_s = 10;  // until a cancelled service has stopped
constexpr int kMinMachines = 3;                // once the faults have ended
constexpr size_t kTeamGpus = 8;

std::string zone_of(int number) {
    return number % 2 == 1 ? "b" : "a";
}

int node_number(const std::string& label) {
    return label.back() - '0';
}

}  // namespace

ScenarioParts::ScenarioParts(int controllers) : deployment(controllers), fleet(deployment, jobs) {}

FaultScenario::FaultScenario(int controllers, int machines, int old_version_node)
    : ScenarioParts(controllers), old_version_node_(old_version_node), scope_(deployment.loop) {
    for (int node = 0; node < controllers; ++node) {
        place_proxies(node);
        deployment.start(node);
    }
    EXPECT_TRUE(deployment.run_until([&] { return deployment.leader() != kNoLeader; }));
    for (int i = 0; i < machines; ++i) fleet.add("vm-00010" + std::to_string(i), zone_of(i));
    scope_.spawn(watch_invariants(), "invariants");
    deployment.run(kStartupTime_s);
}

FaultScenario::~FaultScenario() {
    scope_.cancel();
    fleet.stop();
    for (auto& proxy : store_proxies) proxy->server.stop();
    for (auto& [endpoints, proxy] : peer_proxies) proxy->scope.cancel();
    unwind(deployment.loop);
}

void FaultScenario::place_proxies(int node) {
    Config& config = deployment.config(node);
    config.store = address(kFirstStoreProxyHost + node, kStorePort);
    store_proxies.push_back(std::make_unique<StoreProxy>(deployment.loop, deployment.store, config.store));
    for (auto& peer : config.peers) {
        int other = node_number(peer.label);
        Address listen = address(kFirstPeerProxyHost + kPeerProxyHostsPerNode * node + other, kPeerPort);
        auto& proxy = peer_proxies[{node, other}];
        proxy = std::make_unique<PeerProxy>(deployment.loop, listen, peer.addr);
        proxy->old_version = node == old_version_node_ || other == old_version_node_;
        peer.addr = listen;
    }
}

std::string FaultScenario::call_any_controller(const std::string& method, const std::string& path,
                                               const std::string& body, Seconds timeout) {
    Seconds end = deployment.loop.now() + timeout;
    for (size_t i = next_node_++; deployment.loop.now() < end; ++i) {
        size_t node = i % deployment.nodes.size();
        if (!deployment.nodes[node]) {
            deployment.run(kKilledNodePause_s);
            continue;
        }
        CallResult response = deployment.call(static_cast<int>(node), method, path, body);
        if (response.status == 200 || response.status == 201) return phase_of(response);
        EXPECT_NE(response.status, 400) << path;
        EXPECT_NE(response.status, 422) << path;
        if (!jobs.accepted.empty() && path != "/v2/runs") {
            EXPECT_NE(response.status, 404) << path;
        }
        deployment.run(kRetryInterval_s);
    }
    return "";
}

std::string FaultScenario::submit(const std::string& id, uint32_t tasks, Seconds run_s,
                                  const JobFieldsChange& change) {
    jobs.register_job(id, tasks, run_s, change);
    std::string phase = call_any_controller("POST", "/v2/runs", jobs.bodies[id]);
    if (!phase.empty()) jobs.accepted.insert(id);
    return phase;
}

void FaultScenario::submit_service(const std::string& id, uint32_t replicas) {
    jobs.register_service(id, replicas);
    EXPECT_NE(call_any_controller("POST", "/v2/runs", jobs.bodies[id]), "") << "the service was not accepted";
}

void FaultScenario::cancel(const std::string& id, Seconds timeout) {
    std::string phase = call_any_controller("POST", "/v2/runs/" + id + "/withdraw", "", timeout);
    if (phase == "withdrawn") jobs.cancelled.emplace(id, deployment.loop.now());
    if (!phase.empty()) jobs.check_reported_phase(id, phase);
}

void FaultScenario::poll(const std::string& id) {
    std::string phase = call_any_controller("GET", "/v2/runs/" + id);
    EXPECT_NE(phase, "") << "no controller responded to the poll of " << id;
    jobs.check_reported_phase(id, phase);
}

int FaultScenario::await_leader() {
    EXPECT_TRUE(deployment.run_until([&] { return deployment.leader() != kNoLeader; }, kElectionTimeout_s));
    return std::max(0, deployment.leader());
}

bool FaultScenario::await_start(const std::string& job, Seconds timeout) {
    return deployment.run_until([&] { return fleet.machine_running(job) != nullptr; }, timeout);
}

bool FaultScenario::start_job(const std::string& id, uint32_t tasks, Seconds run_s) {
    submit(id, tasks, run_s);
    if (!await_start(id)) return false;
    deployment.run(kRunningTime_s);
    return true;
}

void FaultScenario::start_all_killed() {
    for (size_t node = 0; node < deployment.nodes.size(); ++node)
        if (!deployment.nodes[node]) deployment.start(static_cast<int>(node));
}

void FaultScenario::kill_leader() {
    int leader = deployment.leader();
    if (leader != kNoLeader) deployment.kill(leader);
}

void FaultScenario::begin_store_outage() {
    deployment.store.down = true;
}

void FaultScenario::end_store_outage() {
    deployment.store.down = false;
    deployment.store.renew_all_leases();
}

void FaultScenario::deny_store_access(int node) {
    store_proxies[static_cast<size_t>(node)]->mode = StoreProxy::Mode::kRefuse;
}

void FaultScenario::restore_store_access(int node) {
    store_proxies[static_cast<size_t>(node)]->mode = StoreProxy::Mode::kForward;
}

void FaultScenario::set_peer_proxies_blocked(int node, bool blocked) {
    for (auto& [endpoints, proxy] : peer_proxies)
        if (endpoints.first == node || endpoints.second == node) proxy->blocked = blocked;
}

void FaultScenario::apply_held_transactions() {
    for (const auto& body : std::exchange(deployment.store.held_transactions, {}))
        deployment.store.apply(body);
}

void FaultScenario::end_all_faults() {
    if (deployment.store.down) end_store_outage();
    deployment.cloud.down = false;
    deployment.store.transaction_filter = {};
    fleet.delay_commands({});
    for (auto& proxy : store_proxies) proxy->clear_faults();
    if (old_version_node_ != kNoOldVersionNode) {
        deployment.kill(old_version_node_);  // it restarts as the current version
        for (auto& [endpoints, proxy] : peer_proxies) proxy->old_version = false;
    }
    for (auto& [endpoints, proxy] : peer_proxies) proxy->blocked = false;
    for (auto& machine : fleet.machines()) machine->end_all_faults();
    start_all_killed();
}

void FaultScenario::end_faults_and_check(Seconds timeout) {
    end_all_faults();
    for (int number = fleet.live_machines(); number < kMinMachines; ++number)
        fleet.add("vm-00020" + std::to_string(number), zone_of(number));
    auto all_finished = [&] {
        return std::all_of(jobs.accepted.begin(), jobs.accepted.end(),
                           [&](const auto& id) { return jobs.finished(id); });
    };
    EXPECT_TRUE(deployment.run_until(all_finished, timeout))
        << "jobs have not finished although machines are available";
    for (const auto& id : jobs.accepted)
        if (!jobs.finished(id)) ADD_FAILURE() << id << " did not finish";
    deployment.run(kFinalRecordsTime_s);
    check_jobs_finished();
    check_and_cancel_services();
    EXPECT_TRUE(fleet.launched_after_cancellation().empty())
        << fleet.launched_after_cancellation().front()
        << " was launched after its job's cancellation was confirmed";
}

void FaultScenario::check_jobs_finished() {
    for (const auto& id : jobs.accepted) {
        poll(id);
        jobs.check_reported_phase(id, call_any_controller("POST", "/v2/runs", jobs.bodies[id]));
        EXPECT_TRUE(jobs.final_phases.contains(id)) << id << " has no final phase";
        EXPECT_FALSE(fleet.machine_running(id)) << id << " has finished but still runs on a machine";
    }
    EXPECT_EQ(deployment.call(await_leader(), "GET", "/v2/runs/job-999").status, 404) << "unknown job";
}

void FaultScenario::check_and_cancel_services() {
    for (const auto& [id, replicas] : jobs.services) {
        EXPECT_TRUE(deployment.run_until(
            [&, &id = id, expected = replicas] { return fleet.replicas_up(id) == expected; },
            kReplicasTimeout_s))
            << id << " does not run all of its replicas";
        cancel(id);
        EXPECT_TRUE(
            deployment.run_until([&, &id = id] { return !fleet.machine_running(id); }, kServiceStopTimeout_s))
            << id << " is cancelled but still runs";
    }
}

Task<void> FaultScenario::watch_invariants() {
    while (true) {
        fleet.advance();
        check_invariants();
        co_await deployment.loop.sleep(kInvariantCheckInterval_s);
    }
}

void FaultScenario::check_invariants() {
    Seconds now = deployment.loop.now();
    std::map<std::string, std::string> machine_of_task;
    std::map<std::string, std::string> zone_of_job;
    size_t gpus = 0;
    for (const auto& machine : fleet.machines()) {
        const FakeWorker& worker = machine->worker;
        for (const auto& task : worker.tasks) {
            if (task.phase == TaskPhase::kExited) continue;
            const std::string& job = task.name.job;
            std::string name = task.name.text();
            if (!jobs.services.contains(job)) ++gpus;
            if (jobs.single_zone.contains(job) &&
                zone_of_job.emplace(job, worker.zone).first->second != worker.zone)
                ADD_FAILURE() << name << " runs outside its job's zone";
            if (!machine_of_task.emplace(name, worker.name).second)
                ADD_FAILURE() << name << " runs twice, on " << machine_of_task[name] << " and "
                              << worker.name;
            auto cancelled = jobs.cancelled.find(job);
            if (cancelled != jobs.cancelled.end() && now > cancelled->second + deployment.config(0).cancel_s)
                ADD_FAILURE() << name << " on " << worker.name << " still runs after its cancellation, at "
                              << now;
        }
    }
    EXPECT_LE(gpus, kTeamGpus) << "the team exceeds its GPU limit";
}

}  // namespace hareshore::test
