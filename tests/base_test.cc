#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "base/ranges.h"
#include "base/token_bucket.h"
#include "cloud/cloud.h"
#include "config/config.h"
#include "http/pack.h"
#include "jobs/record.h"
#include "peer/frames.h"
#include "standins/mutations.h"
#include "standins/settings_text.h"
#include "users/wire.h"
#include "workers/workers.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(Ranges, MatchASetUnderRandomChanges) {
    std::mt19937 rng(7);
    Ranges r, half;
    std::set<uint32_t> s;
    for (uint32_t n = 10; n < 50; n += 1 + n % 3) half.add(n);
    for (int i = 0; i < 4000; ++i) {
        auto random = static_cast<uint32_t>(rng());
        uint32_t n = i < 2000 ? random % 60 : 10 + random % 8;
        if (rng() % 2) {
            EXPECT_EQ(r.add(n), s.insert(n).second);
        } else {
            EXPECT_EQ(r.remove(n), s.erase(n) == 1);
        }
        ASSERT_EQ(r.size(), s.size());
        ASSERT_EQ(half.covers(r), std::all_of(s.begin(), s.end(), [&](uint32_t x) { return half.has(x); }));
        ASSERT_EQ(r.first(), s.empty() ? std::nullopt : std::optional<uint32_t>(*s.begin()));
    }
    auto again = Ranges::parse(r.text(), 60);
    ASSERT_TRUE(again);
    EXPECT_EQ(*again, r);
}

TEST(Ranges, RefuseWhatTheyWouldNotWrite) {
    for (const char* bad : {"1-", "-1", "3,2", "1,,2", "1,2", "0-60", "a", "1, 2", "5-4", "1,"})
        EXPECT_FALSE(Ranges::parse(bad, 60)) << bad;
}

TEST(TokenBucket, GivesTheRateAndTheBurst) {
    TokenBucket bucket(10, 5);
    EXPECT_TRUE(bucket.take(5, 1.0));
    EXPECT_FALSE(bucket.take(1, 1.0));
    EXPECT_NEAR(bucket.until(1, 1.0), 0.1, 1e-9);
    EXPECT_TRUE(bucket.take(1, 1.11));
}

// Rounding left a wait too short to move the clock: whoever waited for two changes spun for ever.
TEST(TokenBucket, NeverWaitsForLessThanTheClockTells) {
    TokenBucket bucket(11.25, 2);
    Seconds now = 1000.1;
    for (int i = 0; i < 100'000; ++i) {
        Seconds wait = bucket.until(2, now);
        ASSERT_TRUE(wait == 0 || now + wait > now) << i;
        now += wait;
        if (wait == 0) {
            ASSERT_TRUE(bucket.take(2, now)) << "what need not be waited for is there";
        }
        now += (i % 7) * 0.013;
    }
}

TEST(Config, ReadsTheFileAndIgnoresWhatItDoesNotKnow) {
    Config config = Config::parse(kSettingsText);
    EXPECT_EQ(config.label, "n0");
    EXPECT_EQ(config.zones.size(), 2u);
    EXPECT_EQ(config.value_bytes, 8192u);
    EXPECT_EQ(config.team("t")->gpus_max, 8.0);
    EXPECT_EQ(config.team("u"), nullptr);
    EXPECT_EQ(config.ram_bytes, 0u) << "not said";
    // A larger deployment than any so far, with fields that are new.
    std::string text = std::string(kSettingsText) +
                       "[facts.machine_limits]\ncores = 0.2\nram_mb = 300.0\nsockets = 4000\ngpus = 1\n";
    for (int i = 0; i < 40; ++i)
        text += "[[siblings]]\nlabel = \"m" + std::to_string(i) + "\"\nsite = \"z" + std::to_string(i % 9) +
                "\"\naddr = \"10.0.1." + std::to_string(i) + ":8081\"\nrack = 3\n";
    config = Config::parse(text);
    EXPECT_GE(config.peers.size(), 40u);
    EXPECT_EQ(config.sockets, 4000u);
    EXPECT_EQ(config.ram_bytes, 300u * 1024 * 1024);
}

