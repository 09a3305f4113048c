#include "peer/relay_client.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>

using namespace hareshore;

namespace {

constexpr uint64_t kIncarnation = 7;

struct RelayClientTest : testing::Test {
    FakeClock clock;
    Loop loop{clock};
    peer::RelayClient client{loop, kIncarnation};
    std::shared_ptr<peer::PeerLink> link;
    std::unique_ptr<FileDescriptor> other_end;
    std::optional<peer::RelayResult> result;
    TaskGroup coroutines{loop};

    RelayClientTest() {
        std::array<int, 2> sockets{};
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()), 0);
        link = std::make_shared<peer::PeerLink>(loop, std::make_unique<Stream>(loop, sockets[0]), 1024);
        other_end = std::make_unique<FileDescriptor>(loop, sockets[1]);
    }
    ~RelayClientTest() override {
        coroutines.cancel();
        loop.turn(0);
    }

    Task<void> relay(std::shared_ptr<peer::PeerLink> through) {
        result = co_await client.relay(std::move(through), "heartbeat");
    }
    void start(std::shared_ptr<peer::PeerLink> through) {
        coroutines.spawn(relay(std::move(through)), "relay");
        loop.turn(0);
    }
    void deliver_response(uint32_t id, uint64_t incarnation) {
        client.receive_response(
            {peer::FrameKind::kRelayResponse, id, incarnation, peer::encode_relay_response(200, "commands")});
        loop.turn(0);
    }
};

}  // namespace

TEST_F(RelayClientTest, ReturnsResponse) {
    start(link);
    EXPECT_FALSE(result);
    deliver_response(1, kIncarnation);
    ASSERT_TRUE(result && *result);
    EXPECT_EQ((*result)->status, 200);
    EXPECT_EQ((*result)->body, "commands");
}

TEST_F(RelayClientTest, FailsWithoutOpenLink) {
    start(nullptr);
    ASSERT_TRUE(result && !*result);
    EXPECT_EQ(result->error(), peer::RelayError::kNotConnected);
    result.reset();
    link->close();
    start(link);
    ASSERT_TRUE(result && !*result);
    EXPECT_EQ(result->error(), peer::RelayError::kNotConnected);
}

TEST_F(RelayClientTest, IgnoresResponsesToOtherRelays) {
    start(link);
    deliver_response(1, kIncarnation + 1);
    deliver_response(2, kIncarnation);
    client.receive_response({peer::FrameKind::kRelayResponse, 1, kIncarnation, "x"});
    loop.turn(0);
    EXPECT_FALSE(result);
}

TEST_F(RelayClientTest, TimesOut) {
    start(link);
    ASSERT_TRUE(loop.run_until([&] { return result.has_value(); }, 4));
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error(), peer::RelayError::kTimedOut);
    deliver_response(1, kIncarnation);  // a late response is ignored
}
