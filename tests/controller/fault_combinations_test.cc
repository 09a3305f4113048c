// Combinations of faults that the scripts of meetings_test.cc do not hold, in the same deployment: users who
// ask everywhere at once, lost answers, late commands, quick machines, many small jobs, teams at their limit.
#include <gtest/gtest.h>

#include <random>

#include "scenario/fault_script.h"
#include "scenario/user_crowd.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

std::string job_name(int number) {
    return "job-" + std::to_string(number);
}

// --- users who ask at all nodes right after each answer -------------------------------------------------

// Requests to the state service take up to `most` longer, half of them before they are carried out and half
// after, so that reads are under way while their records change.
void slow_state(FaultScenario& scenario, Seconds most) {
    auto random = std::make_shared<std::mt19937>(7);
    auto some = [random, most](const Request& request) {
        if (request.path == "/changes" || request.path.rfind("/leases", 0) == 0) return 0.0;
        return most * static_cast<double>((*random)() % 100) / 100;
    };
    for (auto& proxy : scenario.store_proxies) proxy->request_delay = proxy->answer_delay = some;
}

enum class LeaderFault { kNone, kEndsAfterAccept, kEndsAfterEnd, kEndsAfterCancellation, kRefusedAtEnd };

// Jobs that end by themselves, are cancelled at once, while they run, and as their last task ends.
void ask_everywhere(FaultScenario& scenario, LeaderFault fault) {
    UserCrowd crowd(scenario);
    bool ended = false;
    // From the loop's next turn: the answer is one of the node that is to end.
    auto end_soon = [&](const std::string& job, AnswerAge age) {
        crowd.when(job, age, [&] { ended = true; });
    };
    crowd.when(job_name(2), AnswerAge::kAccepted, [&] { crowd.cancel(job_name(2), 2); });
    if (fault == LeaderFault::kEndsAfterAccept) end_soon(job_name(1), AnswerAge::kAccepted);
    if (fault == LeaderFault::kEndsAfterEnd) end_soon(job_name(1), AnswerAge::kOver);
    if (fault == LeaderFault::kEndsAfterCancellation) end_soon(job_name(3), AnswerAge::kOver);
    crowd.submit(job_name(1), 2, 4, 0);
    crowd.submit(job_name(2), 1, 300, 1);
    crowd.submit(job_name(3), 2, 300, 2);
    crowd.submit(job_name(4), 1, 6, 1);
    auto until = [&](const std::function<bool()>& condition) {
        return scenario.deployment.until([&] { return ended || condition(); }, 30);
    };
    auto act = [&] {
        if (!std::exchange(ended, false)) return;
        int first = scenario.deployment.leader();
        scenario.kill_leader();
        scenario.deployment.run(3);
        if (first >= 0) scenario.deployment.start(first);
    };
    until([&] { return scenario.fleet.holder(job_name(3)) != nullptr; });
    act();
    crowd.cancel(job_name(3), 0);
    until([&] { return scenario.jobs.done.contains(job_name(4)); });
    act();
    crowd.cancel(job_name(4), 1);
    if (fault == LeaderFault::kRefusedAtEnd) scenario.refuse_store(scenario.await_leader());
    until([&] { return scenario.jobs.finals.contains(job_name(1)); });
    act();
    scenario.deployment.run(8);
    act();
    scenario.deployment.run(8);
    EXPECT_GT(crowd.answers(), 1000U);
    crowd.stop();
    unwind(scenario.deployment.loop);
}

// --- answers of transactions that are lost --------------------------------------------------------------

enum class TransactionKind { kOther, kAccept, kBind, kEnd, kCancellation };

TransactionKind kind_of(const std::string& body) {
    auto message = MsgpackDocument::parse(body);
    MsgpackValue when = message->root()["when"], writes = message->root()["writes"];
    std::string first = writes.size() > 0 ? writes.at(0)["put"].text_or("") : "";
    bool job = first.rfind("j/", 0) == 0, final = first.rfind("f/", 0) == 0;
    if (!job && !final) return TransactionKind::kOther;
    if (when.at(0)["k"].text_or("") == "leader")
        return final ? TransactionKind::kEnd : TransactionKind::kBind;
    return when.size() == 2 ? TransactionKind::kAccept : TransactionKind::kCancellation;
}