TEST(Config, TakesTheSmallerOfTodaysAndLaterLimits) {
    auto with = [](const std::string& next) { return Config::parse(settings_with_store_limits(next)); };
    Config config = with("");
    EXPECT_EQ(config.value_limit(1), 8192u);
    EXPECT_EQ(config.value_limit(2), 8192u);
    config = with("next = {value_kb = 2.0, txn_ops = 4, write_rps = 9.5}");
    EXPECT_EQ(config.value_limit(1), 8192u) << "until form 2 is in force the old limits hold";
    EXPECT_EQ(config.value_limit(2), 2048u);
    EXPECT_EQ(config.txn_ops, 4u);
    EXPECT_EQ(config.write_rps, 9.5);
    config = with("next = {txn_ops = 100, later = 1}");
    EXPECT_EQ(config.txn_ops, 12u);
    EXPECT_EQ(config.write_rps, 15.0);
    config = with("next = {value_kb = 99, write_rps = 99}");
    EXPECT_EQ(config.value_limit(2), 8192u);
    EXPECT_EQ(config.write_rps, 15.0);
    for (const char* bad :
         {"value_kb = 0", "value_kb = -2", "value_kb = \"2\"", "value_kb = 0.5", "txn_ops = 0", "txn_ops = 1",
          "txn_ops = nan", "write_rps = 0.0", "write_rps = -1"}) {
        std::string field = std::string(bad).substr(0, std::string(bad).find(' '));
        try {
            with(std::string("next = {") + bad + "}");
            ADD_FAILURE() << bad;
        } catch (const ConfigError& e) {
            EXPECT_NE(std::string(e.what()).find("facts.state.next." + field), std::string::npos) << e.what();
            EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
        }
    }
    EXPECT_THROW(with("next = 3"), ConfigError);
}

