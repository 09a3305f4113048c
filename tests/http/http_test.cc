// HTTP server and client with valid, invalid and mutated messages.
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

// Sends raw bytes and collects the response until the timeout or until the peer closes the connection.
Task<void> send_raw(Loop& loop, Address server, std::string bytes, Seconds timeout, std::string& response,
                    bool& closed) {
    auto stream = co_await connect_to(loop, server, loop.now() + 1);
    if (!stream) co_return;
    co_await stream->write(bytes, loop.now() + timeout);
    Seconds deadline = loop.now() + timeout;
    while (true) {
        Stream::Read received = co_await stream->read(deadline);
        if (!received.ok()) {
            closed = received.outcome != Stream::Read::Outcome::kTimeout;
            co_return;
        }
        response.append(received.bytes);
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
                      [this](Request request) { return respond(std::move(request)); }};
    Task<Response> respond(Request request) {
        ++served;
        co_return Response{200, request.method + request.path + std::to_string(request.body.size()), 0,
                           "text/plain"};
    }
    // Returns the response and whether the server closed the connection.
    std::pair<std::string, bool> send(std::string bytes, Seconds timeout = 5) {
        std::string response;
        bool closed = false;
        TaskGroup tasks(loop);
        tasks.spawn(send_raw(loop, address(5, 8080), std::move(bytes), timeout, response, closed), "raw");
        loop.run_until([&] { return tasks.size() == 0; }, timeout + 2);
        return {response, closed};
    }
};

size_t count(const std::string& text, const std::string& pattern) {
    size_t matches = 0;
    for (size_t at = 0; (at = text.find(pattern, at)) != std::string::npos; ++at) ++matches;
    return matches;
}

// Sends the same bytes on every connection after its first read, then closes it.
struct RawPeer {
    Loop& loop;
    std::string bytes;
    FileDescriptor listener;
    TaskGroup tasks;
    RawPeer(Loop& owner, Address address) : loop(owner), listener(owner, listen_on(address)), tasks(owner) {
        tasks.spawn(accept_all(), "raw peer");
    }
    Task<void> accept_all() {
        while (true) {
            int fd = accept_connection(listener.fd()).value_or(-1);
            if (fd < 0) {
                co_await loop.readable(listener, -1);
                continue;
            }
            Stream stream(loop, fd);
            co_await stream.read(loop.now() + 1);
            co_await stream.write(bytes, loop.now() + 1);
        }
    }
};

}  // namespace

TEST_F(Http, KeepsConnectionAliveForPipelinedRequests) {
    auto [response, closed] = send("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz");
    EXPECT_EQ(count(response, "200 OK"), 2U);
    EXPECT_NE(response.find("POST/b3"), std::string::npos);
    EXPECT_FALSE(closed);
}

// An oversized body is rejected before it has been received, and the connection remains usable.
TEST_F(Http, RejectsOversizedBodyAtOnceAndKeepsConnection) {
    auto [response, closed] =
        send("POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(10, 'x'));
    EXPECT_EQ(count(response, "400 Bad Request"), 1U);
    EXPECT_EQ(served, 0);
    auto [responses, responses_closed] = send("POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" +
                                              std::string(70000, 'x') + "GET /a HTTP/1.1\r\n\r\n");
    EXPECT_EQ(count(responses, "400 Bad Request"), 1U);
    EXPECT_EQ(count(responses, "200 OK"), 1U);
}

TEST_F(Http, ClosesConnectionOnInvalidHttp) {
    EXPECT_TRUE(send("\x01\x02garbage\r\n\r\n").second);
    EXPECT_TRUE(send("GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n").second);
    EXPECT_EQ(served, 0);
}

// A client that never completes its request must not occupy a connection forever.
TEST_F(Http, ClosesConnectionOfIncompleteRequestAfterTimeout) {
    auto [response, closed] = send("POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 30);
    EXPECT_TRUE(closed);
    EXPECT_EQ(served, 0);
}

TEST_F(Http, ClientReportsWhetherRequestMayHaveBeenExecuted) {
    CallResult refused, timed_out;
    TaskGroup tasks(loop);
    auto call = [](Loop& event_loop, Address server_address, Seconds timeout,
                   CallResult& result) -> Task<void> {
        HttpClient client(event_loop, server_address, 1);
        result = co_await client.call("POST", "/x", "b", timeout);
    };
    FileDescriptor silent(loop, listen_on(address(6, 80)));  // accepts connections but never responds
    tasks.spawn(call(loop, address(7, 80), 2, refused), "refused");
    tasks.spawn(call(loop, address(6, 80), 2, timed_out), "silent");
    ASSERT_TRUE(loop.run_until([&] { return tasks.size() == 0; }, 10));
    EXPECT_EQ(refused.status, 0);
    EXPECT_FALSE(refused.maybe_executed);
    EXPECT_EQ(timed_out.status, 0);
    EXPECT_TRUE(timed_out.maybe_executed);
}

// On arbitrary input the server responds or closes the connection and the client reports a failure; both
// remain usable.
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
    EXPECT_GT(served, 30) << "too few mutated requests pass the parser to test the code behind it";
    EXPECT_EQ(count(send(requests[0]).first, "200 OK"), 1U);

    RawPeer peer(loop, address(6, 8080));
    const std::vector<std::string> responses{
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 503 No\r\nRetry-After: 1\r\n\r\n"};
    int accepted = 0;
    for (int i = 0; i <= 300; ++i) {
        peer.bytes = responses[i < 300 ? rng() % responses.size() : 0];
        if (i < 300) mutate(peer.bytes, rng);
        CallResult result;
        bool finished = false;
        TaskGroup tasks(loop);
        auto call = [](Loop& event_loop, CallResult& call_result, bool& call_finished) -> Task<void> {
            HttpClient http(event_loop, address(6, 8080), 1);
            call_result = co_await http.call("GET", "/x", "", 0.3);
            call_finished = true;
        };
        tasks.spawn(call(loop, result, finished), "call");
        ASSERT_TRUE(loop.run_until([&] { return finished; }, 5));
        accepted += result.ok();
        if (i == 300) {
            EXPECT_EQ(result.body, "hello");
        }
    }
    EXPECT_GT(accepted, 30);
    peer.tasks.cancel();
    unwind(loop);
}
