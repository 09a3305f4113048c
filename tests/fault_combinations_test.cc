// Combinations of faults that the scripts of meetings_test.cc do not hold, in the same deployment: users who
// ask everywhere at once, lost answers, late commands, quick machines, many small jobs, teams at their limit.
#include <gtest/gtest.h>

#include <random>

#include "user_crowd.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct Combination {
    const char* name;
    int nodes, machines;
    std::function<void(World&)> play;
};

void PrintTo(const Combination& c, std::ostream* out) {
    *out << c.name;
}

std::string job_name(int number) {
    return "job-" + std::to_string(number);
}

void restart_all(World& w) {
    for (size_t i = 0; i < w.site.nodes.size(); ++i)
        if (!w.site.nodes[i]) w.site.start(static_cast<int>(i));
}

// --- users who ask at all nodes right after each answer -------------------------------------------------

// Requests to the state service take up to `most` longer, half of them before they are carried out and half
// after, so that reads are under way while their records change.
void slow_state(World& w, Seconds most) {
    auto random = std::make_shared<std::mt19937>(7);
    auto some = [random, most](const Request& r) {
        if (r.path == "/changes" || r.path.rfind("/leases", 0) == 0) return 0.0;
        return most * static_cast<double>((*random)() % 100) / 100;
    };
    for (auto& g : w.gates) g->request_delay = g->answer_delay = some;
}

enum class LeaderFault { kNone, kEndsAfterAccept, kEndsAfterEnd, kEndsAfterCancellation, kRefusedAtEnd };

void end_leader(World& w) {
    if (int first = w.site.leader(); first >= 0) w.site.kill(first);
}

// Jobs that end by themselves, are cancelled at once, while they run, and as their last task ends.
void ask_everywhere(World& w, LeaderFault fault) {
    UserCrowd crowd(w);
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
        return w.site.until([&] { return ended || condition(); }, 30);
    };
    auto act = [&] {
        if (!std::exchange(ended, false)) return;
        int first = w.site.leader();
        end_leader(w);
        w.site.run(3);
        if (first >= 0) w.site.start(first);
    };
    until([&] { return w.holder(job_name(3)) != nullptr; });
    act();
    crowd.cancel(job_name(3), 0);
    until([&] { return w.done.count(job_name(4)) > 0; });
    act();
    crowd.cancel(job_name(4), 1);
    if (fault == LeaderFault::kRefusedAtEnd) w.alone(w.leader(), true);
    until([&] { return w.finals.count(job_name(1)) > 0; });
    act();
    w.site.run(8);
    act();
    w.site.run(8);
    EXPECT_GT(crowd.answers(), 1000u);
    crowd.stop();
    unwind(w.site.loop);
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
std::shared_ptr<int> lose_answers(World& w, TransactionKind kind, int most) {
    auto lost = std::make_shared<int>(0);
    w.site.state.let_through = [&w, kind, most, lost](const std::string& body) {
        if (kind_of(body) != kind || *lost >= most) return true;
        ++*lost;
        w.site.state.apply(body);
        return false;
    };
    return lost;
}

void lost_answers(World& w, TransactionKind kind) {
    UserCrowd crowd(w);
    auto lost = lose_answers(w, kind, 4);
    crowd.submit(job_name(1), 2, 5, 0);
    crowd.submit(job_name(2), 1, 300, 1);
    crowd.submit(job_name(3), 1, 5, 2);
    w.starts(job_name(2));
    crowd.cancel(job_name(2), 0);
    w.site.run(20);
    if (kind == TransactionKind::kEnd || kind == TransactionKind::kBind) {
        // Once more, and the leader ends without knowing what became of it.
        int before = *lost;
        lost = lose_answers(w, kind, 1);
        crowd.submit(job_name(4), 2, 5, 1);
        w.site.until([&] { return *lost > 0; });
        int first = w.leader();
        w.site.kill(first);
        w.site.run(10);
        w.site.start(first);
        EXPECT_GT(before, 0);
    }
    EXPECT_GT(*lost, 0) << "no answer was lost";
    w.site.state.late.clear();
    crowd.stop();
    unwind(w.site.loop);
}

// --- commands that come late ----------------------------------------------------------------------------

// Commands sent from now on arrive 2 to 16 s late, each later than the one before it.
void delay_commands(World& w) {
    auto sent = std::make_shared<int>(0);
    w.command_delay = [sent](const LiveMachine&) { return 2.0 + (*sent)++ * 4 % 15; };
}

// --- many small jobs ------------------------------------------------------------------------------------

