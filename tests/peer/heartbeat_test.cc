// Wire compatibility of peer heartbeats.
#include <gtest/gtest.h>

#include "peer/frames.h"

using namespace hareshore;

// The production version pads the label to 32 bytes. The extension fields are stored in that padding, so the
// production version must still read the same label.
TEST(PeerHeartbeat, LabelIsReadableByProductionVersion) {
    for (std::string label : {"node-0", "a-label-of-23-bytes-long", "a-label-of-exactly-31-bytes-xyz"}) {
        peer::ControllerHeartbeat heartbeat{};
        peer::set_label(heartbeat, label);
        EXPECT_EQ(peer::label_of(heartbeat), label);
        EXPECT_EQ(peer::has_extension(heartbeat), label.size() < sizeof heartbeat.label);
        if (peer::has_extension(heartbeat)) {
            heartbeat.record_format = peer::kAnnouncedRecordFormat;
            heartbeat.cancellations_announced = 0x01020304;
        }
        EXPECT_EQ(peer::label_of(heartbeat), label);
        std::string bytes = peer::encode_frame(peer::FrameKind::kHeartbeat, 1, 2, heartbeat);
        ASSERT_EQ(bytes.size(), 24U + 68U);
        EXPECT_EQ(std::string(bytes.c_str() + 24), label);
    }
}
