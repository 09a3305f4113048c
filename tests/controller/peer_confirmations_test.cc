#include "controller/peer_confirmations.h"

#include <gtest/gtest.h>

#include <vector>

#include "standins/peer_statuses.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr Seconds kNow = 1000;

// A peer of an older version that had confirmed no cancellation for `quiet_for` before its response.
peer::PeerStatus peer_without_cancellations(Seconds quiet_for, Seconds sent_at) {
    auto response = controller_heartbeat("node-1");
    response.since_last_cancellation_ms = static_cast<uint32_t>(quiet_for * 1000);
    return peer_with_response(response, sent_at);
}

peer::PeerStatus peer_with_token(uint64_t fencing_token, Seconds sent_at) {
    auto response = controller_heartbeat("node-1");
    response.fencing_token = fencing_token;
    return peer_with_response(response, sent_at);
}

}  // namespace

TEST(PeerConfirmations, CancellationsKnownUntilOldestResponse) {
    EXPECT_EQ(cancellations_known_until({}, 900, kNow), kNow) << "without peers it knows all cancellations";
    const std::vector peers{peer_without_cancellations(500, kNow - 1),
                            peer_without_cancellations(500, kNow - 2)};
    EXPECT_EQ(cancellations_known_until(peers, 900, kNow), kNow - 2);
}

TEST(PeerConfirmations, ResultIsStartIfPeerMayHaveConfirmedOne) {
    const std::vector recent{peer_without_cancellations(500, kNow - 1),
                             peer_without_cancellations(50, kNow - 1)};
    EXPECT_EQ(cancellations_known_until(recent, 900, kNow), 900);
    const std::vector never_connected{peer::PeerStatus(peer_address("node-1"))};
    EXPECT_EQ(cancellations_known_until(never_connected, 900, kNow), 900);
}

TEST(PeerConfirmations, ResultIsNeverBeforeStart) {
    const std::vector peers{peer_without_cancellations(500, kNow - 100)};
    EXPECT_EQ(cancellations_known_until(peers, kNow - 50, kNow), kNow - 50);
}

TEST(PeerConfirmations, NoOtherLeaderRequiresFreshResponsesFromAllPeers) {
    EXPECT_TRUE(no_other_leader({}, 5, kNow));
    const std::vector fresh{peer_with_token(5, kNow - 3.4), peer_with_token(4, kNow)};
    EXPECT_TRUE(no_other_leader(fresh, 5, kNow));
    const std::vector late{peer_with_token(5, kNow - 3.5), peer_with_token(5, kNow)};
    EXPECT_FALSE(no_other_leader(late, 5, kNow));
    const std::vector never_connected{peer::PeerStatus(peer_address("node-1"))};
    EXPECT_FALSE(no_other_leader(never_connected, 5, kNow));
}

TEST(PeerConfirmations, HigherFencingTokenIndicatesAnotherLeader) {
    const std::vector peers{peer_with_token(6, kNow)};
    EXPECT_FALSE(no_other_leader(peers, 5, kNow));
}

TEST(PeerConfirmations, UpgradedOnlyIfAllPeersAnnounceRecordFormat) {
    EXPECT_TRUE(all_peers_upgraded({}));
    auto upgraded = controller_heartbeat("node-1");
    upgraded.record_format = peer::kAnnouncedRecordFormat;
    std::vector peers{peer_with_heartbeat(upgraded, kNow)};
    EXPECT_TRUE(all_peers_upgraded(peers));
    peers.push_back(peer_with_heartbeat(controller_heartbeat("node-2"), kNow));
    EXPECT_FALSE(all_peers_upgraded(peers));
}