void small_jobs(World& w, int seconds, const std::function<void(int second)>& fault) {
    constexpr int kJobsEach_s = 4;
    for (int i = 0; i < seconds * kJobsEach_s; ++i) {
        if (i % kJobsEach_s == 0) fault(i / kJobsEach_s);
        Seconds next = w.site.loop.now() + 1.0 / kJobsEach_s;
        w.submit(job_name(1000 + i), 1, 1);
        // A quarter is cancelled: at once, or a while after.
        if (i % 8 == 0) w.cancel(job_name(1000 + i));
        if (i % 8 == 4 && i >= 16) w.cancel(job_name(1000 + i - 16));
        if (w.site.loop.now() < next) w.site.run(next - w.site.loop.now());
    }
}

const std::vector<Combination> kCombinations{
    {"UsersAskEverywhere", 3, 3, [](World& w) { ask_everywhere(w, LeaderFault::kNone); }},
    {"UsersAskEverywhereOfASlowStateService", 3, 3,
     [](World& w) {
         slow_state(w, 0.4);
         ask_everywhere(w, LeaderFault::kNone);
     }},
    {"UsersAskEverywhereAsTheLeaderEndsAfterAnAccept", 3, 3,
     [](World& w) { ask_everywhere(w, LeaderFault::kEndsAfterAccept); }},
    {"UsersAskEverywhereAsTheLeaderEndsAfterAnEnd", 3, 3,
     [](World& w) {
         slow_state(w, 0.2);
         ask_everywhere(w, LeaderFault::kEndsAfterEnd);
     }},
    {"UsersAskEverywhereAsTheLeaderEndsAfterACancellation", 3, 3,
     [](World& w) {
         slow_state(w, 0.2);
         ask_everywhere(w, LeaderFault::kEndsAfterCancellation);
     }},
    {"UsersAskEverywhereAsTheLeaderIsRefused", 3, 3,
     [](World& w) { ask_everywhere(w, LeaderFault::kRefusedAtEnd); }},
    {"TheAnswerToAnAcceptIsLost", 3, 3, [](World& w) { lost_answers(w, TransactionKind::kAccept); }},
    {"TheAnswerToABindingIsLost", 3, 3, [](World& w) { lost_answers(w, TransactionKind::kBind); }},
    {"TheAnswerToAnEndIsLost", 3, 3, [](World& w) { lost_answers(w, TransactionKind::kEnd); }},
    {"TheAnswerToACancellationIsLost", 3, 3,
     [](World& w) { lost_answers(w, TransactionKind::kCancellation); }},
    // Stops of cancelled work and of work that yields, from a leader that is deposed when they arrive.
    {"CommandsOfADeposedLeaderComeLate", 3, 4,
     [](World& w) {
         w.submit("job-1", 6, 30, [](auto& f) { f["rank"] = packed_text("idle"); });
         w.submit("job-2", 2, 300);
         ASSERT_TRUE(w.starts("job-1"));
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         // The stops go by command alone, and the new leader's epoch reaches half of the machines late.
         for (auto& m : w.fleet) m->mute = m->w.zone == "a";
         int first = w.leader();
         delay_commands(w);
         w.next_node = static_cast<size_t>(first);
         w.cancel("job-2");
         w.submit("job-3", 4, 10, [](auto& f) { f["rank"] = packed_text("production"); });
         w.site.run(3);
         w.alone(first, true);
         w.apart(first, true);
         w.site.run(2);
         w.site.until([&] { return w.site.leader() >= 0 && w.site.leader() != first; }, 20);
         w.command_delay = {};
         w.site.run(6);
         for (auto& m : w.fleet) m->mute = false;
         w.alone(first, false);
         w.apart(first, false);
         w.site.run(20);
         EXPECT_GT(w.late_commands_carried_out, 0) << "at the old epoch";
     }},
    // A placement whose launch was lost, on a machine that a late stop of the leader before then reaches.
    {"ALateCommandLaunchesNothing", 2, 1,
     [](World& w) {
         LiveMachine& m = *w.fleet[0];
         w.submit("job-1", 1, 300);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         m.deaf = true;
         w.submit("job-2", 1, 300);
         auto bound = [&] {
             auto record = JobRecord::unpack(w.site.state.rows.at("j/job-2").data);
             return record && !record->live.empty();
         };
         ASSERT_TRUE(w.site.until(bound));
         // The report that is under way gets its answer, which is lost too.
         m.mute = true;
         w.site.run(3.5);
         m.deaf = false;
         w.command_delay = [](const LiveMachine&) { return 7.0; };
         int first = w.leader();
         w.cancel("job-1");
         w.site.run(0.5);
         w.command_delay = {};
         // The new leader cannot tell the machine of its epoch.
         m.cut = true;
         w.site.kill(first);
         w.site.until([&] { return w.site.leader() >= 0; });
         w.cancel("job-2");
         EXPECT_EQ(w.late_commands_carried_out, 0);
         w.site.until([&] { return w.late_commands_carried_out > 0; }, 8);
         EXPECT_GT(w.late_commands_carried_out, 0) << "at the old epoch";
         EXPECT_EQ(w.launches["job-2"], 0);
         m.mute = m.cut = false;
         w.site.start(first);
     }},
    // Machines that the cloud rents are up in a second and get work while its writes lag, and the leader
    // ends.
    {"QuickMachinesAsWritesLagAndTheLeaderEnds", 2, 1,
     [](World& w) {
         auto random = std::make_shared<std::mt19937>(3);
         for (auto& g : w.gates)
             g->request_delay = [](const Request& r) { return r.path == "/txn" ? 0.8 : 0.0; };
         w.site.state.let_through = [random](const std::string& body) {
             return kind_of(body) == TransactionKind::kOther || (*random)() % 3 != 0;
         };
         auto deliver_late = [&] {
             for (const auto& body : std::exchange(w.site.state.late, {})) w.site.state.apply(body);
         };
         w.rent_machines(4, 1);
         size_t machines = w.fleet.size();
         for (int round = 0; round < 3; ++round) {
             w.submit(job_name(10 * round + 1), 4, 15);
             w.submit(job_name(10 * round + 2), 2, 300);
             w.site.until([&] { return w.fleet.size() > machines; }, 25);
             machines = w.fleet.size();
             w.site.run(1.5);
             int first = w.leader();
             w.site.kill(first);
             w.cancel(job_name(10 * round + 2));
             w.site.run(2);
             deliver_late();
             w.site.run(6);
             w.site.start(first);
         }
         EXPECT_GT(w.fleet.size(), 2u) << "machines were rented";
         w.site.run(4);
         deliver_late();
     }},
    {"OneTaskJobsForMinutes", 2, 4,
     [](World& w) {
         small_jobs(w, 120, [&](int second) {
             if (second == 40) end_leader(w);
             if (second == 44) restart_all(w);
             if (second == 80) slow_state(w, 0.3);
         });
     }},
    // Neither asked nor heard, heard only, or hung: the new leader knows of their work from the records
    // alone.
    {"ATeamAtItsLimitLosesItsLeaderAndCancels", 2, 6,
     [](World& w) {
         w.submit("job-1", 4, 60);
         w.submit("job-2", 2, 300, [](auto& f) { f["shape"] = packed_text("ensemble"); });
         w.submit("job-3", 2, 300);
         ASSERT_TRUE(w.starts("job-1"));
         ASSERT_TRUE(w.starts("job-2"));
         ASSERT_TRUE(w.starts("job-3"));
         w.site.run(4);
         w.submit("job-4", 6, 10);
         w.holder("job-2")->cut = true;
         w.holder("job-3")->mute = true;
         w.holder("job-1")->hung = true;
         w.fleet[5]->deaf = true;
         int first = w.leader();
         w.site.kill(first);
         w.cancel("job-2");
         w.leader();
         w.site.run(1);
         w.cancel("job-3");
         w.site.run(25);
         for (auto& m : w.fleet) m->cut = m->mute = m->hung = m->deaf = false;
         w.site.run(10);
         w.site.start(first);
     }},
};

