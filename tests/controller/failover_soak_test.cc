// A short, seeded soak of repeated failovers. Longer runs are started by hand:
//   HARESHORE_SOAK_SEEDS=1000 build/hareshore_tests --gtest_filter='*FailoverSoak*'
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <string>

#include "scenario/fault_scenario.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr int kSeedsInCi = 24;
constexpr int kControllers = 3;
constexpr int kMachines = 6;
constexpr Seconds kDuration_s = 75;
constexpr Seconds kStep_s = 0.2;
constexpr Seconds kMinTimeBetweenKills_s = 8;
constexpr Seconds kMaxTimeBetweenKills_s = 16;
constexpr Seconds kShortRestart_s = 0.3;
constexpr Seconds kUsualRestart_s = 4;
constexpr Seconds kRequestTimeout_s = 0.2;

int seeds() {
    const char* requested = std::getenv("HARESHORE_SOAK_SEEDS");
    return requested ? std::atoi(requested) : kSeedsInCi;
}

class FailoverSoak : public testing::TestWithParam<int> {
  protected:
    FailoverSoak() : scenario_(kControllers, kMachines), random_(static_cast<unsigned>(GetParam())) {
        const Seconds interval = chance(0.5) ? 3 : 5;
        for (auto& config : scenario_.deployment.configs) config.heartbeat_interval_s = interval;
    }

    Seconds uniform(Seconds low, Seconds high) {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    bool chance(double probability) { return uniform(0, 1) < probability; }
    [[nodiscard]] Seconds now() const { return scenario_.deployment.loop.now(); }

    // Kills the leader at random intervals and restarts it soon afterwards.
    void change_leaders() {
        if (now() >= next_kill_ && scenario_.deployment.leader() != kNoLeader) {
            scenario_.kill_leader();
            restart_at_ = now() + (chance(0.3) ? kShortRestart_s : kUsualRestart_s);
            next_kill_ = now() + uniform(kMinTimeBetweenKills_s, kMaxTimeBetweenKills_s);
        }
        if (now() >= restart_at_) scenario_.start_all_killed();
    }

    FaultScenario scenario_;
    std::mt19937 random_;
    Seconds next_kill_ = 0;
    Seconds restart_at_ = 0;
};

}  // namespace

// Guards against cancelled tasks that outlive cancel_s on hung machines while leaders change. The scenario
// checks it and the other invariants throughout.
TEST_P(FailoverSoak, CancelledTasksOnHungMachinesEndInTime) {
    for (const char* job : {"job-1", "job-2"}) {
        scenario_.submit(job, 4, 400);
        ASSERT_TRUE(scenario_.await_start(job));
    }
    scenario_.deployment.run(uniform(3, 8));
    for (auto& machine : scenario_.fleet.machines())
        machine->hung = !machine->worker.tasks.empty() && chance(0.5);
    next_kill_ = now() + uniform(0, 12);
    Seconds next_cancellation = now() + uniform(0, 6);
    int cancelled = 0;
    const Seconds end = now() + kDuration_s;
    while (now() < end) {
        if (cancelled < 2 && now() >= next_cancellation) {
            const std::string job = "job-" + std::to_string(cancelled + 1);
            scenario_.cancel(job, kRequestTimeout_s);
            if (scenario_.jobs.cancelled.contains(job)) {
                ++cancelled;
                next_cancellation = now() + uniform(0, 10);
            }
        }
        change_leaders();
        scenario_.deployment.run(kStep_s);
    }
    EXPECT_EQ(cancelled, 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FailoverSoak, testing::Range(0, seeds()));
