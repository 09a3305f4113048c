// The bytes of a heartbeat between controllers.
#include <gtest/gtest.h>

#include "peer/frames.h"

using namespace hareshore;

// In the heartbeat's format of the version in production the label is padded to 32 bytes; ours stands in the
// padding.
TEST(PeerHeartbeat, AHeartbeatIsReadAsTheVersionInProductionReadsIt) {
    for (std::string label : {"node-0", "a-label-of-23-bytes-long", "a-label-of-exactly-31-bytes-xyz"}) {
        peer::ControllerHeartbeat b{};
        peer::set_label(b, label);
        EXPECT_EQ(peer::label_of(b), label);
        EXPECT_EQ(peer::has_extension(b), label.size() < sizeof b.label);
        if (peer::has_extension(b)) {
            b.record_format = peer::kAnnouncedRecordFormat;
            b.cancellations_announced = 0x01020304;
        }
        EXPECT_EQ(peer::label_of(b), label);
        std::string bytes = peer::encode_frame(peer::FrameKind::kHeartbeat, 1, 2, b);
        ASSERT_EQ(bytes.size(), 24U + 68U);
        EXPECT_EQ(std::string(bytes.c_str() + 24), label);
    }
}
