// Troubles that meet. One deployment whose machines, controllers and links can be cut, slowed, refused, held,
// doubled and frozen; each fault combination is a script of such troubles, and the rules are watched
// throughout. Once the troubles are over everything that was accepted must end and every question be
// answered.
#include <gtest/gtest.h>

#include <random>

#include "fault_scenario.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct FaultScenario {
    const char* name;
    int nodes, machines;
    std::function<void(World&)> play;
};

void PrintTo(const FaultScenario& m, std::ostream* out) {
    *out << m.name;
}

const std::vector<FaultScenario> kFaultScenarios{
    {"LeadersChangeTenTimes", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 60);
         w.submit("job-2", 2, 300);
         for (int i = 0; i < 10; ++i) {
             if (i == 5) w.outage(true);
             if (i == 6) w.outage(false);
             if (i == 3) w.cancel("job-2");
             int first = w.site.leader();
             if (first >= 0) w.site.kill(first);
             w.site.run(4);
             for (int k : {0, 1})
                 if (!w.site.nodes[static_cast<size_t>(k)]) w.site.start(k);
             w.site.run(8);
         }
     }},
    {"QuestionsMeetTheEnd", 2, 3,
     [](World& w) {
         for (int i = 1; i <= 4; ++i) {
             std::string id = "job-" + std::to_string(i);
             w.submit(id, 1, 5);
             w.starts(id);
             w.site.until([&] { return w.done.count(id) > 0; }, 30);
             if (i % 2) w.cancel(id);
             w.said(id, w.ask("POST", "/v2/runs", w.bodies[id]));
             w.poll(id);
         }
     }},
    {"MoreWorkThanRoomOverSlowLinks", 2, 6,
     [](World& w) {
         for (auto& g : w.gates) g->delay = 0.4;
         for (int i = 1; i <= 8; ++i)
             w.submit("job-" + std::to_string(i), 3, 15,
                      [&](auto& f) { f["rank"] = packed_text(i % 3 ? "idle" : "production"); });
         w.cancel("job-5");
         w.site.run(30);
     }},
    {"AHeldReportComesToTheNewLeader", 2, 4,
     [](World& w) {
         w.submit("job-1", 1, 80);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         LiveMachine* m = w.holder("job-1");
         // From before the launch: it lacks the task.
         std::string old = m->reports.at(m->reports.size() / 2);
         int first = w.leader();
         m->cut = true;
         w.site.kill(first);
         for (int i = 0; i < 12; ++i) {
             w.site.call(w.leader(), "POST", "/hello", old);
             w.site.run(0.5);
         }
         m->cut = false;
         w.site.start(first);
     }},
    {"CancelledAsTheLeaderIsRefusedAndThenAll", 3, 4,
     [](World& w) {
         w.submit("job-1", 4, 400);
         w.submit("job-2", 2, 60);
         ASSERT_TRUE(w.starts("job-1"));
         int first = w.leader();
         w.alone(first, true);
         w.next_node = static_cast<size_t>(first) + 1;
         w.cancel("job-1");
         w.site.run(1);
         w.outage(true);
         w.site.run(61);
         w.outage(false);
         w.alone(first, false);
     }},
    {"ALeaderEndsWhileMachinesCannotBeReached", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 100);
         w.submit("job-2", 2, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         w.fleet[0]->mute = w.fleet[1]->deaf = true;
         int first = w.leader();
         w.cancel("job-2");
         w.site.kill(first);
         w.site.run(30);
         w.site.start(first);
         w.fleet[0]->mute = w.fleet[1]->deaf = false;
     }},
    {"AZoneIsCutOffForLongerThanALease", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 60);
         w.submit("job-2", 2, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         for (auto& m : w.fleet) m->cut = m->w.zone == "b";
         w.cancel("job-2");
         int first = w.leader();
         w.site.kill(first);
         w.site.run(30);
         w.site.start(first);
         w.site.run(30);
     }},
    {"ACommandIsHeldAndTheMachineGoesOn", 2, 6,
     [](World& w) {
         w.submit("job-1", 4, 300);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->hung = !m->w.tasks.empty();
         w.cancel("job-1");
         w.submit("job-2", 8, 20);
         w.site.run(10);
     }},
    {"TheStateServiceIsSlowAndRefusesOneAndThenAll", 3, 4,
     [](World& w) {
         w.submit("job-1", 4, 400);
         w.submit("job-2", 2, 60);
         ASSERT_TRUE(w.starts("job-2"));
         for (auto& g : w.gates) g->delay = 0.8;
         int first = w.leader();
         w.alone(first, true);
         w.next_node = static_cast<size_t>(first) + 1;
         w.cancel("job-1");
         w.poll("job-2");
         w.site.run(2);
         w.outage(true);
         w.site.run(58);
     }},
    {"TransactionsAreCarriedOutLate", 2, 4,
     [](World& w) {
         auto rng = std::make_shared<std::mt19937>(5);
         w.site.state.let_through = [rng](const std::string&) { return (*rng)() % 4 != 0; };
         for (int i = 1; i <= 5; ++i) w.submit("job-" + std::to_string(i), 2, 12);
         for (int i = 0; i < 20; ++i) {
             w.site.run(3);
             for (const auto& body : std::exchange(w.site.state.late, {})) w.site.state.apply(body);
             if (i == 4) w.cancel("job-3");
             if (i == 8) w.site.kill(w.leader());
             if (i == 10)
                 for (int k : {0, 1})
                     if (!w.site.nodes[static_cast<size_t>(k)]) w.site.start(k);
         }
         // A cancellation without an answer, and a placement's, arrive when their jobs are over.
         for (const char* id : {"job-6", "job-7"}) {
             bool users = std::string(id) == "job-6", kept = false;
             w.site.state.let_through = {};
             w.submit(id, 1, 8);
             w.site.state.let_through = [=, &kept](const std::string& body) {
                 bool hers = body.find(id) != std::string::npos &&
                             (body.find("leader") == std::string::npos) == users;
                 return !hers || std::exchange(kept, true);
             };
             if (users) w.site.call(w.leader(), "POST", std::string("/v2/runs/") + id + "/withdraw");
             w.site.until([&] { return w.done.count(id) > 0; }, 60);
             w.site.run(4);
             w.poll(id);
             EXPECT_TRUE(kept);
             for (const auto& body : std::exchange(w.site.state.late, {})) w.site.state.apply(body);
             w.site.run(4);
             w.poll(id);
             w.site.state.let_through = {};
         }
     }},
    {"OldReportsComeAfterNewerOnes", 2, 3,
     [](World& w) {
         w.double_reports = true;
         w.submit("job-1", 4, 40);
         w.submit("job-2", 2, 300);
         w.site.run(15);
         EXPECT_EQ(w.launches["job-1"], 4) << "no copy shows that a task is gone";
         w.fleet[0]->cut = true;
         w.site.run(26);
         w.fleet[0]->cut = false;
         w.cancel("job-2");
         int first = w.leader();
         w.site.kill(first);
         w.site.run(15);
         w.site.start(first);
         w.site.run(20);
         w.double_reports = false;
     }},
    {"ATeamIsAtItsLimitWhenTheLeaderChanges", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 60);
         w.submit("job-2", 2, 300);
         w.submit("job-3", 4, 20);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         w.fleet[0]->cut = w.fleet[1]->hung = true;
         int first = w.leader();
         w.site.kill(first);
         w.cancel("job-2");
         w.site.run(20);
         w.fleet[0]->cut = w.fleet[1]->hung = false;
         w.site.run(10);
         w.site.start(first);
     }},
    {"AllControllersAreAwayForLongerThanALease", 2, 3,
     [](World& w) {
         w.submit("job-1", 4, 50);
         w.submit("job-2", 1, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         w.holder("job-1")->hung = true;
         w.cancel("job-2");
         w.site.kill(0);
         w.site.kill(1);
         w.site.run(30);
         w.site.start(0);
         w.site.run(10);
     }},
    {"ALoneLeaderKeepsItsWorkers", 3, 6,
     [](World& w) {
         w.submit("job-1", 4, 400);
         w.submit("job-2", 2, 60);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         int first = w.leader();
         w.alone(first, true);
         w.apart(first, true);
         for (auto& m : w.fleet) m->node = first;
         w.site.run(1);
         w.next_node = static_cast<size_t>(first) + 1;
         w.cancel("job-1");
         w.site.run(60);
         EXPECT_TRUE(w.site.cloud.deleted.empty()) << "it takes nobody's silence for an end";
     }},
    {"SmallJobsEndFarApartAcrossAChangeOfLeader", 2, 3,
     [](World& w) {
         w.submit("job-1", 3, 10);
         ASSERT_TRUE(w.starts("job-1"));
         for (auto& m : w.fleet)
             for (auto& [name, end] : m->ends)
                 if (name != "job-1/0") end += 40;
         w.site.run(11);
         w.poll("job-1");
         int first = w.leader();
         w.site.kill(first);
         w.site.run(10);
         w.poll("job-1");
         w.site.start(first);
     }},
    {"WorkersCannotOpenConnections", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 60);
         w.submit("job-2", 2, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         for (auto& m : w.fleet) m->mute = m->w.zone == "a";
         w.cancel("job-2");
         w.site.run(2);
         EXPECT_FALSE(w.holder("job-2")) << "a direct command halts it";
         w.site.run(35);
     }},
    // What a lone leader knows to be cancelled is no reason either to return what another stopped.
    {"ALoneLeaderTakesNoSilenceForAnEnd", 3, 6,
     [](World& w) {
         w.submit("job-1", 2, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         int first = w.leader();
         std::vector<LiveMachine*> held;
         for (auto& m : w.fleet)
             if (!m->w.tasks.empty()) held.push_back(m.get());
         for (auto* m : held) m->hung = true;
         w.cancel("job-1");
         w.alone(first, true);
         w.apart(first, true);
         w.site.run(5);
         for (auto* m : held) {
             m->node = (first + 1) % 3;
             m->hung = false;
         }
         w.site.run(55);
         EXPECT_TRUE(w.site.cloud.deleted.empty());
     }},
    {"CancelledOnMachinesThatOnlyCommandsReachAsTheLeaderEnds", 2, 6,
     [](World& w) {
         w.submit("job-1", 4, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->mute = m->cut = !m->w.tasks.empty();
         int first = w.leader();
         w.cancel("job-1");
         w.site.run(0.2);
         w.site.kill(first);
         for (auto& m : w.fleet) m->cut = false;
         w.site.run(14);
         EXPECT_FALSE(w.holder("job-1")) << "halted by the new leader, which they never reach";
         EXPECT_TRUE(w.site.cloud.deleted.empty());
         w.site.start(first);
     }},
    // A hung machine cannot be stopped and may go on: only its deletion ends what was cancelled there.
    {"CancelledOnHungMachinesOfACutZone", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->cut = m->w.zone == "a";
         w.holder("job-1")->hung = true;
         for (auto& m : w.fleet)
             if (m->cut) m->hung = true;
         w.site.cloud.down = true;
         w.cancel("job-1");
         w.site.run(35);
         w.site.cloud.down = false;
         w.site.run(25);
     }},
    {"CancelledOnAHungMachineAsTheStateServiceIsAway", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         w.holder("job-1")->hung = true;
         w.cancel("job-1");
         w.site.run(0.2);
         w.outage(true);
         w.site.run(62);
     }},
    {"CancelledOnAHungMachineAsLeadersChange", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->cut = m->hung = m->w.zone == "a";
         w.cancel("job-1");
         for (int i = 0; i < 2; ++i) {
             int first = w.leader();
             w.site.kill(first);
             w.site.run(15);
             w.site.start(first);
         }
         w.site.run(30);
     }},
};

class FaultScenarios : public testing::TestWithParam<FaultScenario> {};

}  // namespace

TEST_P(FaultScenarios, BreakNoRule) {
    World w(GetParam().nodes, GetParam().machines);
    GetParam().play(w);
    w.calm();
    EXPECT_TRUE(w.starts_after_announced.empty())
        << w.starts_after_announced.front() << " started after its withdrawal";
}

INSTANTIATE_TEST_SUITE_P(Two, FaultScenarios, testing::ValuesIn(kFaultScenarios),
                         [](const auto& i) { return std::string(i.param.name); });
