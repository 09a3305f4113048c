#include "standins.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Sends raw bytes and collects what comes back until the time is over or the peer closes.
Task<void> raw(Loop& loop, Address to, std::string bytes, Seconds wait, std::string& out, bool& closed) {
    auto s = co_await connect_to(loop, to, loop.now() + 1);
    if (!s) co_return;
    co_await s->write(bytes, loop.now() + wait);
    char chunk[4096];
    Seconds until = loop.now() + wait;
    while (true) {
        ssize_t n = co_await s->read(chunk, sizeof chunk, until);
        if (n <= 0) {
            closed = n != -2;
            co_return;
        }
        out.append(chunk, static_cast<size_t>(n));
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
    HttpServer server{loop, address(5, 8080), 4, [this](Request r) { return answer(std::move(r)); }};
    Task<Response> answer(Request r) {
        ++served;
        co_return Response{200, r.method + r.path + std::to_string(r.body.size()), 0, "text/plain"};
    }
    std::pair<std::string, bool> send(std::string bytes, Seconds wait = 5) {
        std::string out;
        bool closed = false;
        Scope scope(loop);
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

}  // namespace

TEST_F(Http, KeepsTheConnectionForTheNextRequest) {
    auto [out, closed] = send("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz");
    EXPECT_EQ(count(out, "200 OK"), 2u);
    EXPECT_NE(out.find("POST/b3"), std::string::npos);
    EXPECT_FALSE(closed);
}

// A body over the limit is refused before it has come, and the connection goes on.
TEST_F(Http, RefusesAnOversizedBodyAtOnceAndUnharmed) {
    auto [out, closed] = send("POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(10, 'x'));
    EXPECT_EQ(count(out, "400 Bad Request"), 1u);
    EXPECT_EQ(served, 0);
    auto [all, open] = send("POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x') +
                            "GET /a HTTP/1.1\r\n\r\n");
    EXPECT_EQ(count(all, "400 Bad Request"), 1u);
    EXPECT_EQ(count(all, "200 OK"), 1u);
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
    Answer none, lost;
    Scope scope(loop);
    auto go = [](Loop& l, Address at, Seconds timeout, Answer& out) -> Task<void> {
        HttpClient c(l, at, 1);
        out = co_await c.call("POST", "/x", "b", timeout);
    };
    File silent(loop, listen_on(address(6, 80)));  // accepts, never answers
    scope.spawn(go(loop, address(7, 80), 2, none), "refused");
    scope.spawn(go(loop, address(6, 80), 2, lost), "silent");
    ASSERT_TRUE(loop.run_until([&] { return scope.size() == 0; }, 10));
    EXPECT_EQ(none.status, 0);
    EXPECT_FALSE(none.sent);
    EXPECT_EQ(lost.status, 0);
    EXPECT_TRUE(lost.sent);
}

// Cancelling unwinds a routine wherever it waits, and its objects are destroyed in order.
TEST(Loop, CancelUnwindsNestedRoutines) {
    FakeClock clock;
    Loop loop(clock);
    int unwound = 0;
    struct Mark {
        int& n;
        ~Mark() { ++n; }
    };
    struct Run {
        static Task<int> inner(Loop& l, int& n) {
            Mark m{n};
            co_await l.sleep(1000);
            co_return 1;
        }
        static Task<void> outer(Loop& l, int& n) {
            Mark m{n};
            co_await inner(l, n);
            ADD_FAILURE() << "went on after cancel";
        }
    };
    Scope scope(loop);
    scope.spawn(Run::outer(loop, unwound), "outer");
    loop.run_until([] { return false; }, 1);
    EXPECT_EQ(unwound, 0);
    scope.cancel();
    loop.run_until([&] { return scope.size() == 0; }, 1);
    EXPECT_EQ(unwound, 2);
}