// The next `most` transactions of this kind are carried out at once, and only their answers are lost.
std::shared_ptr<int> lose_answers(FaultScenario& scenario, TransactionKind kind, int most) {
    auto lost = std::make_shared<int>(0);
    scenario.deployment.store.let_through = [&scenario, kind, most, lost](const std::string& body) {
        if (kind_of(body) != kind || *lost >= most) return true;
        ++*lost;
        scenario.deployment.store.apply(body);
        return false;
    };
    return lost;
}

void lost_answers(FaultScenario& scenario, TransactionKind kind) {
    UserCrowd crowd(scenario);
    auto lost = lose_answers(scenario, kind, 4);
    crowd.submit(job_name(1), 2, 5, 0);
    crowd.submit(job_name(2), 1, 300, 1);
    crowd.submit(job_name(3), 1, 5, 2);
    scenario.starts(job_name(2));
    crowd.cancel(job_name(2), 0);
    scenario.deployment.run(20);
    if (kind == TransactionKind::kEnd || kind == TransactionKind::kBind) {
        // Once more, and the leader ends without knowing what became of it.
        int before = *lost;
        lost = lose_answers(scenario, kind, 1);
        crowd.submit(job_name(4), 2, 5, 1);
        scenario.deployment.until([&] { return *lost > 0; });
        int first = scenario.await_leader();
        scenario.deployment.kill(first);
        scenario.deployment.run(10);
        scenario.deployment.start(first);
        EXPECT_GT(before, 0);
    }
    EXPECT_GT(*lost, 0) << "no answer was lost";
    scenario.deployment.store.held_transactions.clear();
    crowd.stop();
    unwind(scenario.deployment.loop);
}

// --- commands that come late ----------------------------------------------------------------------------

// Commands sent from now on arrive 2 to 16 s late, each later than the one before it.
void delay_commands(FaultScenario& scenario) {
    auto sent = std::make_shared<int>(0);
    scenario.fleet.delay_commands([sent] { return 2.0 + (*sent)++ * 4 % 15; });
}

// --- many small jobs ------------------------------------------------------------------------------------

void small_jobs(FaultScenario& scenario, int seconds, const std::function<void(int second)>& fault) {
    constexpr int kJobsEach_s = 4;
    for (int i = 0; i < seconds * kJobsEach_s; ++i) {
        if (i % kJobsEach_s == 0) fault(i / kJobsEach_s);
        Seconds next = scenario.deployment.loop.now() + 1.0 / kJobsEach_s;
        scenario.submit(job_name(1000 + i), 1, 1);
        // A quarter is cancelled: at once, or a while after.
        if (i % 8 == 0) scenario.cancel(job_name(1000 + i));
        if (i % 8 == 4 && i >= 16) scenario.cancel(job_name(1000 + i - 16));
        if (scenario.deployment.loop.now() < next)
            scenario.deployment.run(next - scenario.deployment.loop.now());
    }
}

