#include "peer/peer_status.h"

#include <gtest/gtest.h>

#include "standins/peer_reports.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr uint64_t kProcess = 7;
constexpr uint64_t kNextProcess = 8;

peer::ControllerHeartbeat from_process(uint64_t incarnation, uint64_t fencing_token = 0) {
    auto heartbeat = controller_heartbeat("node-1");
    heartbeat.incarnation = incarnation;
    heartbeat.fencing_token = fencing_token;
    return heartbeat;
}

// An answer of a version that announces its cancellations; it confirmed the last one just now.
peer::ControllerHeartbeat announcing(uint64_t incarnation, uint32_t announced) {
    auto answer = from_process(incarnation);
    answer.record_format = peer::kAnnouncedRecordFormat;
    answer.cancellations_announced = announced;
    return answer;
}

struct PeerStatusTest : testing::Test {
    peer::PeerStatus status{peer_address("node-1")};

    size_t receive_notice(uint64_t incarnation, uint32_t first_index, std::vector<std::string> jobs) {
        const peer::CancellationNotice notice{incarnation, first_index, std::move(jobs)};
        return status.receive_cancellations(notice).size();
    }
};

}  // namespace

TEST_F(PeerStatusTest, HasNoTimesBeforeTheFirstMessage) {
    EXPECT_FALSE(status.last_received_at());
    EXPECT_FALSE(status.acknowledged_heartbeat_sent_at());
    EXPECT_FALSE(status.is_present(0));
    EXPECT_FALSE(status.all_cancellations_known_since(1e9));
    EXPECT_EQ(status.record_format(), 0);
}

TEST_F(PeerStatusTest, IsPresentForAWhileAfterAHeartbeat) {
    status.receive_heartbeat(1, from_process(kProcess), 100);
    EXPECT_TRUE(status.is_present(103.4));
    EXPECT_FALSE(status.is_present(103.5));
}

TEST_F(PeerStatusTest, IgnoresCopiesOfHeartbeats) {
    status.receive_heartbeat(2, from_process(kProcess, 5), 100);
    status.receive_heartbeat(2, from_process(kProcess, 6), 101);
    status.receive_heartbeat(1, from_process(kProcess, 6), 101);
    EXPECT_EQ(status.last_heartbeat().fencing_token, 5u);
    EXPECT_EQ(status.last_received_at(), 100);
    status.receive_heartbeat(3, from_process(kProcess, 6), 102);
    EXPECT_EQ(status.last_heartbeat().fencing_token, 6u);
}

TEST_F(PeerStatusTest, IgnoresHeartbeatsOfAnotherProcessWhileOneAnswers) {
    status.receive_response(1, from_process(kProcess), 100);
    status.receive_heartbeat(9, from_process(kNextProcess, 6), 103);
    EXPECT_EQ(status.last_received_at(), 100);
    status.receive_heartbeat(9, from_process(kNextProcess, 6), 104);
    EXPECT_EQ(status.last_received_at(), 104);
}

TEST_F(PeerStatusTest, CountsHeartbeatsAnewForAProcessThatAnswers) {
    status.receive_heartbeat(50, from_process(kProcess), 100);
    status.receive_response(1, from_process(kNextProcess), 101);
    status.receive_heartbeat(1, from_process(kNextProcess, 6), 102);
    EXPECT_EQ(status.last_heartbeat().fencing_token, 6u);
}

TEST_F(PeerStatusTest, TakesEachAnswerOnce) {
    auto answer = from_process(kProcess);
    answer.request_sent_us = 99'500'000;
    status.receive_response(2, answer, 100);
    EXPECT_EQ(status.acknowledged_heartbeat_sent_at(), 99.5);
    answer.request_sent_us = 100'500'000;
    status.receive_response(2, answer, 101);
    status.receive_response(1, answer, 101);
    EXPECT_EQ(status.acknowledged_heartbeat_sent_at(), 99.5);
}

