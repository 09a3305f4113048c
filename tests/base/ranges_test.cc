// Sets of numbers that are stored as ranges.
#include "base/ranges.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace hareshore;

TEST(Ranges, EqualAStdSetUnderRandomOperations) {
    std::mt19937 rng(7);
    Ranges ranges, superset;
    std::set<uint32_t> expected;
    for (uint32_t number = 10; number < 50; number += 1 + number % 3) superset.add(number);
    for (int i = 0; i < 4000; ++i) {
        auto random = static_cast<uint32_t>(rng());
        uint32_t number = i < 2000 ? random % 60 : 10 + random % 8;
        if (rng() % 2) {
            EXPECT_EQ(ranges.add(number), expected.insert(number).second);
        } else {
            EXPECT_EQ(ranges.remove(number), expected.erase(number) == 1);
        }
        ASSERT_EQ(ranges.size(), expected.size());
        ASSERT_EQ(superset.covers(ranges),
                  std::all_of(expected.begin(), expected.end(),
                              [&](uint32_t member) { return superset.has(member); }));
        ASSERT_EQ(ranges.first(),
                  expected.empty() ? std::nullopt : std::optional<uint32_t>(*expected.begin()));
    }
    auto parsed = Ranges::parse(ranges.text(), 60);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(*parsed, ranges);
}

TEST(Ranges, ParseRejectsNonCanonicalText) {
    for (const char* invalid : {"1-", "-1", "3,2", "1,,2", "1,2", "0-60", "a", "1, 2", "5-4", "1,"})
        EXPECT_FALSE(Ranges::parse(invalid, 60)) << invalid;
}
