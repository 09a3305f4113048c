#include "controller/readiness.h"

#include <gtest/gtest.h>

#include <vector>

#include "standins/peer_reports.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr Seconds kStarted = 1000;
constexpr Seconds kLater = 1100;

ReadinessInput served_input() {
    return {.now = kLater,
            .started_at = kStarted,
            .last_store_contact = kLater - 1,
            .records_readable = true,
            .machine_types_known = true,
            .peers = {}};
}

peer::PeerStatus peer_served_ago(uint32_t store_age_ms, Seconds received_at) {
    auto heartbeat = controller_heartbeat("node-1");
    heartbeat.ready = 1;
    heartbeat.store_age_ms = store_age_ms;
    return peer_with_heartbeat(heartbeat, received_at);
}

}  // namespace

TEST(Readiness, IsReadyWhileTheStoreAnswers) {
    EXPECT_EQ(decide_readiness(served_input()), Readiness::kReady);
}

TEST(Readiness, NeedsRecordsThatItCanRead) {
    auto input = served_input();
    input.records_readable = false;
    EXPECT_EQ(decide_readiness(input), Readiness::kRecordsUnreadable);
}

TEST(Readiness, NeedsTheMachineTypesOnceTheStoreHasAnswered) {
    auto input = served_input();
    input.machine_types_known = false;
    EXPECT_EQ(decide_readiness(input), Readiness::kStarting);
    input.last_store_contact.reset();
    EXPECT_EQ(decide_readiness(input), Readiness::kReady) << "in an outage it serves without them";
}

TEST(Readiness, WaitsForThePeersReportsWhenItStartsInAnOutage) {
    auto input = served_input();
    input.last_store_contact.reset();
    input.now = kStarted + 1.9;
    EXPECT_EQ(decide_readiness(input), Readiness::kStarting);
    input.now = kStarted + 2;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
}

TEST(Readiness, LeavesUsersToAPeerThatTheStoreServes) {
    auto input = served_input();
    const std::vector peers{peer_served_ago(2499, kLater)};
    input.peers = peers;
    input.last_store_contact = kLater - 4.9;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady) << "not refused for long enough";
    input.last_store_contact = kLater - 5;
    EXPECT_EQ(decide_readiness(input), Readiness::kOnlyPeersHaveStore);
}

TEST(Readiness, ServesInAnOutageForAll) {
    auto input = served_input();
    input.last_store_contact = kLater - 60;
    const std::vector peers{peer_served_ago(2500, kLater), peer_served_ago(peer::kNoStoreContact, kLater)};
    input.peers = peers;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
}

TEST(Readiness, IgnoresAPeerThatIsAbsent) {
    auto input = served_input();
    input.last_store_contact = kLater - 9.9;
    const std::vector peers{peer_served_ago(0, kLater - 3.5)};
    input.peers = peers;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
    input.last_store_contact = kLater - 10;
    EXPECT_EQ(decide_readiness(input), Readiness::kIsolated);
}

TEST(Readiness, IsNeverIsolatedWithoutConfiguredPeers) {
    auto input = served_input();
    input.last_store_contact = kLater - 60;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
}
