// Sends direct commands to a fake worker.
#include "workers/worker_client.h"

#include <gtest/gtest.h>

#include "http/server.h"
#include "standins/addresses.h"
#include "standins/await.h"
#include "standins/unwind.h"
#include "standins/worker.h"

namespace hareshore {
namespace {

struct WorkerClientTest : testing::Test {
    ~WorkerClientTest() override {
        server.stop();
        test::unwind(loop);
    }

    Task<Response> handle(Request request) {
        paths.push_back(request.path);
        if (status == 200) worker.execute_commands(request.body);
        co_return Response{status, malformed ? "none" : worker.next_heartbeat()};
    }
    std::optional<WorkerHeartbeat> send(std::vector<Command> commands) {
        return test::await(loop, send_commands(loop, server_address, 41, 1, std::move(commands)));
    }

    FakeClock clock;
    Loop loop{clock};
    Address server_address = test::address(5, 7200);
    test::FakeWorker worker;
    int status = 200;
    bool malformed = false;
    std::vector<std::string> paths;
    HttpServer server{loop, server_address, 4,
                      [this](Request request) { return handle(std::move(request)); }};
};

TEST_F(WorkerClientTest, ResponseReflectsExecutedCommands) {
    auto launched = send({{CommandKind::kLaunch, {"job-1", 0}, 2, 0}});
    ASSERT_TRUE(launched);
    EXPECT_EQ(paths, std::vector<std::string>{"/orders"});
    ASSERT_EQ(launched->tasks.size(), 1U);
    EXPECT_EQ(launched->tasks[0].name.text(), "job-1/0");
    EXPECT_EQ(launched->tasks[0].attempt, 2U);
    EXPECT_EQ(launched->tasks[0].phase, TaskPhase::kRunning);
    EXPECT_EQ(launched->fencing_token, 41U);

    auto stopped = send({{CommandKind::kStop, {"job-1", 0}, 2, 10}});
    ASSERT_TRUE(stopped);
    EXPECT_EQ(stopped->tasks.at(0).phase, TaskPhase::kExited);
    EXPECT_EQ(stopped->tasks.at(0).cause, ExitCause::kStopped);

    auto forgotten = send({{CommandKind::kForget, {"job-1", 0}, 2, 0}});
    ASSERT_TRUE(forgotten);
    EXPECT_TRUE(forgotten->tasks.empty());
}

TEST_F(WorkerClientTest, RefusalContainsHeartbeat) {
    status = 409;
    auto refused = send({{CommandKind::kLaunch, {"job-1", 0}, 2, 0}});
    ASSERT_TRUE(refused);
    EXPECT_TRUE(refused->tasks.empty());
    EXPECT_EQ(refused->incarnation, worker.incarnation);
}

TEST_F(WorkerClientTest, OtherResponsesContainNoHeartbeat) {
    for (int other_status : {400, 500, 503}) {
        status = other_status;
        EXPECT_FALSE(send({})) << other_status;
    }
    status = 200;
    malformed = true;
    worker.fencing_token = 42;  // The commands have a lower fencing token.
    EXPECT_FALSE(send({}));
    EXPECT_FALSE(test::await(loop, send_commands(loop, test::address(5, 7201), 41, 1, {})))
        << "no worker listens at this address";
}

}  // namespace
}  // namespace hareshore
