#include "controller/readiness.h"

#include <gtest/gtest.h>

#include <vector>

#include "standins/peer_statuses.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr Seconds kStarted = 1000;
constexpr Seconds kLater = 1100;

ReadinessInput input_with_store() {
    return {.now = kLater,
            .started_at = kStarted,
            .last_store_contact = kLater - 1,
            .records_readable = true,
            .machine_types_known = true,
            .peers = {}};
}

peer::PeerStatus peer_with_store_age(uint32_t store_age_ms, Seconds received_at) {
    auto heartbeat = controller_heartbeat("node-1");
    heartbeat.ready = 1;
    heartbeat.store_age_ms = store_age_ms;
    return peer_with_heartbeat(heartbeat, received_at);
}

}  // namespace

TEST(Readiness, ReadyWhileStoreResponds) {
    EXPECT_EQ(decide_readiness(input_with_store()), Readiness::kReady);
}

TEST(Readiness, RequiresReadableRecords) {
    auto input = input_with_store();
    input.records_readable = false;
    EXPECT_EQ(decide_readiness(input), Readiness::kRecordsUnreadable);
}

TEST(Readiness, RequiresMachineTypesAfterFirstStoreContact) {
    auto input = input_with_store();
    input.machine_types_known = false;
    EXPECT_EQ(decide_readiness(input), Readiness::kStarting);
    input.last_store_contact.reset();
    EXPECT_EQ(decide_readiness(input), Readiness::kReady) << "ready without machine types during an outage";
}

TEST(Readiness, WaitsForPeerHeartbeatsWhenStartedDuringOutage) {
    auto input = input_with_store();
    input.last_store_contact.reset();
    input.now = kStarted + 1.9;
    EXPECT_EQ(decide_readiness(input), Readiness::kStarting);
    input.now = kStarted + 2;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
}

TEST(Readiness, UnreadyIfPeerReachesStore) {
    auto input = input_with_store();
    const std::vector peers{peer_with_store_age(2499, kLater)};
    input.peers = peers;
    input.last_store_contact = kLater - 4.9;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady) << "kUnreadyAfterStoreRefusal_s has not passed";
    input.last_store_contact = kLater - 5;
    EXPECT_EQ(decide_readiness(input), Readiness::kStoreReachableFromPeerOnly);
}

TEST(Readiness, ReadyIfNoControllerReachesStore) {
    auto input = input_with_store();
    input.last_store_contact = kLater - 60;
    const std::vector peers{peer_with_store_age(2500, kLater),
                            peer_with_store_age(peer::kNoStoreContact, kLater)};
    input.peers = peers;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
}

TEST(Readiness, IgnoresAbsentPeer) {
    auto input = input_with_store();
    input.last_store_contact = kLater - 9.9;
    const std::vector peers{peer_with_store_age(0, kLater - 3.5)};
    input.peers = peers;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
    input.last_store_contact = kLater - 10;
    EXPECT_EQ(decide_readiness(input), Readiness::kIsolated);
}

TEST(Readiness, NeverIsolatedWithoutConfiguredPeers) {
    auto input = input_with_store();
    input.last_store_contact = kLater - 60;
    EXPECT_EQ(decide_readiness(input), Readiness::kReady);
}
