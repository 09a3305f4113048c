#include "controller/endpoint_wire.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(Endpoints, MatchWholePath) {
    EXPECT_EQ(endpoint_of("/hello"), Endpoint::kWorkerHeartbeat);
    EXPECT_EQ(endpoint_of("/ready"), Endpoint::kReadiness);
    EXPECT_EQ(endpoint_of("/operator"), Endpoint::kOperatorStatus);
    EXPECT_EQ(endpoint_of("/operator/jobs"), Endpoint::kOperatorJobs);
    EXPECT_EQ(endpoint_of("/operator/machines"), Endpoint::kOperatorMachines);
    for (const char* path : {"", "/", "/hello/", "/operator/", "/v2/runs"})
        EXPECT_EQ(endpoint_of(path), Endpoint::kUsers) << path;
}

TEST(Endpoints, RequireOneMethod) {
    EXPECT_EQ(required_method(Endpoint::kWorkerHeartbeat), "POST");
    EXPECT_EQ(required_method(Endpoint::kReadiness), "GET");
    EXPECT_EQ(required_method(Endpoint::kOperatorStatus), "GET");
    EXPECT_FALSE(required_method(Endpoint::kUsers)) << "checked by the user service";
}
