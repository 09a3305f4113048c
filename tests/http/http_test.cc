// HTTP server and client against well-formed and arbitrary bytes.
#include <gtest/gtest.h>

#include <random>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "standins/addresses.h"
#include "standins/mutations.h"
#include "standins/unwind.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Sends raw bytes and collects what comes back until the time is over or the peer closes.
Task<void> raw(Loop& loop, Address to, std::string bytes, Seconds wait, std::string& out, bool& closed) {
    auto s = co_await connect_to(loop, to, loop.now() + 1);
    if (!s) co_return;
    co_await s->write(bytes, loop.now() + wait);
    Seconds until = loop.now() + wait;
    while (true) {
        Stream::Read got = co_await s->read(until);
        if (!got.ok()) {
            closed = got.outcome != Stream::Read::Outcome::kTimeout;
            co_return;
        }
        out.append(got.bytes);
    }
}

struct Http : testing::Test {
    FakeClock clock;
    Loop loop{clock};
    int served = 0;
    ~Http() override {
        server.stop();
        unwind(loop);
    }
    HttpServer server{loop, address(5, 8080), 4,
                      [this](Request request) { return answer(std::move(request)); }};
    Task<Response> answer(Request request) {
        ++served;
        co_return Response{200, request.method + request.path + std::to_string(request.body.size()), 0,
                           "text/plain"};
    }
    std::pair<std::string, bool> send(std::string bytes, Seconds wait = 5) {
        std::string out;
        bool closed = false;
        TaskGroup scope(loop);
        scope.spawn(raw(loop, address(5, 8080), std::move(bytes), wait, out, closed), "raw");
        loop.run_until([&] { return scope.size() == 0; }, wait + 2);
        return {out, closed};
    }
};

size_t count(const std::string& in, const std::string& what) {
    size_t n = 0;
    for (size_t at = 0; (at = in.find(what, at)) != std::string::npos; ++at) ++n;
    return n;
}

// Answers every connection with the same bytes, then closes.
struct RawPeer {
    Loop& loop;
    std::string bytes;
    FileDescriptor listener;
    TaskGroup scope;
    RawPeer(Loop& l, Address at) : loop(l), listener(l, listen_on(at)), scope(l) {
        scope.spawn(accept_all(), "raw peer");
    }
    Task<void> accept_all() {
        while (true) {
            int fd = accept_connection(listener.fd()).value_or(-1);
            if (fd < 0) {
                co_await loop.readable(listener, -1);
                continue;
            }
            Stream s(loop, fd);
            co_await s.read(loop.now() + 1);
            co_await s.write(bytes, loop.now() + 1);
        }
    }
};

}  // namespace

TEST_F(Http, KeepsTheConnectionForTheNextRequest) {
    auto [out, closed] = send("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz");
    EXPECT_EQ(count(out, "200 OK"), 2U);
    EXPECT_NE(out.find("POST/b3"), std::string::npos);
    EXPECT_FALSE(closed);
}

// A body over the limit is refused before it has come, and the connection goes on.
TEST_F(Http, RefusesAnOversizedBodyAtOnceAndUnharmed) {
    auto [out, closed] = send("POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(10, 'x'));
    EXPECT_EQ(count(out, "400 Bad Request"), 1U);
    EXPECT_EQ(served, 0);
    auto [all, open] = send("POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x') +
                            "GET /a HTTP/1.1\r\n\r\n");
    EXPECT_EQ(count(all, "400 Bad Request"), 1U);
    EXPECT_EQ(count(all, "200 OK"), 1U);
}

TEST_F(Http, ClosesOnWhatIsNotHttp) {
    EXPECT_TRUE(send("\x01\x02garbage\r\n\r\n").second);
    EXPECT_TRUE(send("GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n").second);
    EXPECT_EQ(served, 0);
}

// A peer that sends a request byte by byte, or never ends it, holds its connection for a bounded time.
TEST_F(Http, DropsARequestThatDoesNotEnd) {
    auto [out, closed] = send("POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 30);
    EXPECT_TRUE(closed);
    EXPECT_EQ(served, 0);
}

TEST_F(Http, ClientReportsWhetherARequestMayHaveBeenCarriedOut) {
    CallResult none, lost;
    TaskGroup scope(loop);
    auto go = [](Loop& l, Address at, Seconds timeout, CallResult& out) -> Task<void> {
        HttpClient c(l, at, 1);
        out = co_await c.call("POST", "/x", "b", timeout);
    };
    FileDescriptor silent(loop, listen_on(address(6, 80)));  // accepts, never answers
    scope.spawn(go(loop, address(7, 80), 2, none), "refused");
    scope.spawn(go(loop, address(6, 80), 2, lost), "silent");
    ASSERT_TRUE(loop.run_until([&] { return scope.size() == 0; }, 10));
    EXPECT_EQ(none.status, 0);
    EXPECT_FALSE(none.maybe_executed);
    EXPECT_EQ(lost.status, 0);
    EXPECT_TRUE(lost.maybe_executed);
}

// Whatever a peer sends for HTTP: the server answers or closes, the client reports a failure, and both serve
// the next.
TEST_F(Http, SurvivesArbitraryBytes) {
    std::mt19937 rng(12);
    const std::vector<std::string> requests{
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "GET /keys?prefix=j/&page=9 HTTP/1.1\r\nConnection: close\r\n\r\n"};
    for (int i = 0; i < 300; ++i) {
        std::string bytes = requests[rng() % requests.size()];
        mutate(bytes, rng);
        send(bytes, 0.2);
    }
    EXPECT_GT(served, 30) << "the mutations are mild enough to reach the insides";
    EXPECT_EQ(count(send(requests[0]).first, "200 OK"), 1U);

    RawPeer peer(loop, address(6, 8080));
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 503 No\r\nRetry-After: 1\r\n\r\n"};
    int taken = 0;
    for (int i = 0; i <= 300; ++i) {
        peer.bytes = answers[i < 300 ? rng() % answers.size() : 0];
        if (i < 300) mutate(peer.bytes, rng);
        CallResult answer;
        bool over = false;
        TaskGroup scope(loop);
        auto ask = [](Loop& l, CallResult& out, bool& done) -> Task<void> {
            HttpClient http(l, address(6, 8080), 1);
            out = co_await http.call("GET", "/x", "", 0.3);
            done = true;
        };
        scope.spawn(ask(loop, answer, over), "ask");
        ASSERT_TRUE(loop.run_until([&] { return over; }, 5));
        taken += answer.ok();
        if (i == 300) {
            EXPECT_EQ(answer.body, "hello");
        }
    }
    EXPECT_GT(taken, 30);
    peer.scope.cancel();
    unwind(loop);
}
