// Streams: detection that the peer closed the connection.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <memory>

#include "base/clock.h"
#include "base/constants.h"
#include "http/message.h"

using namespace hareshore;

namespace {

// A pair of connected streams.
struct StreamPair {
    explicit StreamPair(Loop& loop) {
        int ends[2] = {-1, -1};
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
        left = std::make_unique<Stream>(loop, ends[0]);
        right = std::make_unique<Stream>(loop, ends[1]);
    }
    std::unique_ptr<Stream> left, right;
};

// Reads until the end of the stream and stores the elapsed time in `waited`.
Task<void> read_to_end(Loop& loop, Stream& stream, std::string& out, Seconds& waited) {
    Seconds started_at = loop.now();
    while (true) {
        Stream::Read received = co_await stream.read(loop.now() + 20);
        if (!received.ok()) break;
        out.append(received.bytes);
    }
    waited = loop.now() - started_at;
}

Task<void> write_and_close(Loop& loop, StreamPair& pair, std::string bytes) {
    co_await pair.left->write(bytes, loop.now() + 1);
    pair.left.reset();
}

}  // namespace

// After a short read a stream waits for an event. One event may report both the last bytes and the end of the
// stream. The end must then be detected without another event; otherwise a closed connection is kept until
// its timeout.
TEST(Stream, DetectsEndReportedWithTheLastBytes) {
    FakeClock clock;
    Loop loop(clock);
    for (size_t size : {size_t{1}, constants::kReadBufferSize, constants::kReadBufferSize + 1}) {
        StreamPair pair(loop);
        TaskGroup tasks(loop);
        std::string out;
        Seconds waited = -1;
        tasks.spawn(write_and_close(loop, pair, std::string(size, 'x')), "writer");
        loop.turn(0);
        tasks.spawn(read_to_end(loop, *pair.right, out, waited), "reader");
        ASSERT_TRUE(loop.run_until([&] { return waited >= 0; }, 30));
        EXPECT_EQ(out.size(), size);
        EXPECT_LT(waited, 1);
    }
}

TEST(Stream, IsStaleAfterPeerClosed) {
    FakeClock clock;
    Loop loop(clock);
    StreamPair pair(loop);
    loop.turn(0);
    EXPECT_FALSE(pair.right->stale());
    pair.left.reset();
    loop.turn(0);
    EXPECT_TRUE(pair.right->stale());
}
