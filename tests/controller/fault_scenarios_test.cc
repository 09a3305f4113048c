// Fault scenarios of whole deployments: each script combines network partitions, delays, refused and
// duplicated requests, hung machines and killed controllers while the scheduler's invariants are checked.
// After the faults every accepted job must finish and every poll must get a response.
#include <gtest/gtest.h>

#include <random>

#include "scenario/fault_script.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

const std::vector<FaultScript> kFaultScripts{
    {"TenFailovers", 2, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 60);
         scenario.submit("job-2", 2, 300);
         for (int i = 0; i < 10; ++i) {
             if (i == 5) scenario.begin_store_outage();
             if (i == 6) scenario.end_store_outage();
             if (i == 3) scenario.cancel("job-2");
             scenario.kill_leader();
             scenario.deployment.run(4);
             scenario.start_all_killed();
             scenario.deployment.run(8);
         }
     }},
    {"PollsAndCancellationsAtCompletion", 2, 3,
     [](FaultScenario& scenario) {
         for (int i = 1; i <= 4; ++i) {
             std::string id = "job-" + std::to_string(i);
             scenario.submit(id, 1, 5);
             scenario.await_start(id);
             scenario.deployment.run_until([&] { return scenario.jobs.done.contains(id); }, 30);
             if (i % 2) scenario.cancel(id);
             scenario.jobs.check_reported_phase(
                 id, scenario.call_any_controller("POST", "/v2/runs", scenario.jobs.bodies[id]));
             scenario.poll(id);
         }
     }},
    {"MoreJobsThanCapacityWithSlowStore", 2, 6,
     [](FaultScenario& scenario) {
         for (auto& proxy : scenario.store_proxies) proxy->delay = 0.4;
         for (int i = 1; i <= 8; ++i)
             scenario.submit("job-" + std::to_string(i), 3, 15, [&](auto& fields) {
                 fields["rank"] = packed_text(i % 3 ? "idle" : "production");
             });
         scenario.cancel("job-5");
         scenario.deployment.run(30);
     }},
    {"DelayedHeartbeatReachesNewLeader", 2, 4,
     [](FaultScenario& scenario) {
         ASSERT_TRUE(scenario.start_job("job-1", 1, 80));
         SimulatedMachine* machine = scenario.fleet.machine_running("job-1");
         // Sent before the launch, so without the task.
         std::string old_heartbeat = machine->sent_heartbeats.at(machine->sent_heartbeats.size() / 2);
         int first_leader = scenario.await_leader();
         machine->partitioned = true;
         scenario.deployment.kill(first_leader);
         for (int i = 0; i < 12; ++i) {
             scenario.deployment.call(scenario.await_leader(), "POST", "/hello", old_heartbeat);
             scenario.deployment.run(0.5);
         }
         machine->partitioned = false;
         scenario.deployment.start(first_leader);
     }},
    {"CancellationWhileStoreRefusesLeaderThenAll", 3, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         scenario.submit("job-2", 2, 60);
         ASSERT_TRUE(scenario.await_start("job-1"));
         int first_leader = scenario.await_leader();
         scenario.deny_store_access(first_leader);
         scenario.start_requests_at(first_leader + 1);
         scenario.cancel("job-1");
         scenario.deployment.run(1);
         scenario.begin_store_outage();
         scenario.deployment.run(61);
         scenario.end_store_outage();
         scenario.restore_store_access(first_leader);
     }},
    {"LeaderKilledWhileMachinesUnreachable", 2, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 100);
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.await_start("job-2"));
         scenario.deployment.run(4);
         scenario.fleet.machine(0).heartbeats_blocked = scenario.fleet.machine(1).inbound_blocked = true;
         int first_leader = scenario.await_leader();
         scenario.cancel("job-2");
         scenario.deployment.kill(first_leader);
         scenario.deployment.run(30);
         scenario.deployment.start(first_leader);
         scenario.fleet.machine(0).heartbeats_blocked = scenario.fleet.machine(1).inbound_blocked = false;
     }},
    {"ZonePartitionedLongerThanLease", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 60);
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.await_start("job-2"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines()) machine->partitioned = machine->worker.zone == "b";
         scenario.cancel("job-2");
         int first_leader = scenario.await_leader();
         scenario.deployment.kill(first_leader);
         scenario.deployment.run(30);
         scenario.deployment.start(first_leader);
         scenario.deployment.run(30);
     }},
    {"CommandsDelayedByHungMachines", 2, 6,
     [](FaultScenario& scenario) {
         ASSERT_TRUE(scenario.start_job("job-1", 4, 300));
         for (auto& machine : scenario.fleet.machines()) machine->hung = !machine->worker.tasks.empty();
         scenario.cancel("job-1");
         scenario.submit("job-2", 8, 20);
         scenario.deployment.run(10);
     }},
    {"SlowStoreRefusesLeaderThenAll", 3, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         scenario.submit("job-2", 2, 60);
         ASSERT_TRUE(scenario.await_start("job-2"));
         for (auto& proxy : scenario.store_proxies) proxy->delay = 0.8;
         int first_leader = scenario.await_leader();
         scenario.deny_store_access(first_leader);
         scenario.start_requests_at(first_leader + 1);
         scenario.cancel("job-1");
         scenario.poll("job-2");
         scenario.deployment.run(2);
         scenario.begin_store_outage();
         scenario.deployment.run(58);
     }},
    {"TransactionsAppliedLate", 2, 4,
     [](FaultScenario& scenario) {
         auto rng = std::make_shared<std::mt19937>(5);
         scenario.deployment.store.transaction_filter = [rng](const std::string&) {
             return (*rng)() % 4 != 0;
         };
         for (int i = 1; i <= 5; ++i) scenario.submit("job-" + std::to_string(i), 2, 12);
         for (int i = 0; i < 20; ++i) {
             scenario.deployment.run(3);
             scenario.apply_held_transactions();
             if (i == 4) scenario.cancel("job-3");
             if (i == 8) scenario.deployment.kill(scenario.await_leader());
             if (i == 10) scenario.start_all_killed();
         }
         // The transactions of a cancellation and of a placement are held back and applied after their jobs
         // have finished.
         for (const char* id : {"job-6", "job-7"}) {
             bool cancellation = std::string(id) == "job-6", held = false;
             scenario.deployment.store.transaction_filter = {};
             scenario.submit(id, 1, 8);
             scenario.deployment.store.transaction_filter = [=, &held](const std::string& body) {
                 bool matches = body.find(id) != std::string::npos &&
                                (body.find("leader") == std::string::npos) == cancellation;
                 return !matches || std::exchange(held, true);
             };
             if (cancellation)
                 scenario.deployment.call(scenario.await_leader(), "POST",
                                          std::string("/v2/runs/") + id + "/withdraw");
             scenario.deployment.run_until([&] { return scenario.jobs.done.contains(id); }, 60);
             scenario.deployment.run(4);
             scenario.poll(id);
             EXPECT_TRUE(held);
             scenario.apply_held_transactions();
             scenario.deployment.run(4);
             scenario.poll(id);
             scenario.deployment.store.transaction_filter = {};
         }
     }},
    {"OldHeartbeatsArriveAfterNewerOnes", 2, 3,
     [](FaultScenario& scenario) {
         scenario.fleet.resend_old_heartbeats(true);
         scenario.submit("job-1", 4, 40);
         scenario.submit("job-2", 2, 300);
         scenario.deployment.run(15);
         EXPECT_EQ(scenario.fleet.launches("job-1"), 4) << "an old heartbeat made a running task look lost";
         scenario.fleet.machine(0).partitioned = true;
         scenario.deployment.run(26);
         scenario.fleet.machine(0).partitioned = false;
         scenario.cancel("job-2");
         int first_leader = scenario.await_leader();
         scenario.deployment.kill(first_leader);
         scenario.deployment.run(15);
         scenario.deployment.start(first_leader);
         scenario.deployment.run(20);
         scenario.fleet.resend_old_heartbeats(false);
     }},
    {"TeamAtLimitDuringFailover", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 60);
         scenario.submit("job-2", 2, 300);
         scenario.submit("job-3", 4, 20);
         ASSERT_TRUE(scenario.await_start("job-2"));
         scenario.deployment.run(4);
         scenario.fleet.machine(0).partitioned = scenario.fleet.machine(1).hung = true;
         int first_leader = scenario.await_leader();
         scenario.deployment.kill(first_leader);
         scenario.cancel("job-2");
         scenario.deployment.run(20);
         scenario.fleet.machine(0).partitioned = scenario.fleet.machine(1).hung = false;
         scenario.deployment.run(10);
         scenario.deployment.start(first_leader);
     }},
    {"AllControllersDownLongerThanLease", 2, 3,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 50);
         scenario.submit("job-2", 1, 300);
         ASSERT_TRUE(scenario.await_start("job-2"));
         scenario.deployment.run(4);
         scenario.fleet.machine_running("job-1")->hung = true;
         scenario.cancel("job-2");
         scenario.deployment.kill(0);
         scenario.deployment.kill(1);
         scenario.deployment.run(30);
         scenario.deployment.start(0);
         scenario.deployment.run(10);
     }},
    {"IsolatedLeaderKeepsItsMachines", 3, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         scenario.submit("job-2", 2, 60);
         ASSERT_TRUE(scenario.await_start("job-1"));
         scenario.deployment.run(4);
         int first_leader = scenario.await_leader();
         scenario.deny_store_access(first_leader);
         scenario.block_peer_connections(first_leader);
         for (auto& machine : scenario.fleet.machines()) machine->target_node = first_leader;
         scenario.deployment.run(1);
         scenario.start_requests_at(first_leader + 1);
         scenario.cancel("job-1");
         scenario.deployment.run(60);
         EXPECT_TRUE(scenario.deployment.cloud.deleted.empty()) << "an isolated leader deletes no machine";
     }},
    {"TasksFinishBeforeAndAfterFailover", 2, 3,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 3, 10);
         ASSERT_TRUE(scenario.await_start("job-1"));
         for (auto& machine : scenario.fleet.machines())
             for (auto& [name, end] : machine->task_end_times)
                 if (name != "job-1/0") end += 40;
         scenario.deployment.run(11);
         scenario.poll("job-1");
         int first_leader = scenario.await_leader();
         scenario.deployment.kill(first_leader);
         scenario.deployment.run(10);
         scenario.poll("job-1");
         scenario.deployment.start(first_leader);
     }},
    {"WorkersCannotSendHeartbeats", 2, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 60);
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.await_start("job-2"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines())
             machine->heartbeats_blocked = machine->worker.zone == "a";
         scenario.cancel("job-2");
         scenario.deployment.run(2);
         EXPECT_FALSE(scenario.fleet.machine_running("job-2")) << "a direct command should have stopped it";
         scenario.deployment.run(35);
     }},
    // A leader without the store and its peers knows of the cancellation, but may not delete the machines
    // that went silent: another leader may have stopped the tasks.
    {"IsolatedLeaderDeletesNoSilentMachines", 3, 6,
     [](FaultScenario& scenario) {
         ASSERT_TRUE(scenario.start_job("job-1", 2, 400));
         int first_leader = scenario.await_leader();
         std::vector<SimulatedMachine*> busy;
         for (auto& machine : scenario.fleet.machines())
             if (!machine->worker.tasks.empty()) busy.push_back(machine.get());
         for (auto* machine : busy) machine->hung = true;
         scenario.cancel("job-1");
         scenario.deny_store_access(first_leader);
         scenario.block_peer_connections(first_leader);
         scenario.deployment.run(5);
         for (auto* machine : busy) {
             machine->target_node = (first_leader + 1) % 3;
             machine->hung = false;
         }
         scenario.deployment.run(55);
         EXPECT_TRUE(scenario.deployment.cloud.deleted.empty());
     }},
    {"CancellationDuringFailoverOnMachinesReachedByCommandsOnly", 2, 6,
     [](FaultScenario& scenario) {
         ASSERT_TRUE(scenario.start_job("job-1", 4, 400));
         for (auto& machine : scenario.fleet.machines())
             machine->heartbeats_blocked = machine->partitioned = !machine->worker.tasks.empty();
         int first_leader = scenario.await_leader();
         scenario.cancel("job-1");
         scenario.deployment.run(0.2);
         scenario.deployment.kill(first_leader);
         for (auto& machine : scenario.fleet.machines()) machine->partitioned = false;
         scenario.deployment.run(14);
         EXPECT_FALSE(scenario.fleet.machine_running("job-1"))
             << "the new leader should have stopped it by direct command";
         EXPECT_TRUE(scenario.deployment.cloud.deleted.empty());
         scenario.deployment.start(first_leader);
     }},
    // A hung machine cannot be told to stop and may keep running: only its deletion ends cancelled tasks on
    // it.
    {"CancellationOnHungMachinesOfPartitionedZone", 2, 6,
     [](FaultScenario& scenario) {
         ASSERT_TRUE(scenario.start_job("job-1", 6, 400));
         for (auto& machine : scenario.fleet.machines()) machine->partitioned = machine->worker.zone == "a";
         scenario.fleet.machine_running("job-1")->hung = true;
         for (auto& machine : scenario.fleet.machines())
             if (machine->partitioned) machine->hung = true;
         scenario.deployment.cloud.down = true;
         scenario.cancel("job-1");
         scenario.deployment.run(35);
         scenario.deployment.cloud.down = false;
         scenario.deployment.run(25);
     }},
    {"CancellationOnHungMachineDuringStoreOutage", 2, 4,
     [](FaultScenario& scenario) {
         ASSERT_TRUE(scenario.start_job("job-1", 4, 400));
         scenario.fleet.machine_running("job-1")->hung = true;
         scenario.cancel("job-1");
         scenario.deployment.run(0.2);
         scenario.begin_store_outage();
         scenario.deployment.run(62);
     }},
    {"CancellationOnHungMachinesDuringFailovers", 2, 6,
     [](FaultScenario& scenario) {
         ASSERT_TRUE(scenario.start_job("job-1", 6, 400));
         for (auto& machine : scenario.fleet.machines())
             machine->partitioned = machine->hung = machine->worker.zone == "a";
         scenario.cancel("job-1");
         for (int i = 0; i < 2; ++i) {
             int first_leader = scenario.await_leader();
             scenario.deployment.kill(first_leader);
             scenario.deployment.run(15);
             scenario.deployment.start(first_leader);
         }
         scenario.deployment.run(30);
     }},
    // Guards against a new leader that drops its first stop commands because it does not know the machines'
    // addresses yet, and repeats them only after a heartbeat interval.
    {"StopCommandsOfNewLeaderFollowTheMachineList", 2, 6,
     [](FaultScenario& scenario) {
         for (auto& config : scenario.deployment.configs) config.heartbeat_interval_s = 5;
         ASSERT_TRUE(scenario.start_job("job-1", 4, 400));
         for (auto& machine : scenario.fleet.machines()) machine->heartbeats_blocked = true;
         scenario.deployment.cloud.down = true;
         scenario.kill_leader();
         scenario.cancel("job-1");
         scenario.await_leader();
         scenario.deployment.run(0.5);
         scenario.deployment.cloud.down = false;
         scenario.deployment.run(3.5);
         EXPECT_FALSE(scenario.fleet.machine_running("job-1"));
     }},
    // Guards against a cancelled task that outlives cancel_s on a hung machine because no leader leads long
    // enough to delete the machine.
    {"CancellationOnHungMachineWhileLeadersChange", 3, 6,
     [](FaultScenario& scenario) {
         for (auto& config : scenario.deployment.configs) config.heartbeat_interval_s = 5;
         ASSERT_TRUE(scenario.start_job("job-1", 4, 400));
         SimulatedMachine* hung = scenario.fleet.machine_running("job-1");
         hung->hung = true;
         scenario.cancel("job-1");
         scenario.deployment.run(1);
         for (int i = 0; i < 4; ++i) {
             scenario.kill_leader();
             scenario.deployment.run(4);
             scenario.start_all_killed();
             scenario.deployment.run(8);
         }
         EXPECT_TRUE(hung->deleted);
         EXPECT_EQ(scenario.deployment.cloud.deleted.size(), 1U)
             << "machines that receive stop commands must be kept";
     }},
};

class FaultScenarios : public testing::TestWithParam<FaultScript> {};

}  // namespace

TEST_P(FaultScenarios, KeepInvariants) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines);
    GetParam().run(scenario);
    scenario.end_faults_and_check();
}

INSTANTIATE_TEST_SUITE_P(Scripts, FaultScenarios, testing::ValuesIn(kFaultScripts), name_of);
