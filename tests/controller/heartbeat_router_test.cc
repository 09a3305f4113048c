#include "controller/heartbeat_router.h"

#include <gtest/gtest.h>

using namespace hareshore;

namespace {

HeartbeatHeader heartbeat(const std::string& machine, uint64_t sequence) {
    HeartbeatHeader header;
    header.machine = machine;
    header.zone = "zone-a";
    header.incarnation = 1;
    header.sequence = sequence;
    return header;
}

}  // namespace

TEST(HeartbeatRouter, RelaysWorkerAfterFailedRedirect) {
    HeartbeatRouter router;
    EXPECT_EQ(router.route(heartbeat("vm-1", 1), "node-1", 100), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", 2), "node-1", 110), HeartbeatRouting::kRelay);
    EXPECT_EQ(router.route(heartbeat("vm-2", 1), "node-1", 110), HeartbeatRouting::kRedirect);
}

TEST(HeartbeatRouter, RedirectsAgainAfterLongAbsence) {
    HeartbeatRouter router;
    EXPECT_EQ(router.route(heartbeat("vm-1", 1), "node-1", 100), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", 2), "node-1", 125), HeartbeatRouting::kRedirect);
}

TEST(HeartbeatRouter, RedirectsToNewLeader) {
    HeartbeatRouter router;
    EXPECT_EQ(router.route(heartbeat("vm-1", 1), "node-1", 100), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", 2), "node-2", 105), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", 3), "node-2", 110), HeartbeatRouting::kRelay);
}

TEST(HeartbeatRouter, IgnoresDelayedDuplicates) {
    HeartbeatRouter router;
    EXPECT_EQ(router.route(heartbeat("vm-1", 5), "node-1", 100), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", 5), "node-1", 101), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", 4), "node-1", 102), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", 6), "node-1", 103), HeartbeatRouting::kRelay);
}

TEST(HeartbeatRouter, RetriesRedirectAfterRelayPeriod) {
    HeartbeatRouter router;
    uint64_t sequence = 0;
    EXPECT_EQ(router.route(heartbeat("vm-1", ++sequence), "node-1", 100), HeartbeatRouting::kRedirect);
    for (Seconds now = 105; now < 150; now += 5)
        EXPECT_EQ(router.route(heartbeat("vm-1", ++sequence), "node-1", now), HeartbeatRouting::kRelay)
            << now;
    EXPECT_EQ(router.route(heartbeat("vm-1", ++sequence), "node-1", 150), HeartbeatRouting::kRedirect);
    EXPECT_EQ(router.route(heartbeat("vm-1", ++sequence), "node-1", 155), HeartbeatRouting::kRelay);
}

TEST(HeartbeatRouter, RelaysOtherWorkersOfPartitionedZone) {
    HeartbeatRouter router;
    for (const char* machine : {"vm-1", "vm-2"}) {
        EXPECT_EQ(router.route(heartbeat(machine, 1), "node-1", 100), HeartbeatRouting::kRedirect);
        EXPECT_EQ(router.route(heartbeat(machine, 2), "node-1", 105), HeartbeatRouting::kRelay);
    }
    EXPECT_EQ(router.route(heartbeat("vm-3", 1), "node-1", 106), HeartbeatRouting::kRelay);
    HeartbeatHeader other_zone = heartbeat("vm-4", 1);
    other_zone.zone = "zone-b";
    EXPECT_EQ(router.route(other_zone, "node-1", 106), HeartbeatRouting::kRedirect);
}
