// Combinations of faults beyond those of fault_scenarios_test.cc, in the same simulated deployment:
// concurrent requests to all controllers, lost responses, late commands, machines that boot fast, many small
// jobs, and teams at their limit.
#include <gtest/gtest.h>

#include <random>

#include "scenario/concurrent_users.h"
#include "scenario/fault_script.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

std::string job_name(int number) {
    return "job-" + std::to_string(number);
}

// --- concurrent requests to all controllers -------------------------------------------------------------

// Delays each store request by up to `max_delay` and each response by up to as much again, so that reads are
// under way while their records change.
void slow_store(FaultScenario& scenario, Seconds max_delay) {
    auto random = std::make_shared<std::mt19937>(7);
    auto random_delay = [random, max_delay](const Request& request) {
        if (request.path == "/changes" || request.path.rfind("/leases", 0) == 0) return 0.0;
        return max_delay * static_cast<double>((*random)() % 100) / 100;
    };
    for (auto& proxy : scenario.store_proxies) proxy->request_delay = proxy->response_delay = random_delay;
}

enum class LeaderFault {
    kNone,
    kKilledAfterAcceptance,
    kKilledAfterCompletion,
    kKilledAfterCancellation,
    kStoreDeniedBeforeCompletion,
};

// Runs jobs that complete, and jobs that are cancelled right after acceptance, while they run, and as their
// last task completes.
void run_concurrent_requests(FaultScenario& scenario, LeaderFault fault) {
    ConcurrentUsers users(scenario);
    bool kill_requested = false;
    // Only sets a flag: the callback may run for a response of the leader that is to be killed.
    auto kill_leader_after = [&](const std::string& job, ObservedState state) {
        users.on_first(job, state, [&] { kill_requested = true; });
    };
    users.on_first(job_name(2), ObservedState::kAccepted, [&] { users.cancel(job_name(2), 2); });
    if (fault == LeaderFault::kKilledAfterAcceptance)
        kill_leader_after(job_name(1), ObservedState::kAccepted);
    if (fault == LeaderFault::kKilledAfterCompletion)
        kill_leader_after(job_name(1), ObservedState::kFinished);
    if (fault == LeaderFault::kKilledAfterCancellation)
        kill_leader_after(job_name(3), ObservedState::kFinished);
    users.submit(job_name(1), 2, 4, 0);
    users.submit(job_name(2), 1, 300, 1);
    users.submit(job_name(3), 2, 300, 2);
    users.submit(job_name(4), 1, 6, 1);
    auto wait_for = [&](const std::function<bool()>& condition) {
        return scenario.deployment.run_until([&] { return kill_requested || condition(); }, 30);
    };
    auto kill_leader_if_requested = [&] {
        if (!std::exchange(kill_requested, false)) return;
        int first_leader = scenario.deployment.leader();
        scenario.kill_leader();
        scenario.deployment.run(3);
        if (first_leader >= 0) scenario.deployment.start(first_leader);
    };
    wait_for([&] { return scenario.fleet.machine_running(job_name(3)) != nullptr; });
    kill_leader_if_requested();
    users.cancel(job_name(3), 0);
    wait_for([&] { return scenario.jobs.done.contains(job_name(4)); });
    kill_leader_if_requested();
    users.cancel(job_name(4), 1);
    if (fault == LeaderFault::kStoreDeniedBeforeCompletion)
        scenario.deny_store_access(scenario.await_leader());
    wait_for([&] { return scenario.jobs.final_phases.contains(job_name(1)); });
    kill_leader_if_requested();
    scenario.deployment.run(8);
    kill_leader_if_requested();
    scenario.deployment.run(8);
    EXPECT_GT(users.responses(), 1000U);
    users.stop();
    unwind(scenario.deployment.loop);
}

// --- lost responses to transactions ---------------------------------------------------------------------

enum class TransactionKind { kOther, kAcceptance, kPlacement, kCompletion, kCancellation };

TransactionKind kind_of(const std::string& body) {
    auto message = MsgpackDocument::parse(body);
    MsgpackValue conditions = message->root()["when"], writes = message->root()["writes"];
    std::string first_key = writes.size() > 0 ? writes.at(0)["put"].text_or("") : "";
    bool live_record = first_key.rfind("j/", 0) == 0, final_record = first_key.rfind("f/", 0) == 0;
    if (!live_record && !final_record) return TransactionKind::kOther;
    if (conditions.at(0)["k"].text_or("") == "leader")
        return final_record ? TransactionKind::kCompletion : TransactionKind::kPlacement;
    return conditions.size() == 2 ? TransactionKind::kAcceptance : TransactionKind::kCancellation;
}

