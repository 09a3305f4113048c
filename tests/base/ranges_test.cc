// Sets of numbers kept as ranges.
#include "base/ranges.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace hareshore;

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
