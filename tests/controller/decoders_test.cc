// Robustness of the decoders against arbitrary input.
#include <gtest/gtest.h>

#include <random>

#include "cloud/cloud_wire.h"
#include "cloud/machine_type.h"
#include "config/config.h"
#include "http/msgpack.h"
#include "jobs/record.h"
#include "peer/frames.h"
#include "standins/mutations.h"
#include "standins/settings_text.h"
#include "users/user_wire.h"
#include "workers/worker_heartbeat.h"
#include "workers/worker_wire.h"

using namespace hareshore;
using namespace hareshore::test;

// Decoders must accept or reject any input without crashing.
TEST(Decoders, SurviveMutatedMessages) {
    JobRecord record;
    record.spec.id = "job-1";
    record.spec.tasks = 4;
    record.live[1] = {1, "vm-1", "a"};
    peer::ControllerHeartbeat heartbeat{};
    peer::set_label(heartbeat, "node-0");
    MsgpackWriter packer;
    packer.map(4).key("host").text("vm-1").key("tenure").count(1).key("tick").count(2).key("epoch").count(3);
    std::vector<std::string> seeds{
        record.pack(1),
        record.pack(2),
        packer.take(),
        peer::encode_frame(peer::FrameKind::kHeartbeat, 1, 2, heartbeat),
        peer::encode_frame(peer::FrameKind::kCancellationNotice, 1, 2,
                           peer::encode_cancellation_notice({7, 3, {"job-1", "job-22"}})),
        "(hold-s 4)(min-machines 1)",
        encode_machine_types({MachineType{"g2", 16, 2, 64, 50, 1, 4, 1, 30, {"a"}}}),
        kSettingsText};
    std::mt19937 rng(11);
    size_t accepted = 0;
    for (int i = 0; i < 40000; ++i) {
        std::string input = seeds[rng() % seeds.size()];
        mutate(input, rng);
        accepted += JobRecord::unpack(input).has_value();
        accepted += decode_heartbeat(input).has_value();
        accepted += parse_submission(input).has_value();
        accepted += FinalRecord::unpack(input).has_value();
        accepted += decode_machine_types(input).has_value();
        peer::FrameReader reader;
        reader.append(input);
        while (auto frame = reader.next()) {
            accepted += peer::decode_controller_heartbeat(frame->payload).has_value();
            accepted += peer::decode_cancellation_notice(frame->payload).has_value();
        }
        try {
            static_cast<void>(Settings::parse(input));
            ++accepted;
        } catch (const ConfigError&) {
        }
        if (i % 8) continue;  // slower than all the other decoders together
        try {
            static_cast<void>(Config::parse(input));
            ++accepted;
        } catch (const ConfigError&) {
        }
    }
    EXPECT_GT(accepted, 1000U);  // enough mutated messages are still valid to reach beyond the first checks
}

TEST(Decoders, RejectDeepAndOversizedArrays) {
    std::string deep(60000, '\x91');  // nested arrays
    EXPECT_FALSE(MsgpackDocument::parse(deep + '\xc0'));
    std::string wide = "\xdd\xff\xff\xff\xff";  // an array that claims 2^32 - 1 entries
    EXPECT_FALSE(MsgpackDocument::parse(wide));
}
