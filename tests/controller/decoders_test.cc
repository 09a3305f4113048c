// Every decoder of what peers send, with arbitrary input: it is taken or left.
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

// What a peer sends may be anything: every decoder takes it or leaves it.
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
    size_t taken = 0;
    for (int i = 0; i < 40000; ++i) {
        std::string s = seeds[rng() % seeds.size()];
        mutate(s, rng);
        taken += JobRecord::unpack(s).has_value();
        taken += decode_heartbeat(s).has_value();
        taken += parse_submission(s).has_value();
        taken += FinalRecord::unpack(s).has_value();
        taken += decode_machine_types(s).has_value();
        peer::FrameReader reader;
        reader.feed(s);
        while (auto fields = reader.next()) {
            taken += peer::decode_controller_heartbeat(fields->payload).has_value();
            taken += peer::decode_cancellation_notice(fields->payload).has_value();
        }
        try {
            static_cast<void>(Settings::parse(s));
            ++taken;
        } catch (const ConfigError&) {
        }
        if (i % 8) continue;  // slower than all others together
        try {
            static_cast<void>(Config::parse(s));
            ++taken;
        } catch (const ConfigError&) {
        }
    }
    EXPECT_GT(taken, 1000U);  // the mutations are mild enough to reach the insides
}

TEST(Decoders, RefuseDeepNesting) {
    std::string deep(60000, '\x91');  // lists in lists
    EXPECT_FALSE(MsgpackDocument::parse(deep + '\xc0'));
    std::string wide = "\xdd\xff\xff\xff\xff";  // a list that claims four thousand million entries
    EXPECT_FALSE(MsgpackDocument::parse(wide));
}