const std::vector<FaultScript> kCombinations{
    {"UsersAskEverywhere", 3, 3,
     [](FaultScenario& scenario) { ask_everywhere(scenario, LeaderFault::kNone); }},
    {"UsersAskEverywhereOfASlowStateService", 3, 3,
     [](FaultScenario& scenario) {
         slow_state(scenario, 0.4);
         ask_everywhere(scenario, LeaderFault::kNone);
     }},
    {"UsersAskEverywhereAsTheLeaderEndsAfterAnAccept", 3, 3,
     [](FaultScenario& scenario) { ask_everywhere(scenario, LeaderFault::kEndsAfterAccept); }},
    {"UsersAskEverywhereAsTheLeaderEndsAfterAnEnd", 3, 3,
     [](FaultScenario& scenario) {
         slow_state(scenario, 0.2);
         ask_everywhere(scenario, LeaderFault::kEndsAfterEnd);
     }},
    {"UsersAskEverywhereAsTheLeaderEndsAfterACancellation", 3, 3,
     [](FaultScenario& scenario) {
         slow_state(scenario, 0.2);
         ask_everywhere(scenario, LeaderFault::kEndsAfterCancellation);
     }},
    {"UsersAskEverywhereAsTheLeaderIsRefused", 3, 3,
     [](FaultScenario& scenario) { ask_everywhere(scenario, LeaderFault::kRefusedAtEnd); }},
    {"TheAnswerToAnAcceptIsLost", 3, 3,
     [](FaultScenario& scenario) { lost_answers(scenario, TransactionKind::kAccept); }},
    {"TheAnswerToABindingIsLost", 3, 3,
     [](FaultScenario& scenario) { lost_answers(scenario, TransactionKind::kBind); }},
    {"TheAnswerToAnEndIsLost", 3, 3,
     [](FaultScenario& scenario) { lost_answers(scenario, TransactionKind::kEnd); }},
    {"TheAnswerToACancellationIsLost", 3, 3,
     [](FaultScenario& scenario) { lost_answers(scenario, TransactionKind::kCancellation); }},
    // Stops of cancelled work and of work that yields, from a leader that is deposed when they arrive.
    {"CommandsOfADeposedLeaderComeLate", 3, 4,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 6, 30, [](auto& fields) { fields["rank"] = packed_text("idle"); });
         scenario.submit("job-2", 2, 300);
         ASSERT_TRUE(scenario.starts("job-1"));
         ASSERT_TRUE(scenario.starts("job-2"));
         scenario.deployment.run(4);
         // The stops go by command alone, and the new leader's epoch reaches half of the machines late.
         for (auto& machine : scenario.fleet.machines()) machine->cannot_report = machine->worker.zone == "a";
         int first = scenario.await_leader();
         delay_commands(scenario);
         scenario.ask_first(first);
         scenario.cancel("job-2");
         scenario.submit("job-3", 4, 10, [](auto& fields) { fields["rank"] = packed_text("production"); });
         scenario.deployment.run(3);
         scenario.refuse_store(first);
         scenario.cut_peer_links(first);
         scenario.deployment.run(2);
         scenario.deployment.until(
             [&] { return scenario.deployment.leader() >= 0 && scenario.deployment.leader() != first; }, 20);
         scenario.fleet.delay_commands({});
         scenario.deployment.run(6);
         for (auto& machine : scenario.fleet.machines()) machine->cannot_report = false;
         scenario.allow_store(first);
         scenario.restore_peer_links(first);
         scenario.deployment.run(20);
         EXPECT_GT(scenario.fleet.late_commands_carried_out(), 0) << "at the old epoch";
     }},
    // A placement whose launch was lost, on a machine that a late stop of the leader before then reaches.
    {"ALateCommandLaunchesNothing", 2, 1,
     [](FaultScenario& scenario) {
         SimulatedMachine& machine = scenario.fleet.machine(0);
         scenario.submit("job-1", 1, 300);
         ASSERT_TRUE(scenario.starts("job-1"));
         scenario.deployment.run(4);
         machine.cannot_hear = true;
         scenario.submit("job-2", 1, 300);
         auto bound = [&] {
             auto record = JobRecord::unpack(scenario.deployment.store.rows.at("j/job-2").data);
             return record && !record->live.empty();
         };
         ASSERT_TRUE(scenario.deployment.until(bound));
         // The report that is under way gets its answer, which is lost too.
         machine.cannot_report = true;
         scenario.deployment.run(3.5);
         machine.cannot_hear = false;
         scenario.fleet.delay_commands([] { return 7.0; });
         int first = scenario.await_leader();
         scenario.cancel("job-1");
         scenario.deployment.run(0.5);
         scenario.fleet.delay_commands({});
         // The new leader cannot tell the machine of its epoch.
         machine.cut = true;
         scenario.deployment.kill(first);
         scenario.deployment.until([&] { return scenario.deployment.leader() >= 0; });
         scenario.cancel("job-2");
         EXPECT_EQ(scenario.fleet.late_commands_carried_out(), 0);
         scenario.deployment.until([&] { return scenario.fleet.late_commands_carried_out() > 0; }, 8);
         EXPECT_GT(scenario.fleet.late_commands_carried_out(), 0) << "at the old epoch";
         EXPECT_EQ(scenario.fleet.launches("job-2"), 0);
         machine.cannot_report = machine.cut = false;
         scenario.deployment.start(first);
     }},
    // Machines that the cloud rents are up in a second and get work while its writes lag, and the leader
    // ends.
    {"QuickMachinesAsWritesLagAndTheLeaderEnds", 2, 1,
     [](FaultScenario& scenario) {
         auto random = std::make_shared<std::mt19937>(3);
         for (auto& proxy : scenario.store_proxies)
             proxy->request_delay = [](const Request& request) { return request.path == "/txn" ? 0.8 : 0.0; };
         scenario.deployment.store.let_through = [random](const std::string& body) {
             return kind_of(body) == TransactionKind::kOther || (*random)() % 3 != 0;
         };
         scenario.fleet.rent_on_request(4, 1);
         size_t machines = scenario.fleet.machines().size();
         for (int round = 0; round < 3; ++round) {
             scenario.submit(job_name(10 * round + 1), 4, 15);
             scenario.submit(job_name(10 * round + 2), 2, 300);
             scenario.deployment.until([&] { return scenario.fleet.machines().size() > machines; }, 25);
             machines = scenario.fleet.machines().size();
             scenario.deployment.run(1.5);
             int first = scenario.await_leader();
             scenario.deployment.kill(first);
             scenario.cancel(job_name(10 * round + 2));
             scenario.deployment.run(2);
             scenario.apply_held_transactions();
             scenario.deployment.run(6);
             scenario.deployment.start(first);
         }
         EXPECT_GT(scenario.fleet.machines().size(), 2U) << "machines were rented";
         scenario.deployment.run(4);
         scenario.apply_held_transactions();
     }},
    {"OneTaskJobsForMinutes", 2, 4,
     [](FaultScenario& scenario) {
         small_jobs(scenario, 120, [&](int second) {
             if (second == 40) scenario.kill_leader();
             if (second == 44) scenario.start_all_killed();
             if (second == 80) slow_state(scenario, 0.3);
         });
     }},
    // Neither asked nor heard, heard only, or hung: the new leader knows of their work from the records
    // alone.
    {"ATeamAtItsLimitLosesItsLeaderAndCancels", 2, 6,
     [](FaultScenario& scenario) {
         scenario.submit("job-1", 4, 60);
         scenario.submit("job-2", 2, 300, [](auto& fields) { make_gang(fields); });
         scenario.submit("job-3", 2, 300);
         ASSERT_TRUE(scenario.starts("job-1"));
         ASSERT_TRUE(scenario.starts("job-2"));
         ASSERT_TRUE(scenario.starts("job-3"));
         scenario.deployment.run(4);
         scenario.submit("job-4", 6, 10);
         scenario.fleet.holder("job-2")->cut = true;
         scenario.fleet.holder("job-3")->cannot_report = true;
         scenario.fleet.holder("job-1")->hung = true;
         scenario.fleet.machine(5).cannot_hear = true;
         int first = scenario.await_leader();
         scenario.deployment.kill(first);
         scenario.cancel("job-2");
         scenario.await_leader();
         scenario.deployment.run(1);
         scenario.cancel("job-3");
         scenario.deployment.run(25);
         for (auto& machine : scenario.fleet.machines())
             machine->cut = machine->cannot_report = machine->hung = machine->cannot_hear = false;
         scenario.deployment.run(10);
         scenario.deployment.start(first);
     }},
};

