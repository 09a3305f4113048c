// The operators' settings: names, syntax and errors.
#include <gtest/gtest.h>

#include "config/config.h"

using namespace hareshore;

TEST(OperatorSettings, ParsesSExpressionsAndNamesTheLineOfErrors) {
    Settings settings = Settings::parse("; comment\n(hold-s 4.5)\n(min-idle-machines 2)\n");
    EXPECT_EQ(settings.hold_s, 4.5);
    EXPECT_EQ(settings.min_idle_machines, 2);
    auto parse_error = [](const char* text) {
        try {
            static_cast<void>(Settings::parse(text));
        } catch (const ConfigError& error) {
            return std::string(error.what());
        }
        return std::string();
    };
    EXPECT_EQ(parse_error("(hold-s 1)\n(holds 2)").substr(0, 7), "line 2:");
    EXPECT_EQ(parse_error("\n\n(hold-s -1)").substr(0, 7), "line 3:");
    EXPECT_EQ(parse_error("(min-machines 1.5)").substr(0, 7), "line 1:");
    for (const char* invalid :
         {"hold-s 3", "(hold-s)", "(hold-s 1 2)", "(hold-s (1))", "(hold-s 1", ")", "(hold-s nan)", "()"})
        EXPECT_NE(parse_error(invalid), "") << invalid;
}

// Each name documented in README.md must set its member.
TEST(OperatorSettings, HasTheDocumentedNames) {
    Settings settings = Settings::parse(
        "(hold-s 1)(similar-age-s 2)(age-bound-s 3)(begin-bound-s 4)(min-machines 5)(max-machines 6)"
        "(min-idle-machines 7)(idle-return-s 8)(calm-s 9)(preempt-after-s 11)");
    EXPECT_EQ(settings.hold_s, 1);
    EXPECT_EQ(settings.similar_age_s, 2);
    EXPECT_EQ(settings.age_bound_s, 3);
    EXPECT_EQ(settings.begin_bound_s, 4);
    EXPECT_EQ(settings.min_machines, 5);
    EXPECT_EQ(settings.max_machines, 6);
    EXPECT_EQ(settings.min_idle_machines, 7);
    EXPECT_EQ(settings.idle_return_s, 8);
    EXPECT_EQ(settings.calm_s, 9);
    EXPECT_EQ(settings.preempt_after_s, 11);
}

TEST(OperatorSettings, RejectsUnknownNames) {
    for (const char* unknown : {"hold", "hold_s", "Hold-s", "hold-seconds", "max-machine", "preempt-after"}) {
        try {
            static_cast<void>(Settings::parse("(hold-s 1)\n(" + std::string(unknown) + " 2)"));
            FAIL() << unknown << " was accepted";
        } catch (const ConfigError& error) {
            EXPECT_EQ(std::string(error.what()), "line 2: unknown setting " + std::string(unknown));
        }
    }
}