// The store applies the next `count` transactions of this kind, but their responses are lost. Returns a
// counter of the lost responses.
std::shared_ptr<int> lose_responses(FaultScenario& scenario, TransactionKind kind, int count) {
    auto lost = std::make_shared<int>(0);
    scenario.deployment.store.transaction_filter = [&scenario, kind, count, lost](const std::string& body) {
        if (kind_of(body) != kind || *lost >= count) return true;
        ++*lost;
        scenario.deployment.store.apply(body);
        return false;
    };
    return lost;
}

void run_with_lost_responses(FaultScenario& scenario, TransactionKind kind) {
    ConcurrentUsers users(scenario);
    auto lost = lose_responses(scenario, kind, 4);
    users.submit(job_name(1), 2, 5, 0);
    users.submit(job_name(2), 1, 300, 1);
    users.submit(job_name(3), 1, 5, 2);
    scenario.await_start(job_name(2));
    users.cancel(job_name(2), 0);
    scenario.deployment.run(20);
    if (kind == TransactionKind::kCompletion || kind == TransactionKind::kPlacement) {
        // Again, and the leader is killed before it learns the outcome.
        int lost_before = *lost;
        lost = lose_responses(scenario, kind, 1);
        users.submit(job_name(4), 2, 5, 1);
        scenario.deployment.run_until([&] { return *lost > 0; });
        int first_leader = scenario.await_leader();
        scenario.deployment.kill(first_leader);
        scenario.deployment.run(10);
        scenario.deployment.start(first_leader);
        EXPECT_GT(lost_before, 0);
    }
    EXPECT_GT(*lost, 0) << "no response was lost";
    scenario.deployment.store.held_transactions.clear();
    users.stop();
    unwind(scenario.deployment.loop);
}

// --- late commands --------------------------------------------------------------------------------------

// Delays the commands sent from now on by 2 to 16 s each, so that they may arrive out of order.
void delay_commands(FaultScenario& scenario) {
    auto sent = std::make_shared<int>(0);
    scenario.fleet.delay_commands([sent] { return 2.0 + (*sent)++ * 4 % 15; });
}

// --- many small jobs ------------------------------------------------------------------------------------

void run_one_task_jobs(FaultScenario& scenario, int seconds, const std::function<void(int second)>& fault) {
    constexpr int kJobsPerSecond = 4;
    for (int i = 0; i < seconds * kJobsPerSecond; ++i) {
        if (i % kJobsPerSecond == 0) fault(i / kJobsPerSecond);
        Seconds next_submission = scenario.deployment.loop.now() + 1.0 / kJobsPerSecond;
        scenario.submit(job_name(1000 + i), 1, 1);
        // A quarter of the jobs are cancelled, right away or 4 s later.
        if (i % 8 == 0) scenario.cancel(job_name(1000 + i));
        if (i % 8 == 4 && i >= 16) scenario.cancel(job_name(1000 + i - 16));
        if (scenario.deployment.loop.now() < next_submission)
            scenario.deployment.run(next_submission - scenario.deployment.loop.now());
    }
}