class FaultCombinations : public testing::TestWithParam<FaultScript> {};
class FaultCombinationsBesideServices : public testing::TestWithParam<FaultScript> {};
class FaultCombinationsAmongVersions : public testing::TestWithParam<FaultScript> {};

void play(FaultScenario& scenario, const FaultScript& script) {
    script.play(scenario);
    scenario.end_faults_and_check();
}

}  // namespace

TEST_P(FaultCombinations, BreakNoRule) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines);
    play(scenario, GetParam());
}

TEST_P(FaultCombinationsBesideServices, BreakNoRule) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines);
    scenario.submit_service("job-900", 2);
    ASSERT_TRUE(scenario.deployment.until([&] { return scenario.fleet.replicas_up("job-900") == 2; }));
    play(scenario, GetParam());
}

// The leader that begins is of the version before cancellation notices; the others are not.
TEST_P(FaultCombinationsAmongVersions, BreakNoRule) {
    FaultScenario scenario(GetParam().controllers, GetParam().machines, 0);
    scenario.submit_service("job-900", 1);
    ASSERT_TRUE(scenario.deployment.until([&] { return scenario.fleet.replicas_up("job-900") == 1; }));
    play(scenario, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Two, FaultCombinations, testing::ValuesIn(kCombinations), name_of);
INSTANTIATE_TEST_SUITE_P(Two, FaultCombinationsBesideServices, testing::ValuesIn(kCombinations), name_of);
INSTANTIATE_TEST_SUITE_P(Two, FaultCombinationsAmongVersions, testing::ValuesIn(kCombinations), name_of);
