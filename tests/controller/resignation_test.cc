#include "controller/resignation.h"

#include <gtest/gtest.h>

#include <vector>

#include "standins/peer_statuses.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr Seconds kNow = 1000;

peer::PeerStatus peer_with_worker_heartbeats(uint16_t received, Seconds received_at) {
    auto heartbeat = controller_heartbeat("node-1");
    heartbeat.worker_heartbeats_received = received;
    return peer_with_heartbeat(heartbeat, received_at);
}

// A leader that has stopped receiving worker heartbeats.
ResignationInput isolated_leader(const std::vector<peer::PeerStatus>& peers) {
    return {
        .now = kNow, .loaded_for = 60, .machines_seen = 3, .last_worker_heartbeat = kNow - 7, .peers = peers};
}

}  // namespace

TEST(Resignation, NamesPeerReachedByWorkers) {
    const std::vector peers{peer_with_worker_heartbeats(3, kNow)};
    const auto resignation = decide_resignation(isolated_leader(peers));
    ASSERT_TRUE(resignation);
    EXPECT_EQ(resignation->peer, "node-1");
}

TEST(Resignation, RequiresPresentPeerWithSeveralWorkers) {
    const std::vector few_workers{peer_with_worker_heartbeats(2, kNow)};
    EXPECT_FALSE(decide_resignation(isolated_leader(few_workers)));
    const std::vector absent{peer_with_worker_heartbeats(3, kNow - 3.6)};
    EXPECT_FALSE(decide_resignation(isolated_leader(absent)));
    const std::vector never_connected{peer::PeerStatus(peer_address("node-1"))};
    EXPECT_FALSE(decide_resignation(isolated_leader(never_connected)));
    EXPECT_FALSE(decide_resignation(isolated_leader({})));
}

TEST(Resignation, RequiresLoadedLeaderWithMachines) {
    const std::vector peers{peer_with_worker_heartbeats(3, kNow)};
    auto recently_loaded = isolated_leader(peers);
    recently_loaded.loaded_for = 6.9;
    EXPECT_FALSE(decide_resignation(recently_loaded));
    auto few_machines = isolated_leader(peers);
    few_machines.machines_seen = 2;
    EXPECT_FALSE(decide_resignation(few_machines));
}

TEST(Resignation, RequiresAbsenceOfWorkerHeartbeats) {
    const std::vector peers{peer_with_worker_heartbeats(3, kNow)};
    auto input = isolated_leader(peers);
    input.last_worker_heartbeat = kNow - 6.9;
    EXPECT_FALSE(decide_resignation(input));
    input.last_worker_heartbeat.reset();
    EXPECT_TRUE(decide_resignation(input));
}
