#include "scenario/fault_scenario.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hareshore::test {

namespace {

constexpr int kFirstProxyHost = 20;
constexpr int kFirstLinkHost = 100;
constexpr int kLinkHostsPerNode = 10;
constexpr uint16_t kStorePort = 2379;
constexpr uint16_t kPeerPort = 8081;
constexpr Seconds kStartUp_s = 9;  // until the first machines have reported
constexpr Seconds kElection_s = 40;
constexpr Seconds kAskPause_s = 0.3;  // before the next controller is asked
constexpr Seconds kDeadNodePause_s = 0.1;
constexpr Seconds kWatchStep_s = 0.1;
constexpr Seconds kSettled_s = 4;    // for records of jobs that are over
constexpr Seconds kReplicas_s = 90;  // for all replicas of a service to run
constexpr Seconds kStop_s = 10;      // for a cancelled service to be stopped
constexpr int kLeastMachines = 3;    // once the faults are over
constexpr size_t kTeamGpus = 8;

std::string zone_of(int number) {
    return number % 2 == 1 ? "b" : "a";
}

int node_number(const std::string& label) {
    return label.back() - '0';
}

}  // namespace

ScenarioParts::ScenarioParts(int controllers) : deployment(controllers), fleet(deployment, jobs) {}

FaultScenario::FaultScenario(int controllers, int machines, int old_node)
    : ScenarioParts(controllers), old_node_(old_node), scope_(deployment.loop) {
    for (int node = 0; node < controllers; ++node) {
        place_proxies(node);
        deployment.start(node);
    }
    EXPECT_TRUE(deployment.until([&] { return deployment.leader() != kNoLeader; }));
    for (int i = 0; i < machines; ++i) fleet.add("vm-00010" + std::to_string(i), zone_of(i));
    scope_.spawn(watch_rules(), "rules");
    deployment.run(kStartUp_s);
}

FaultScenario::~FaultScenario() {
    scope_.cancel();
    fleet.stop();
    for (auto& proxy : store_proxies) proxy->server.stop();
    for (auto& [ends, link] : links) link->scope.cancel();
    unwind(deployment.loop);
}

void FaultScenario::place_proxies(int node) {
    Config& config = deployment.config(node);
    config.store = address(kFirstProxyHost + node, kStorePort);
    store_proxies.push_back(std::make_unique<StoreProxy>(deployment.loop, deployment.store, config.store));
    for (auto& peer : config.peers) {
        int other = node_number(peer.label);
        Address at = address(kFirstLinkHost + kLinkHostsPerNode * node + other, kPeerPort);
        auto& link = links[{node, other}];
        link = std::make_unique<PeerLink>(deployment.loop, at, peer.addr);
        link->old_peer = node == old_node_ || other == old_node_;
        peer.addr = at;
    }
}

std::string FaultScenario::ask(const std::string& method, const std::string& path, const std::string& body,
                               Seconds most) {
    Seconds end = deployment.loop.now() + most;
    for (size_t i = next_node_++; deployment.loop.now() < end; ++i) {
        size_t node = i % deployment.nodes.size();
        if (!deployment.nodes[node]) {
            deployment.run(kDeadNodePause_s);
            continue;
        }
        CallResult answer = deployment.call(static_cast<int>(node), method, path, body);
        if (answer.status == 200 || answer.status == 201) return phase_of(answer);
        EXPECT_NE(answer.status, 400) << path;
        EXPECT_NE(answer.status, 422) << path;
        if (!jobs.accepted.empty() && path != "/v2/runs") {
            EXPECT_NE(answer.status, 404) << path;
        }
        deployment.run(kAskPause_s);
    }
    return "";
}

std::string FaultScenario::submit(const std::string& id, uint32_t tasks, Seconds run_s,
                                  const JobFieldsChange& change) {
    jobs.prepare(id, tasks, run_s, change);
    std::string phase = ask("POST", "/v2/runs", jobs.bodies[id]);
    if (!phase.empty()) jobs.accepted.insert(id);
    return phase;
}

void FaultScenario::submit_service(const std::string& id, uint32_t replicas) {
    jobs.prepare_service(id, replicas);
    EXPECT_NE(ask("POST", "/v2/runs", jobs.bodies[id]), "") << "the service is not accepted";
}

void FaultScenario::cancel(const std::string& id, Seconds most) {
    std::string phase = ask("POST", "/v2/runs/" + id + "/withdraw", "", most);
    if (phase == "withdrawn") jobs.cancelled.emplace(id, deployment.loop.now());
    if (!phase.empty()) jobs.check_answer(id, phase);
}