TEST(Config, NamesTheFieldThatIsMissingOrInvalid) {
    auto error = [](std::string from, std::string to) {
        std::string text = kSettingsText;
        auto at = text.find(from);
        EXPECT_NE(at, std::string::npos);
        text.replace(at, from.size(), to);
        try {
            Config::parse(text);
        } catch (const ConfigError& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    EXPECT_NE(error("lease_s = 24.0", "").find("facts.workers.lease_s"), std::string::npos);
    EXPECT_NE(error("lease_s = 24.0", "lease_s = nan").find("facts.workers.lease_s"), std::string::npos);
    EXPECT_NE(error("lease_s = 24.0", "lease_s = \"24\"").find("facts.workers.lease_s"), std::string::npos);
    EXPECT_NE(error("cancel_s = 49.0", "cancel_s = 20.0").find("cancel_s"), std::string::npos);
    EXPECT_NE(error("list_lag_s = 6.0", "list_lag_s = 6.0\n[facts.machine_limits]\nram_mb = -1")
                  .find("facts.machine_limits.ram_mb"),
              std::string::npos);
    EXPECT_NE(error("back = \"10.0.0.1:8081\"", "back = \"host\"").find("back"), std::string::npos);
    EXPECT_NE(error("site = \"a\"", "site = ").find("line"), std::string::npos);
    for (const char* bad : {"\n[=]\n", "\n[[\x01]]\n", "\n[ {}]", "\n[", "\né = 1"})
        EXPECT_NE(error("site = \"a\"", "site = \"a\"" + std::string(bad)).find("line 4"), std::string::npos)
            << bad;
}

TEST(Settings, AreSExpressionsWithPositionsInErrors) {
    Settings settings_read = Settings::parse("; ours\n(hold-s 4.5)\n(min-idle-machines 2)\n");
    EXPECT_EQ(settings_read.hold_s, 4.5);
    EXPECT_EQ(settings_read.min_idle_machines, 2);
    auto error = [](const char* text) {
        try {
            Settings::parse(text);
        } catch (const ConfigError& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    EXPECT_EQ(error("(hold-s 1)\n(holds 2)").substr(0, 7), "line 2:");
    EXPECT_EQ(error("\n\n(hold-s -1)").substr(0, 7), "line 3:");
    EXPECT_EQ(error("(min-machines 1.5)").substr(0, 7), "line 1:");
    for (const char* bad :
         {"hold-s 3", "(hold-s)", "(hold-s 1 2)", "(hold-s (1))", "(hold-s 1", ")", "(hold-s nan)", "()"})
        EXPECT_NE(error(bad), "") << bad;
}

TEST(Record, SurvivesPacking) {
    JobRecord record;
    record.spec.id = "job-1";
    record.spec.kind = JobKind::kGang;
    record.spec.tasks = 100;
    record.spec.due_s = 30;
    record.spec.machine_types = {"g2"};
    record.done = Ranges::whole(3);
    record.next_attempt = 9;
    record.live[5] = {8, "vm-000003", "zone a"};
    record.live[6] = {8, "vm-000004", "b"};
    auto again = JobRecord::unpack(record.pack(1));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->spec, record.spec);
    EXPECT_EQ(again->done, record.done);
    EXPECT_EQ(again->live.at(5).machine, "vm-000003");
    EXPECT_EQ(again->live.at(5).zone, "zone a");
    EXPECT_EQ(again->next_attempt, 9u);
}

// What a peer sends may be anything: every decoder takes it or leaves it.
TEST(Decoders, SurviveMutatedMessages) {
    JobRecord record;
    record.spec.id = "job-1";
    record.spec.tasks = 4;
    record.live[1] = {1, "vm-1", "a"};
    peer::Heartbeat heartbeat{};
    peer::set_label(heartbeat, "node-0");
    Packer packer;
    packer.map(4).key("host").text("vm-1").key("tenure").count(1).key("tick").count(2).key("epoch").count(3);
    std::vector<std::string> seeds{
        record.pack(1),
        record.pack(2),
        packer.take(),
        peer::pack(peer::Kind::kHeartbeat, 1, 2, heartbeat),
        peer::pack(peer::Kind::kCancellationNotice, 1, 2, peer::pack({7, 3, {"job-1", "job-22"}})),
        "(hold-s 4)(min-machines 1)",
        Cloud::pack_machine_types({MachineType{"g2", 16, 2, 64, 50, 1, 4, 1, 30, {"a"}}}),
        kSettingsText};
    std::mt19937 rng(11);
    size_t taken = 0;
    for (int i = 0; i < 40000; ++i) {
        std::string s = seeds[rng() % seeds.size()];
        mutate(s, rng);
        taken += JobRecord::unpack(s).has_value();
        taken += WorkerHeartbeat::parse(s).has_value();
        taken += std::holds_alternative<JobSpec>(parse_submission(s));
        taken += FinalRecord::unpack(s).has_value();
        taken += Cloud::unpack_machine_types(s).has_value();
        peer::Reader reader;
        reader.feed(s);
        while (auto fields = reader.next()) {
            taken += peer::unpack_heartbeat(fields->payload).has_value();
            taken += peer::unpack_cancellation_notice(fields->payload).has_value();
        }
        try {
            Settings::parse(s);
            ++taken;
        } catch (const ConfigError&) {
        }
        if (i % 8) continue;  // slower than all others together
        try {
            Config::parse(s);
            ++taken;
        } catch (const ConfigError&) {
        }
    }
    EXPECT_GT(taken, 1000u);  // the mutations are mild enough to reach the insides
}

TEST(Decoders, RefuseDeepNesting) {
    std::string deep(60000, '\x91');  // lists in lists
    EXPECT_FALSE(Message::parse(deep + '\xc0'));
    std::string wide = "\xdd\xff\xff\xff\xff";  // a list that claims four thousand million entries
    EXPECT_FALSE(Message::parse(wide));
}