TEST_F(PeerStatusTest, KeepsTheNewestRecordFormat) {
    status.receive_heartbeat(1, announcing(kProcess, 0), 100);
    status.receive_heartbeat(2, from_process(kProcess), 101);
    EXPECT_EQ(status.record_format(), peer::kAnnouncedRecordFormat);
}

TEST_F(PeerStatusTest, ReadsTheStoreAge) {
    auto heartbeat = from_process(kProcess);
    status.receive_heartbeat(1, heartbeat, 100);
    EXPECT_FALSE(status.store_age());
    heartbeat.store_age_ms = 1500;
    status.receive_heartbeat(2, heartbeat, 101);
    EXPECT_EQ(status.store_age(), 1.5);
}

TEST_F(PeerStatusTest, ASilentPeerHasConfirmedNoCancellation) {
    auto answer = from_process(kProcess);
    answer.since_last_cancellation_ms = 50'000;
    status.receive_response(1, answer, 100);
    EXPECT_TRUE(status.all_cancellations_known_since(51));
    EXPECT_FALSE(status.all_cancellations_known_since(50)) << "its clock may run fast";
    answer.since_last_cancellation_ms = 90'000;
    status.receive_heartbeat(1, answer, 100.5);
    EXPECT_FALSE(status.all_cancellations_known_since(50)) << "only answers count";
}

TEST_F(PeerStatusTest, KnowsAllFromTheFirstAnswerThatAnnounces) {
    status.receive_response(1, announcing(kProcess, 3), 100);
    EXPECT_TRUE(status.all_cancellations_known_since(100));
    status.receive_response(2, announcing(kProcess, 3), 110);
    EXPECT_TRUE(status.all_cancellations_known_since(100)) << "nothing is missing";
    EXPECT_FALSE(status.all_cancellations_known_since(99));
}

TEST_F(PeerStatusTest, AMissingNoticeBeginsAnew) {
    status.receive_response(1, announcing(kProcess, 0), 100);
    status.receive_response(2, announcing(kProcess, 1), 110);
    EXPECT_FALSE(status.all_cancellations_known_since(100));
    EXPECT_TRUE(status.all_cancellations_known_since(110));
}

TEST_F(PeerStatusTest, AnotherProcessBeginsAnew) {
    status.receive_response(1, announcing(kProcess, 0), 100);
    status.receive_response(2, announcing(kNextProcess, 0), 110);
    EXPECT_FALSE(status.all_cancellations_known_since(100));
}

TEST_F(PeerStatusTest, AVersionThatDoesNotAnnounceEndsIt) {
    status.receive_response(1, announcing(kProcess, 0), 100);
    status.receive_response(2, from_process(kProcess), 110);
    EXPECT_FALSE(status.all_cancellations_known_since(109));
}

TEST_F(PeerStatusTest, ReturnsTheCancellationsThatAreNew) {
    EXPECT_EQ(receive_notice(kProcess, 0, {"job-1"}), 0u) << "no answer yet";
    status.receive_response(1, announcing(kProcess, 1), 100);
    EXPECT_EQ(receive_notice(kNextProcess, 1, {"job-2"}), 0u) << "of another process";
    EXPECT_EQ(receive_notice(kProcess, 2, {"job-3"}), 0u) << "one before it is missing";
    EXPECT_EQ(receive_notice(kProcess, 0, {"job-1"}), 0u) << "confirmed before the first answer";
    const peer::CancellationNotice notice{kProcess, 0, {"job-1", "job-2", "job-3"}};
    const auto jobs = status.receive_cancellations(notice);
    ASSERT_EQ(jobs.size(), 2u);
    EXPECT_EQ(jobs[0], "job-2");
    EXPECT_EQ(jobs[1], "job-3");
    status.receive_response(2, announcing(kProcess, 3), 110);
    EXPECT_TRUE(status.all_cancellations_known_since(100));
}
