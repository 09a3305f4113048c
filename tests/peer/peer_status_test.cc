#include "peer/peer_status.h"

#include <gtest/gtest.h>

#include "standins/peer_statuses.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr uint64_t kIncarnation = 7;
constexpr uint64_t kNextIncarnation = 8;

peer::ControllerHeartbeat heartbeat_of(uint64_t incarnation, uint64_t fencing_token = 0) {
    auto heartbeat = controller_heartbeat("node-1");
    heartbeat.incarnation = incarnation;
    heartbeat.fencing_token = fencing_token;
    return heartbeat;
}

// A response of a version that announces cancellations. The last one was confirmed just now.
peer::ControllerHeartbeat announcing_response(uint64_t incarnation, uint32_t announced) {
    auto response = heartbeat_of(incarnation);
    response.record_format = peer::kAnnouncedRecordFormat;
    response.cancellations_announced = announced;
    return response;
}

struct PeerStatusTest : testing::Test {
    peer::PeerStatus status{peer_address("node-1")};

    size_t receive_notice(uint64_t incarnation, uint32_t first_index, std::vector<std::string> jobs) {
        const peer::CancellationNotice notice{incarnation, first_index, std::move(jobs)};
        return status.receive_cancellations(notice).size();
    }
};

}  // namespace

TEST_F(PeerStatusTest, NoTimesBeforeFirstMessage) {
    EXPECT_FALSE(status.last_received_at());
    EXPECT_FALSE(status.acknowledged_heartbeat_sent_at());
    EXPECT_FALSE(status.is_present(0));
    EXPECT_FALSE(status.all_cancellations_known_since(1e9));
    EXPECT_EQ(status.record_format(), 0);
}

TEST_F(PeerStatusTest, PresentUntilHeartbeatTimeout) {
    status.receive_heartbeat(1, heartbeat_of(kIncarnation), 100);
    EXPECT_TRUE(status.is_present(103.4));
    EXPECT_FALSE(status.is_present(103.5));
}

TEST_F(PeerStatusTest, IgnoresDuplicateAndStaleHeartbeats) {
    status.receive_heartbeat(2, heartbeat_of(kIncarnation, 5), 100);
    status.receive_heartbeat(2, heartbeat_of(kIncarnation, 6), 101);
    status.receive_heartbeat(1, heartbeat_of(kIncarnation, 6), 101);
    EXPECT_EQ(status.last_heartbeat().fencing_token, 5u);
    EXPECT_EQ(status.last_received_at(), 100);
    status.receive_heartbeat(3, heartbeat_of(kIncarnation, 6), 102);
    EXPECT_EQ(status.last_heartbeat().fencing_token, 6u);
}

TEST_F(PeerStatusTest, IgnoresOtherIncarnationWhileOneResponds) {
    status.receive_response(1, heartbeat_of(kIncarnation), 100);
    status.receive_heartbeat(9, heartbeat_of(kNextIncarnation, 6), 103);
    EXPECT_EQ(status.last_received_at(), 100);
    status.receive_heartbeat(9, heartbeat_of(kNextIncarnation, 6), 104);
    EXPECT_EQ(status.last_received_at(), 104);
}

TEST_F(PeerStatusTest, ResponseOfNewIncarnationResetsHeartbeatIds) {
    status.receive_heartbeat(50, heartbeat_of(kIncarnation), 100);
    status.receive_response(1, heartbeat_of(kNextIncarnation), 101);
    status.receive_heartbeat(1, heartbeat_of(kNextIncarnation, 6), 102);
    EXPECT_EQ(status.last_heartbeat().fencing_token, 6u);
}

TEST_F(PeerStatusTest, IgnoresDuplicateAndStaleResponses) {
    auto response = heartbeat_of(kIncarnation);
    response.request_sent_us = 99'500'000;
    status.receive_response(2, response, 100);
    EXPECT_EQ(status.acknowledged_heartbeat_sent_at(), 99.5);
    response.request_sent_us = 100'500'000;
    status.receive_response(2, response, 101);
    status.receive_response(1, response, 101);
    EXPECT_EQ(status.acknowledged_heartbeat_sent_at(), 99.5);
}