class FaultCombinations : public testing::TestWithParam<Combination> {};
class FaultCombinationsBesideServices : public testing::TestWithParam<Combination> {};
class FaultCombinationsAmongVersions : public testing::TestWithParam<Combination> {};

void play(World& w, const Combination& combination) {
    combination.play(w);
    w.calm();
    EXPECT_TRUE(w.starts_after_announced.empty())
        << w.starts_after_announced.front() << " started after its withdrawal";
}

std::string name_of(const testing::TestParamInfo<Combination>& info) {
    return info.param.name;
}

}  // namespace

TEST_P(FaultCombinations, BreakNoRule) {
    World w(GetParam().nodes, GetParam().machines);
    play(w, GetParam());
}

TEST_P(FaultCombinationsBesideServices, BreakNoRule) {
    World w(GetParam().nodes, GetParam().machines);
    w.submit_service("job-900", 2);
    ASSERT_TRUE(w.site.until([&] { return w.replicas_up("job-900") == 2; }));
    play(w, GetParam());
}

// The leader that begins is of the version before cancellation notices; the others are not.
TEST_P(FaultCombinationsAmongVersions, BreakNoRule) {
    World w(GetParam().nodes, GetParam().machines, 0);
    w.submit_service("job-900", 1);
    ASSERT_TRUE(w.site.until([&] { return w.replicas_up("job-900") == 1; }));
    play(w, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Two, FaultCombinations, testing::ValuesIn(kCombinations), name_of);
INSTANTIATE_TEST_SUITE_P(Two, FaultCombinationsBesideServices, testing::ValuesIn(kCombinations), name_of);
INSTANTIATE_TEST_SUITE_P(Two, FaultCombinationsAmongVersions, testing::ValuesIn(kCombinations), name_of);