void FaultScenario::poll(const std::string& id) {
    std::string phase = ask("GET", "/v2/runs/" + id);
    EXPECT_NE(phase, "") << "no answer about " << id;
    jobs.check_answer(id, phase);
}

int FaultScenario::await_leader() {
    EXPECT_TRUE(deployment.until([&] { return deployment.leader() != kNoLeader; }, kElection_s));
    return std::max(0, deployment.leader());
}

bool FaultScenario::starts(const std::string& job, Seconds most) {
    return deployment.until([&] { return fleet.holder(job) != nullptr; }, most);
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
    deployment.store.restart_leases();
}

void FaultScenario::refuse_store(int node) {
    store_proxies[static_cast<size_t>(node)]->mode = StoreProxy::Mode::kRefuse;
}

void FaultScenario::allow_store(int node) {
    store_proxies[static_cast<size_t>(node)]->mode = StoreProxy::Mode::kForward;
}

void FaultScenario::set_peer_links(int node, bool cut) {
    for (auto& [ends, link] : links)
        if (ends.first == node || ends.second == node) link->cut = cut;
}

void FaultScenario::apply_held_transactions() {
    for (const auto& body : std::exchange(deployment.store.held_transactions, {}))
        deployment.store.apply(body);
}

void FaultScenario::end_all_faults() {
    if (deployment.store.down) end_store_outage();
    deployment.cloud.down = false;
    deployment.store.let_through = {};
    fleet.delay_commands({});
    for (auto& proxy : store_proxies) proxy->clear_faults();
    if (old_node_ != kNoOldNode) {
        deployment.kill(old_node_);  // and returns as the new version
        for (auto& [ends, link] : links) link->old_peer = false;
    }
    for (auto& [ends, link] : links) link->cut = false;
    for (auto& machine : fleet.machines()) machine->end_all_faults();
    start_all_killed();
}

void FaultScenario::end_faults_and_check(Seconds most) {
    end_all_faults();
    for (int left = fleet.live_machines(); left < kLeastMachines; ++left)
        fleet.add("vm-00020" + std::to_string(left), zone_of(left));
    auto all_over = [&] {
        return std::all_of(jobs.accepted.begin(), jobs.accepted.end(),
                           [&](const auto& id) { return jobs.over(id); });
    };
    EXPECT_TRUE(deployment.until(all_over, most)) << "work is left waiting beside room";
    for (const auto& id : jobs.accepted)
        if (!jobs.over(id)) ADD_FAILURE() << id << " did not run to its end";
    deployment.run(kSettled_s);
    check_jobs_are_over();
    check_and_cancel_services();
    EXPECT_TRUE(fleet.launched_after_cancellation().empty())
        << fleet.launched_after_cancellation().front() << " started after its cancellation";
}

void FaultScenario::check_jobs_are_over() {
    for (const auto& id : jobs.accepted) {
        poll(id);
        jobs.check_answer(id, ask("POST", "/v2/runs", jobs.bodies[id]));
        EXPECT_TRUE(jobs.finals.contains(id)) << id << " should be over";
        EXPECT_FALSE(fleet.holder(id)) << id << " is over and still on a machine";
    }
    EXPECT_EQ(deployment.call(await_leader(), "GET", "/v2/runs/job-999").status, 404) << "invented";
}

void FaultScenario::check_and_cancel_services() {
    for (const auto& [id, replicas] : jobs.services) {
        EXPECT_TRUE(deployment.until(
            [&, &id = id, expected = replicas] { return fleet.replicas_up(id) == expected; }, kReplicas_s))
            << id << " lacks replicas";
        cancel(id);
        EXPECT_TRUE(deployment.until([&, &id = id] { return !fleet.holder(id); }, kStop_s))
            << id << " is cancelled and still there";
    }
}

Task<void> FaultScenario::watch_rules() {
    while (true) {
        fleet.advance();
        check_rules();
        co_await deployment.loop.sleep(kWatchStep_s);
    }
}

void FaultScenario::check_rules() {
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
                ADD_FAILURE() << name << " is not in its job's zone";
            if (!machine_of_task.emplace(name, worker.name).second)
                ADD_FAILURE() << name << " ran twice, on " << machine_of_task[name] << " and " << worker.name;
            auto cancelled = jobs.cancelled.find(job);
            if (cancelled != jobs.cancelled.end() && now > cancelled->second + deployment.config(0).cancel_s)
                ADD_FAILURE() << name << " on " << worker.name << " ran though cancelled, at " << now;
        }
    }
    EXPECT_LE(gpus, kTeamGpus) << "the team's limit";
}

}  // namespace hareshore::test