TEST_F(PeerStatusTest, KeepsNewestRecordFormat) {
    status.receive_heartbeat(1, announcing_response(kIncarnation, 0), 100);
    status.receive_heartbeat(2, heartbeat_of(kIncarnation), 101);
    EXPECT_EQ(status.record_format(), peer::kAnnouncedRecordFormat);
}

TEST_F(PeerStatusTest, DecodesStoreAge) {
    auto heartbeat = heartbeat_of(kIncarnation);
    status.receive_heartbeat(1, heartbeat, 100);
    EXPECT_FALSE(status.store_age());
    heartbeat.store_age_ms = 1500;
    status.receive_heartbeat(2, heartbeat, 101);
    EXPECT_EQ(status.store_age(), 1.5);
}

TEST_F(PeerStatusTest, TimeSinceLastCancellationCoversInterval) {
    auto response = heartbeat_of(kIncarnation);
    response.since_last_cancellation_ms = 50'000;
    status.receive_response(1, response, 100);
    EXPECT_TRUE(status.all_cancellations_known_since(51));
    EXPECT_FALSE(status.all_cancellations_known_since(50)) << "the peer's clock may run fast";
    response.since_last_cancellation_ms = 90'000;
    status.receive_heartbeat(1, response, 100.5);
    EXPECT_FALSE(status.all_cancellations_known_since(50)) << "only responses count";
}

TEST_F(PeerStatusTest, CancellationsKnownFromFirstAnnouncingResponse) {
    status.receive_response(1, announcing_response(kIncarnation, 3), 100);
    EXPECT_TRUE(status.all_cancellations_known_since(100));
    status.receive_response(2, announcing_response(kIncarnation, 3), 110);
    EXPECT_TRUE(status.all_cancellations_known_since(100)) << "nothing is missing";
    EXPECT_FALSE(status.all_cancellations_known_since(99));
}

TEST_F(PeerStatusTest, MissingNoticeRestartsKnownInterval) {
    status.receive_response(1, announcing_response(kIncarnation, 0), 100);
    status.receive_response(2, announcing_response(kIncarnation, 1), 110);
    EXPECT_FALSE(status.all_cancellations_known_since(100));
    EXPECT_TRUE(status.all_cancellations_known_since(110));
}

TEST_F(PeerStatusTest, NewIncarnationRestartsKnownInterval) {
    status.receive_response(1, announcing_response(kIncarnation, 0), 100);
    status.receive_response(2, announcing_response(kNextIncarnation, 0), 110);
    EXPECT_FALSE(status.all_cancellations_known_since(100));
}

TEST_F(PeerStatusTest, ResponseWithoutAnnouncementsEndsKnownInterval) {
    status.receive_response(1, announcing_response(kIncarnation, 0), 100);
    status.receive_response(2, heartbeat_of(kIncarnation), 110);
    EXPECT_FALSE(status.all_cancellations_known_since(109));
}

TEST_F(PeerStatusTest, ReturnsOnlyNewCancellations) {
    EXPECT_EQ(receive_notice(kIncarnation, 0, {"job-1"}), 0u) << "no response yet";
    status.receive_response(1, announcing_response(kIncarnation, 1), 100);
    EXPECT_EQ(receive_notice(kNextIncarnation, 1, {"job-2"}), 0u) << "from another incarnation";
    EXPECT_EQ(receive_notice(kIncarnation, 2, {"job-3"}), 0u) << "an earlier cancellation is missing";
    EXPECT_EQ(receive_notice(kIncarnation, 0, {"job-1"}), 0u) << "confirmed before the first response";
    const peer::CancellationNotice notice{kIncarnation, 0, {"job-1", "job-2", "job-3"}};
    const auto jobs = status.receive_cancellations(notice);
    ASSERT_EQ(jobs.size(), 2u);
    EXPECT_EQ(jobs[0], "job-2");
    EXPECT_EQ(jobs[1], "job-3");
    status.receive_response(2, announcing_response(kIncarnation, 3), 110);
    EXPECT_TRUE(status.all_cancellations_known_since(100));
}