const std::vector<FaultScript> kCombinations{
    {"ConcurrentRequests", 3, 3,
     [](FaultScenario& scenario) { run_concurrent_requests(scenario, LeaderFault::kNone); }},
    {"ConcurrentRequestsWithSlowStore", 3, 3,
     [](FaultScenario& scenario) {
         slow_store(scenario, 0.4);
         run_concurrent_requests(scenario, LeaderFault::kNone);
     }},
    {"ConcurrentRequestsAndLeaderKilledAfterAcceptance", 3, 3,
     [](FaultScenario& scenario) { run_concurrent_requests(scenario, LeaderFault::kKilledAfterAcceptance); }},
    {"ConcurrentRequestsAndLeaderKilledAfterCompletion", 3, 3,
     [](FaultScenario& scenario) {
         slow_store(scenario, 0.2);
         run_concurrent_requests(scenario, LeaderFault::kKilledAfterCompletion);
     }},
    {"ConcurrentRequestsAndLeaderKilledAfterCancellation", 3, 3,
     [](FaultScenario& scenario) {
         slow_store(scenario, 0.2);
         run_concurrent_requests(scenario, LeaderFault::kKilledAfterCancellation);
     }},
    {"ConcurrentRequestsAndLeaderDeniedStoreAccess", 3, 3,
     [](FaultScenario& scenario) {
         run_concurrent_requests(scenario, LeaderFault::kStoreDeniedBeforeCompletion);
     }},
    {"LostResponseToAcceptance", 3, 3,
     [](FaultScenario& scenario) { run_with_lost_responses(scenario, TransactionKind::kAcceptance); }},
    {"LostResponseToPlacement", 3, 3,
     [](FaultScenario& scenario) { run_with_lost_responses(scenario, TransactionKind::kPlacement); }},
    {"LostResponseToCompletion", 3, 3,
     [](FaultScenario& scenario) { run_with_lost_responses(scenario, TransactionKind::kCompletion); }},
    {"LostResponseToCancellation", 3, 3,
     [](FaultScenario& scenario) { run_with_lost_responses(scenario, TransactionKind::kCancellation); }},
    // A leader's stop commands for cancelled and preempted tasks arrive after it has been deposed.
    {"DeposedLeadersCommandsArriveLate", 3, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 30, [](auto& fields) { fields["rank"] = packed_text("idle"); });
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.await_start("job-1"));
         ASSERT_TRUE(scenario.await_start("job-2"));
         scenario.deployment.run(4);
         // Half of the machines send no heartbeats: they get stops only by direct command, and learn the new
         // leader's fencing token late.
         for (auto& machine : scenario.fleet.machines())
             machine->heartbeats_blocked = machine->worker.zone == "a";
         int first_leader = scenario.await_leader();
         delay_commands(scenario);
         scenario.start_requests_at(first_leader);
         scenario.cancel("job-2");
         scenario.submit("job-3", 4, 10, [](auto& fields) { fields["rank"] = packed_text("production"); });
         scenario.deployment.run(3);
         scenario.deny_store_access(first_leader);
         scenario.block_peer_connections(first_leader);
         scenario.deployment.run(2);
         scenario.deployment.run_until(
             [&] {
                 return scenario.deployment.leader() >= 0 && scenario.deployment.leader() != first_leader;
             },
             20);
         scenario.fleet.delay_commands({});
         scenario.deployment.run(6);
         for (auto& machine : scenario.fleet.machines()) machine->heartbeats_blocked = false;
         scenario.restore_store_access(first_leader);
         scenario.unblock_peer_connections(first_leader);
         scenario.deployment.run(20);
         EXPECT_GT(scenario.fleet.late_commands_executed(), 0)
             << "no late command was executed under the old fencing token";
     }},
    // The launch of a placement is lost, and a late stop command of the previous leader then reaches its
    // machine.
    {"LateCommandLaunchesNothing", 2, 1,
     [](FaultScenario& scenario) {
         SimulatedMachine& machine = scenario.fleet.machine(0);
         scenario.submit("job-1", 1, 300);
         ASSERT_TRUE(scenario.await_start("job-1"));
         scenario.deployment.run(4);
         machine.inbound_blocked = true;
         scenario.submit("job-2", 1, 300);
         auto bound = [&] {
             auto record = JobRecord::unpack(scenario.deployment.store.rows.at("j/job-2").data);
             return record && !record->live.empty();
         };
         ASSERT_TRUE(scenario.deployment.run_until(bound));
         // The response to the heartbeat under way is lost, too.
         machine.heartbeats_blocked = true;
         scenario.deployment.run(3.5);
         machine.inbound_blocked = false;
         scenario.fleet.delay_commands([] { return 7.0; });
         int first_leader = scenario.await_leader();
         scenario.cancel("job-1");
         scenario.deployment.run(0.5);
         scenario.fleet.delay_commands({});
         // The new leader cannot send the machine its fencing token.
         machine.partitioned = true;
         scenario.deployment.kill(first_leader);
         scenario.deployment.run_until([&] { return scenario.deployment.leader() >= 0; });
         scenario.cancel("job-2");
         EXPECT_EQ(scenario.fleet.late_commands_executed(), 0);
         scenario.deployment.run_until([&] { return scenario.fleet.late_commands_executed() > 0; }, 8);
         EXPECT_GT(scenario.fleet.late_commands_executed(), 0)
             << "no late command was executed under the old fencing token";
         EXPECT_EQ(scenario.fleet.launches("job-2"), 0);
         machine.heartbeats_blocked = machine.partitioned = false;
         scenario.deployment.start(first_leader);
     }},
    // Rented machines boot within a second and get tasks while store writes are delayed, and the leader is
    // killed.
    {"FastBootingMachinesWithDelayedWritesAndKilledLeaders", 2, 1,
     [](FaultScenario& scenario) {
         auto random = std::make_shared<std::mt19937>(3);
         for (auto& proxy : scenario.store_proxies)
             proxy->request_delay = [](const Request& request) { return request.path == "/txn" ? 0.8 : 0.0; };
         scenario.deployment.store.transaction_filter = [random](const std::string& body) {
             return kind_of(body) == TransactionKind::kOther || (*random)() % 3 != 0;
         };
         scenario.fleet.enable_renting(4, 1);
         size_t machines = scenario.fleet.machines().size();
         for (int round = 0; round < 3; ++round) {
             scenario.submit(job_name(10 * round + 1), 4, 15);
             scenario.submit(job_name(10 * round + 2), 2, 300);
             scenario.deployment.run_until([&] { return scenario.fleet.machines().size() > machines; }, 25);
             machines = scenario.fleet.machines().size();
             scenario.deployment.run(1.5);
             int first_leader = scenario.await_leader();
             scenario.deployment.kill(first_leader);
             scenario.cancel(job_name(10 * round + 2));
             scenario.deployment.run(2);
             scenario.apply_held_transactions();
             scenario.deployment.run(6);
             scenario.deployment.start(first_leader);
         }
         EXPECT_GT(scenario.fleet.machines().size(), 2U) << "no machine was rented";
         scenario.deployment.run(4);
         scenario.apply_held_transactions();
     }},
    {"ManyOneTaskJobs", 2, 4,
     [](FaultScenario& scenario) {
         run_one_task_jobs(scenario, 120, [&](int second) {
             if (second == 40) scenario.kill_leader();
             if (second == 44) scenario.start_all_killed();
             if (second == 80) slow_store(scenario, 0.3);
         });
     }},
    // Machines are partitioned, hung or blocked in one direction, so the new leader knows of their tasks only
    // from the records.
    {"TeamAtLimitCancelsDuringFailover", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 60);
         scenario.submit("job-2", 2, 300, [](auto& fields) { make_gang(fields); });
         scenario.submit("job-3", 2, 300);
         ASSERT_TRUE(scenario.await_start("job-1"));
         ASSERT_TRUE(scenario.await_start("job-2"));
         ASSERT_TRUE(scenario.await_start("job-3"));
         scenario.deployment.run(4);
         scenario.submit("job-4", 6, 10);
         scenario.fleet.machine_running("job-2")->partitioned = true;
         scenario.fleet.machine_running("job-3")->heartbeats_blocked = true;
         scenario.fleet.machine_running("job-1")->hung = true;
         scenario.fleet.machine(5).inbound_blocked = true;
         int first_leader = scenario.await_leader();
         scenario.deployment.kill(first_leader);
         scenario.cancel("job-2");
         scenario.await_leader();
         scenario.deployment.run(1);
         scenario.cancel("job-3");
         scenario.deployment.run(25);
         for (auto& machine : scenario.fleet.machines())
             machine->partitioned = machine->heartbeats_blocked = machine->hung = machine->inbound_blocked =
                 false;
         scenario.deployment.run(10);
         scenario.deployment.start(first_leader);
     }},
};

