#include "peer/frames.h"

#include <gtest/gtest.h>

using namespace hareshore;

namespace {

std::string frame() {
    return peer::encode_frame(peer::FrameKind::kRelay, 3, 4, "payload");
}

}  // namespace

TEST(Frames, ReassembledFromSingleBytes) {
    peer::FrameReader reader;
    const std::string bytes = frame() + frame();
    size_t frames = 0;
    for (char byte : bytes) {
        reader.append({&byte, 1});
        while (const auto decoded = reader.next()) {
            EXPECT_EQ(decoded->kind, peer::FrameKind::kRelay);
            EXPECT_EQ(decoded->id, 3u);
            EXPECT_EQ(decoded->incarnation, 4u);
            EXPECT_EQ(decoded->payload, "payload");
            ++frames;
        }
    }
    EXPECT_EQ(frames, 2u);
    EXPECT_FALSE(reader.malformed());
}

TEST(Frames, MalformedHeaderEndsStream) {
    constexpr size_t kMagicAt = 0;
    constexpr size_t kVersionAt = 4;
    constexpr size_t kKindAt = 6;
    constexpr size_t kLengthHighByteAt = 15;
    for (size_t at : {kMagicAt, kVersionAt, kKindAt, kLengthHighByteAt}) {
        std::string bytes = frame();
        bytes[at] = '\x7f';
        peer::FrameReader reader;
        reader.append(bytes);
        reader.append(frame());
        EXPECT_FALSE(reader.next()) << at;
        EXPECT_TRUE(reader.malformed()) << at;
        EXPECT_FALSE(reader.next()) << at;
    }
}

TEST(Frames, RelayResponseRoundTrip) {
    const auto response = peer::decode_relay_response(peer::encode_relay_response(421, "body"));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 421);
    EXPECT_EQ(response->body, "body");
    EXPECT_FALSE(peer::decode_relay_response("\x01"));
}

TEST(Frames, TruncatedAndOversizedPayloadsAreRejected) {
    const std::string notice = peer::encode_cancellation_notice({7, 3, {"job-1", "job-22"}});
    for (size_t size = 0; size < notice.size(); ++size)
        EXPECT_FALSE(peer::decode_cancellation_notice(notice.substr(0, size))) << size;
    EXPECT_FALSE(peer::decode_cancellation_notice(notice + "x"));
    const auto decoded = peer::decode_cancellation_notice(notice);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->jobs, (std::vector<std::string>{"job-1", "job-22"}));

    const std::string heartbeat(sizeof(peer::ControllerHeartbeat), '\0');
    EXPECT_TRUE(peer::decode_controller_heartbeat(heartbeat));
    EXPECT_FALSE(peer::decode_controller_heartbeat(heartbeat.substr(1)));
    EXPECT_FALSE(peer::decode_controller_heartbeat(heartbeat + "x"));
}
