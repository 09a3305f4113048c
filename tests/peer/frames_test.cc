#include "peer/frames.h"

#include <gtest/gtest.h>

using namespace hareshore;

namespace {

std::string frame() {
    return peer::encode_frame(peer::FrameKind::kRelay, 3, 4, "payload");
}

}  // namespace

TEST(Frames, AreCutOutOfAnyPieces) {
    peer::FrameReader reader;
    const std::string bytes = frame() + frame();
    size_t frames = 0;
    for (char byte : bytes) {
        reader.feed({&byte, 1});
        while (const auto read = reader.next()) {
            EXPECT_EQ(read->kind, peer::FrameKind::kRelay);
            EXPECT_EQ(read->id, 3u);
            EXPECT_EQ(read->incarnation, 4u);
            EXPECT_EQ(read->payload, "payload");
            ++frames;
        }
    }
    EXPECT_EQ(frames, 2u);
    EXPECT_FALSE(reader.malformed());
}

TEST(Frames, MalformedHeadersEndTheStream) {
    constexpr size_t kMagicAt = 0;
    constexpr size_t kVersionAt = 4;
    constexpr size_t kKindAt = 6;
    constexpr size_t kLengthHighByteAt = 15;
    for (size_t at : {kMagicAt, kVersionAt, kKindAt, kLengthHighByteAt}) {
        std::string bytes = frame();
        bytes[at] = '\x7f';
        peer::FrameReader reader;
        reader.feed(bytes);
        reader.feed(frame());
        EXPECT_FALSE(reader.next()) << at;
        EXPECT_TRUE(reader.malformed()) << at;
        EXPECT_FALSE(reader.next()) << at;
    }
}

TEST(Frames, RelayAnswersHoldStatusAndBody) {
    const auto answer = peer::decode_relay_response(peer::encode_relay_response(421, "body"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 421);
    EXPECT_EQ(answer->body, "body");
    EXPECT_FALSE(peer::decode_relay_response("\x01"));
}

TEST(Frames, CutPayloadsAreRefused) {
    const std::string notice = peer::encode_cancellation_notice({7, 3, {"job-1", "job-22"}});
    for (size_t size = 0; size < notice.size(); ++size)
        EXPECT_FALSE(peer::decode_cancellation_notice(notice.substr(0, size))) << size;
    EXPECT_FALSE(peer::decode_cancellation_notice(notice + "x"));
    const auto read = peer::decode_cancellation_notice(notice);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->jobs, (std::vector<std::string>{"job-1", "job-22"}));

    const std::string heartbeat(sizeof(peer::ControllerHeartbeat), '\0');
    EXPECT_TRUE(peer::decode_controller_heartbeat(heartbeat));
    EXPECT_FALSE(peer::decode_controller_heartbeat(heartbeat.substr(1)));
    EXPECT_FALSE(peer::decode_controller_heartbeat(heartbeat + "x"));
}