class FaultCombinations : public testing::TestWithParam<FaultScript> {};
class FaultCombinationsWithServices : public testing::TestWithParam<FaultScript> {};
class FaultCombinationsWithMixedVersions : public testing::TestWithParam<FaultScript> {};

void run_script(FaultScenario& scenario, const FaultScript& script) {
    script.run(scenario);
    scenario.end_faults_and_check();
}

}  // namespace

TEST_P(FaultCombinations, KeepInvariants) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines);
    run_script(scenario, GetParam());
}

TEST_P(FaultCombinationsWithServices, KeepInvariants) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines);
    scenario.submit_service("job-900", 2);
    ASSERT_TRUE(scenario.deployment.run_until([&] { return scenario.fleet.replicas_up("job-900") == 2; }));
    run_script(scenario, GetParam());
}

// The first leader runs the version before cancellation notices; the other controllers run the current one.
TEST_P(FaultCombinationsWithMixedVersions, KeepInvariants) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines, 0);
    scenario.submit_service("job-900", 1);
    ASSERT_TRUE(scenario.deployment.run_until([&] { return scenario.fleet.replicas_up("job-900") == 1; }));
    run_script(scenario, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Scripts, FaultCombinations, testing::ValuesIn(kCombinations), name_of);
INSTANTIATE_TEST_SUITE_P(Scripts, FaultCombinationsWithServices, testing::ValuesIn(kCombinations), name_of);
INSTANTIATE_TEST_SUITE_P(Scripts, FaultCombinationsWithMixedVersions, testing::ValuesIn(kCombinations),
                         name_of);
