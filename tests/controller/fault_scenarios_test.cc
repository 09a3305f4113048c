// Troubles that meet. One deployment whose machines, controllers and links can be cut, slowed, refused, held,
// doubled and frozen; each fault combination is a script of such troubles, and the rules are watched
// throughout. Once the troubles are over everything that was accepted must end and every question be
// answered.
#include <gtest/gtest.h>

#include <random>

#include "scenario/fault_script.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

const std::vector<FaultScript> kFaultScripts{
    {"LeadersChangeTenTimes", 2, 4,
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
    {"QuestionsMeetTheEnd", 2, 3,
     [](FaultScenario& scenario) {
         for (int i = 1; i <= 4; ++i) {
             std::string id = "job-" + std::to_string(i);
             scenario.submit(id, 1, 5);
             scenario.starts(id);
             scenario.deployment.until([&] { return scenario.jobs.done.contains(id); }, 30);
             if (i % 2) scenario.cancel(id);
             scenario.jobs.check_answer(id, scenario.ask("POST", "/v2/runs", scenario.jobs.bodies[id]));
             scenario.poll(id);
         }
     }},
    {"MoreWorkThanRoomOverSlowLinks", 2, 6,
     [](FaultScenario& scenario) {
         for (auto& proxy : scenario.store_proxies) proxy->delay = 0.4;
         for (int i = 1; i <= 8; ++i)
             scenario.submit("job-" + std::to_string(i), 3, 15, [&](auto& fields) {
                 fields["rank"] = packed_text(i % 3 ? "idle" : "production");
             });
         scenario.cancel("job-5");
         scenario.deployment.run(30);
     }},
    {"AHeldReportComesToTheNewLeader", 2, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 1, 80);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         SimulatedMachine* machine = scenario.fleet.holder("job-1");
         // From before the launch: it lacks the task.
         std::string old = machine->reports.at(machine->reports.size() / 2);
         int first = scenario.await_leader();
         machine->cut = true;
         scenario.deployment.kill(first);
         for (int i = 0; i < 12; ++i) {
             scenario.deployment.call(scenario.await_leader(), "POST", "/hello", old);
             scenario.deployment.run(0.5);
         }
         machine->cut = false;
         scenario.deployment.start(first);
     }},
    {"CancelledAsTheLeaderIsRefusedAndThenAll", 3, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         scenario.submit("job-2", 2, 60);
         ASSERT_TRUE(scenario.starts("job-1"));
         int first = scenario.await_leader();
         scenario.refuse_store(first);
         scenario.ask_first(first + 1);
         scenario.cancel("job-1");
         scenario.deployment.run(1);
         scenario.begin_store_outage();
         scenario.deployment.run(61);
         scenario.end_store_outage();
         scenario.allow_store(first);
     }},
    {"ALeaderEndsWhileMachinesCannotBeReached", 2, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 100);
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.starts("job-2"));
         scenario.deployment.run(4);
         scenario.fleet.machine(0).cannot_report = scenario.fleet.machine(1).cannot_hear = true;
         int first = scenario.await_leader();
         scenario.cancel("job-2");
         scenario.deployment.kill(first);
         scenario.deployment.run(30);
         scenario.deployment.start(first);
         scenario.fleet.machine(0).cannot_report = scenario.fleet.machine(1).cannot_hear = false;
     }},
    {"AZoneIsCutOffForLongerThanALease", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 60);
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.starts("job-2"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines()) machine->cut = machine->worker.zone == "b";
         scenario.cancel("job-2");
         int first = scenario.await_leader();
         scenario.deployment.kill(first);
         scenario.deployment.run(30);
         scenario.deployment.start(first);
         scenario.deployment.run(30);
     }},
    {"ACommandIsHeldAndTheMachineGoesOn", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 300);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines()) machine->hung = !machine->worker.tasks.empty();
         scenario.cancel("job-1");
         scenario.submit("job-2", 8, 20);
         scenario.deployment.run(10);
     }},
    {"TheStateServiceIsSlowAndRefusesOneAndThenAll", 3, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         scenario.submit("job-2", 2, 60);
         ASSERT_TRUE(scenario.starts("job-2"));
         for (auto& proxy : scenario.store_proxies) proxy->delay = 0.8;
         int first = scenario.await_leader();
         scenario.refuse_store(first);
         scenario.ask_first(first + 1);
         scenario.cancel("job-1");
         scenario.poll("job-2");
         scenario.deployment.run(2);
         scenario.begin_store_outage();
         scenario.deployment.run(58);
     }},
    {"TransactionsAreCarriedOutLate", 2, 4,
     [](FaultScenario& scenario) {
         auto rng = std::make_shared<std::mt19937>(5);
         scenario.deployment.store.let_through = [rng](const std::string&) { return (*rng)() % 4 != 0; };
         for (int i = 1; i <= 5; ++i) scenario.submit("job-" + std::to_string(i), 2, 12);
         for (int i = 0; i < 20; ++i) {
             scenario.deployment.run(3);
             scenario.apply_held_transactions();
             if (i == 4) scenario.cancel("job-3");
             if (i == 8) scenario.deployment.kill(scenario.await_leader());
             if (i == 10) scenario.start_all_killed();
         }
         // A cancellation without an answer, and a placement's, arrive when their jobs are over.
         for (const char* id : {"job-6", "job-7"}) {
             bool users = std::string(id) == "job-6", kept = false;
             scenario.deployment.store.let_through = {};
             scenario.submit(id, 1, 8);
             scenario.deployment.store.let_through = [=, &kept](const std::string& body) {
                 bool hers = body.find(id) != std::string::npos &&
                             (body.find("leader") == std::string::npos) == users;
                 return !hers || std::exchange(kept, true);
             };
             if (users)
                 scenario.deployment.call(scenario.await_leader(), "POST",
                                          std::string("/v2/runs/") + id + "/withdraw");
             scenario.deployment.until([&] { return scenario.jobs.done.contains(id); }, 60);
             scenario.deployment.run(4);
             scenario.poll(id);
             EXPECT_TRUE(kept);
             scenario.apply_held_transactions();
             scenario.deployment.run(4);
             scenario.poll(id);
             scenario.deployment.store.let_through = {};
         }
     }},
    {"OldReportsComeAfterNewerOnes", 2, 3,
     [](FaultScenario& scenario) {
         scenario.fleet.repeat_old_reports(true);
         scenario.submit("job-1", 4, 40);
         scenario.submit("job-2", 2, 300);
         scenario.deployment.run(15);
         EXPECT_EQ(scenario.fleet.launches("job-1"), 4) << "no copy shows that a task is gone";
         scenario.fleet.machine(0).cut = true;
         scenario.deployment.run(26);
         scenario.fleet.machine(0).cut = false;
         scenario.cancel("job-2");
         int first = scenario.await_leader();
         scenario.deployment.kill(first);
         scenario.deployment.run(15);
         scenario.deployment.start(first);
         scenario.deployment.run(20);
         scenario.fleet.repeat_old_reports(false);
     }},
    {"ATeamIsAtItsLimitWhenTheLeaderChanges", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 60);
         scenario.submit("job-2", 2, 300);
         scenario.submit("job-3", 4, 20);
         ASSERT_TRUE(scenario.starts("job-2"));
         scenario.deployment.run(4);
         scenario.fleet.machine(0).cut = scenario.fleet.machine(1).hung = true;
         int first = scenario.await_leader();
         scenario.deployment.kill(first);
         scenario.cancel("job-2");
         scenario.deployment.run(20);
         scenario.fleet.machine(0).cut = scenario.fleet.machine(1).hung = false;
         scenario.deployment.run(10);
         scenario.deployment.start(first);
     }},
    {"AllControllersAreAwayForLongerThanALease", 2, 3,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 50);
         scenario.submit("job-2", 1, 300);
         ASSERT_TRUE(scenario.starts("job-2"));
         scenario.deployment.run(4);
         scenario.fleet.holder("job-1")->hung = true;
         scenario.cancel("job-2");
         scenario.deployment.kill(0);
         scenario.deployment.kill(1);
         scenario.deployment.run(30);
         scenario.deployment.start(0);
         scenario.deployment.run(10);
     }},
    {"ALoneLeaderKeepsItsWorkers", 3, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         scenario.submit("job-2", 2, 60);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         int first = scenario.await_leader();
         scenario.refuse_store(first);
         scenario.cut_peer_links(first);
         for (auto& machine : scenario.fleet.machines()) machine->node = first;
         scenario.deployment.run(1);
         scenario.ask_first(first + 1);
         scenario.cancel("job-1");
         scenario.deployment.run(60);
         EXPECT_TRUE(scenario.deployment.cloud.deleted.empty()) << "it takes nobody's silence for an end";
     }},
    {"SmallJobsEndFarApartAcrossAChangeOfLeader", 2, 3,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 3, 10);
         ASSERT_TRUE(scenario.starts("job-1"));
         for (auto& machine : scenario.fleet.machines())
             for (auto& [name, end] : machine->ends)
                 if (name != "job-1/0") end += 40;
         scenario.deployment.run(11);
         scenario.poll("job-1");
         int first = scenario.await_leader();
         scenario.deployment.kill(first);
         scenario.deployment.run(10);
         scenario.poll("job-1");
         scenario.deployment.start(first);
     }},
    {"WorkersCannotOpenConnections", 2, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 60);
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.starts("job-2"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines()) machine->cannot_report = machine->worker.zone == "a";
         scenario.cancel("job-2");
         scenario.deployment.run(2);
         EXPECT_FALSE(scenario.fleet.holder("job-2")) << "a direct command halts it";
         scenario.deployment.run(35);
     }},
    // What a lone leader knows to be cancelled is no reason either to return what another stopped.
    {"ALoneLeaderTakesNoSilenceForAnEnd", 3, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 2, 400);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         int first = scenario.await_leader();
         std::vector<SimulatedMachine*> held;
         for (auto& machine : scenario.fleet.machines())
             if (!machine->worker.tasks.empty()) held.push_back(machine.get());
         for (auto* m : held) m->hung = true;
         scenario.cancel("job-1");
         scenario.refuse_store(first);
         scenario.cut_peer_links(first);
         scenario.deployment.run(5);
         for (auto* m : held) {
             m->node = (first + 1) % 3;
             m->hung = false;
         }
         scenario.deployment.run(55);
         EXPECT_TRUE(scenario.deployment.cloud.deleted.empty());
     }},
    {"CancelledOnMachinesThatOnlyCommandsReachAsTheLeaderEnds", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines())
             machine->cannot_report = machine->cut = !machine->worker.tasks.empty();
         int first = scenario.await_leader();
         scenario.cancel("job-1");
         scenario.deployment.run(0.2);
         scenario.deployment.kill(first);
         for (auto& machine : scenario.fleet.machines()) machine->cut = false;
         scenario.deployment.run(14);
         EXPECT_FALSE(scenario.fleet.holder("job-1")) << "halted by the new leader, which they never reach";
         EXPECT_TRUE(scenario.deployment.cloud.deleted.empty());
         scenario.deployment.start(first);
     }},
    // A hung machine cannot be stopped and may go on: only its deletion ends what was cancelled there.
    {"CancelledOnHungMachinesOfACutZone", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 400);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines()) machine->cut = machine->worker.zone == "a";
         scenario.fleet.holder("job-1")->hung = true;
         for (auto& machine : scenario.fleet.machines())
             if (machine->cut) machine->hung = true;
         scenario.deployment.cloud.down = true;
         scenario.cancel("job-1");
         scenario.deployment.run(35);
         scenario.deployment.cloud.down = false;
         scenario.deployment.run(25);
     }},
    {"CancelledOnAHungMachineAsTheStateServiceIsAway", 2, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 400);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         scenario.fleet.holder("job-1")->hung = true;
         scenario.cancel("job-1");
         scenario.deployment.run(0.2);
         scenario.begin_store_outage();
         scenario.deployment.run(62);
     }},
    {"CancelledOnAHungMachineAsLeadersChange", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 400);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         for (auto& machine : scenario.fleet.machines())
             machine->cut = machine->hung = machine->worker.zone == "a";
         scenario.cancel("job-1");
         for (int i = 0; i < 2; ++i) {
             int first = scenario.await_leader();
             scenario.deployment.kill(first);
             scenario.deployment.run(15);
             scenario.deployment.start(first);
         }
         scenario.deployment.run(30);
     }},
};

class FaultScenarios : public testing::TestWithParam<FaultScript> {};

}  // namespace

TEST_P(FaultScenarios, BreakNoRule) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines);
    GetParam().play(scenario);
    scenario.end_faults_and_check();
}

INSTANTIATE_TEST_SUITE_P(Two, FaultScenarios, testing::ValuesIn(kFaultScripts), name_of);
