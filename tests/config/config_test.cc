// The platform settings file.
#include "config/config.h"

#include <gtest/gtest.h>

#include "standins/settings_text.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(Config, ReadsSettingsAndIgnoresUnknownFields) {
    Config config = Config::parse(kSettingsText);
    EXPECT_EQ(config.label, "n0");
    EXPECT_EQ(config.zones.size(), 2U);
    EXPECT_EQ(config.value_bytes, 8192U);
    EXPECT_EQ(config.team("t")->gpus_max, 8.0);
    EXPECT_EQ(config.team("u"), nullptr);
    EXPECT_EQ(config.ram_bytes, 0U) << "unknown unless stated";
    // A large deployment with unknown fields.
    std::string text = std::string(kSettingsText) +
                       "[facts.machine_limits]\ncores = 0.2\nram_mb = 300.0\nsockets = 4000\ngpus = 1\n";
    for (int i = 0; i < 40; ++i)
        text += "[[siblings]]\nlabel = \"m" + std::to_string(i) + "\"\nsite = \"z" + std::to_string(i % 9) +
                "\"\naddr = \"10.0.1." + std::to_string(i) + ":8081\"\nrack = 3\n";
    config = Config::parse(text);
    EXPECT_GE(config.peers.size(), 40U);
    EXPECT_EQ(config.sockets, 4000U);
    EXPECT_EQ(config.ram_bytes, 300U * 1024 * 1024);
}

TEST(Config, AppliesTheSmallerOfCurrentAndAnnouncedLimits) {
    auto parse_with = [](const std::string& next) { return Config::parse(settings_with_store_limits(next)); };
    Config config = parse_with("");
    EXPECT_EQ(config.value_limit(1), 8192U);
    EXPECT_EQ(config.value_limit(2), 8192U);
    config = parse_with("next = {value_kb = 2.0, txn_ops = 4, write_rps = 9.5}");
    EXPECT_EQ(config.value_limit(1), 8192U) << "record format 1 obeys the current limit only";
    EXPECT_EQ(config.value_limit(2), 2048U);
    EXPECT_EQ(config.txn_ops, 4U);
    EXPECT_EQ(config.write_rps, 9.5);
    config = parse_with("next = {txn_ops = 100, later = 1}");
    EXPECT_EQ(config.txn_ops, 12U);
    EXPECT_EQ(config.write_rps, 15.0);
    config = parse_with("next = {value_kb = 99, write_rps = 99}");
    EXPECT_EQ(config.value_limit(2), 8192U);
    EXPECT_EQ(config.write_rps, 15.0);
    for (const char* invalid :
         {"value_kb = 0", "value_kb = -2", "value_kb = \"2\"", "value_kb = 0.5", "txn_ops = 0", "txn_ops = 1",
          "txn_ops = nan", "write_rps = 0.0", "write_rps = -1"}) {
        std::string field = std::string(invalid).substr(0, std::string(invalid).find(' '));
        try {
            parse_with(std::string("next = {") + invalid + "}");
            ADD_FAILURE() << invalid;
        } catch (const ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find("facts.state.next." + field), std::string::npos)
                << error.what();
            EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
        }
    }
    EXPECT_THROW(parse_with("next = 3"), ConfigError);
}

TEST(Config, ErrorsNameTheMissingOrInvalidField) {
    auto error_for = [](std::string from, std::string to) {
        std::string text = kSettingsText;
        auto at = text.find(from);
        EXPECT_NE(at, std::string::npos);
        text.replace(at, from.size(), to);
        try {
            static_cast<void>(Config::parse(text));
        } catch (const ConfigError& error) {
            return std::string(error.what());
        }
        return std::string();
    };
    EXPECT_NE(error_for("lease_s = 24.0", "").find("facts.workers.lease_s"), std::string::npos);
    EXPECT_NE(error_for("lease_s = 24.0", "lease_s = nan").find("facts.workers.lease_s"), std::string::npos);
    EXPECT_NE(error_for("lease_s = 24.0", "lease_s = \"24\"").find("facts.workers.lease_s"),
              std::string::npos);
    EXPECT_NE(error_for("cancel_s = 49.0", "cancel_s = 20.0").find("cancel_s"), std::string::npos);
    EXPECT_NE(error_for("list_lag_s = 6.0", "list_lag_s = 6.0\n[facts.machine_limits]\nram_mb = -1")
                  .find("facts.machine_limits.ram_mb"),
              std::string::npos);
    EXPECT_NE(error_for("back = \"10.0.0.1:8081\"", "back = \"host\"").find("back"), std::string::npos);
    EXPECT_NE(error_for("site = \"a\"", "site = ").find("line"), std::string::npos);
    for (const char* invalid : {"\n[=]\n", "\n[[\x01]]\n", "\n[ {}]", "\n[", "\né = 1"})
        EXPECT_NE(error_for("site = \"a\"", "site = \"a\"" + std::string(invalid)).find("line 4"),
                  std::string::npos)
            << invalid;
}
