#include "jobs/compact.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "base/constants.h"
#include "jobs/record.h"

namespace hareshore {

namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kBits = 5;
constexpr char kRangesMark = '=';

constexpr auto kValues = [] {
    std::array<int8_t, 256> v{};
    for (auto& x : v) x = -1;
    for (size_t i = 0; i < kDigits.size(); ++i) v[static_cast<uint8_t>(kDigits[i])] = static_cast<int8_t>(i);
    return v;
}();

// Signed distances: small ones of either sign become small numbers.
uint64_t fold(int64_t n) {
    return n < 0 ? (static_cast<uint64_t>(-(n + 1)) << 1) + 1 : static_cast<uint64_t>(n) << 1;
}
int64_t unfold(uint64_t n) {
    return n & 1 ? -static_cast<int64_t>(n >> 1) - 1 : static_cast<int64_t>(n >> 1);
}

// "vm-000231" is {"6vm-", 231}; a name without a number at its end is {"0name", 0}.
std::pair<std::string, uint64_t> split(std::string_view name) {
    size_t digits = 0;
    while (digits < name.size() && digits < constants::kMachineNumberDigits) {
        char c = name[name.size() - 1 - digits];
        if (c < '0' || c > '9') break;
        ++digits;
    }
    uint64_t number = 0;
    for (size_t i = name.size() - digits; i < name.size(); ++i)
        number = number * 10 + static_cast<uint64_t>(name[i] - '0');
    return {std::to_string(digits).append(name.substr(0, name.size() - digits)), number};
}

std::optional<std::string> join(const std::string& entry, uint64_t number) {
    if (entry.empty() || entry[0] < '0' || entry[0] > '9') return std::nullopt;
    auto digits = static_cast<size_t>(entry[0] - '0');
    std::string name = entry.substr(1);
    if (digits == 0) return number == 0 && !name.empty() ? std::optional(name) : std::nullopt;
    std::string tail = std::to_string(number);
    if (tail.size() > digits) return std::nullopt;
    return name + std::string(digits - tail.size(), '0') + tail;
}

}  // namespace

void put_quantity(std::string& text, uint64_t n) {
    constexpr uint64_t kMore = 1U << kBits;
    while (n >= kMore) {
        text += kDigits[(n & (kMore - 1)) | kMore];
        n >>= kBits;
    }
    text += kDigits[n];
}

std::optional<uint64_t> take_quantity(std::string_view& text) {
    constexpr uint64_t kMore = 1U << kBits;
    uint64_t n = 0;
    for (unsigned shift = 0; !text.empty() && shift < 60; shift += kBits) {
        int8_t v = kValues[static_cast<uint8_t>(text.front())];
        if (v < 0) return std::nullopt;
        text.remove_prefix(1);
        uint64_t digit = static_cast<uint8_t>(v);
        n |= (digit & (kMore - 1)) << shift;
        if (digit < kMore) return digit == 0 && shift > 0 ? std::nullopt : std::optional(n);
    }
    return std::nullopt;
}

std::string compact_ranges(const Ranges& ranges) {
    std::string s(1, kRangesMark);
    uint32_t next = 0;
    for (auto [first, last] : ranges.all()) {
        put_quantity(s, first - next);
        put_quantity(s, last - first);
        next = last + 1;
    }
    return s;
}

std::optional<Ranges> parse_compact_ranges(std::string_view text, uint32_t limit) {
    if (text.empty() || text.front() != kRangesMark) return std::nullopt;
    text.remove_prefix(1);
    Ranges r;
    uint64_t next = 0;
    while (!text.empty()) {
        auto gap = take_quantity(text);
        auto run = gap ? take_quantity(text) : std::nullopt;
        // Ranges that touch would have been one.
        if (!run || *gap >= limit || *run >= limit || (next > 0 && *gap == 0)) return std::nullopt;
        uint64_t first = next + *gap;
        uint64_t last = first + *run;
        if (last >= limit) return std::nullopt;
        r.append(static_cast<uint32_t>(first), static_cast<uint32_t>(last));
        next = last + 1;
    }
    return r;
}

CompactLive compact_live(const std::vector<LiveTask>& live) {
    struct Row {
        std::string entry;
        uint64_t number;
        uint32_t task;
        const LiveTask* of;
    };
    std::vector<Row> rows;
    rows.reserve(live.size());
    CompactLive out;
    for (const auto& l : live) {
        auto [entry, number] = split(l.machine);
        rows.push_back({std::move(entry), number, l.task, &l});
        if (std::find(out.zones.begin(), out.zones.end(), l.zone) == out.zones.end())
            out.zones.emplace_back(l.zone);
    }
    std::sort(out.zones.begin(), out.zones.end());
    std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) {
        return std::tie(a.entry, a.number, a.task) < std::tie(b.entry, b.number, b.task);
    });
    int64_t last_task = 0;
    int64_t last_skew = 0;
    for (size_t i = 0; i < rows.size();) {
        size_t end = i;
        while (end < rows.size() && rows[end].entry == rows[i].entry) ++end;
        out.names.push_back(rows[i].entry);
        put_quantity(out.text, end - i);
        uint64_t last_number = 0;
        for (; i < end; ++i) {
            const Row& r = rows[i];
            auto zone = std::find(out.zones.begin(), out.zones.end(), r.of->zone) - out.zones.begin();
            put_quantity(out.text, (r.number - last_number) * out.zones.size() + static_cast<uint64_t>(zone));
            auto task = static_cast<int64_t>(r.task);
            int64_t skew = static_cast<int64_t>(r.of->attempt) - task;
            put_quantity(out.text, fold(task - last_task));
            put_quantity(out.text, fold(skew - last_skew));
            last_number = r.number;
            last_task = task;
            last_skew = skew;
        }
    }
    return out;
}

std::optional<std::map<uint32_t, PlacementRecord>> parse_compact_live(const CompactLive& from,
                                                                      uint32_t tasks) {
    std::map<uint32_t, PlacementRecord> live;
    std::string_view text = from.text;
    int64_t task = 0;
    int64_t skew = 0;
    for (const auto& entry : from.names) {
        auto rows = take_quantity(text);
        if (!rows || *rows == 0 || *rows > tasks) return std::nullopt;
        uint64_t number = 0;
        for (uint64_t i = 0; i < *rows; ++i) {
            auto place = take_quantity(text);
            auto by_task = place ? take_quantity(text) : std::nullopt;
            auto by_skew = by_task ? take_quantity(text) : std::nullopt;
            if (!by_skew || from.zones.empty()) return std::nullopt;
            number += *place / from.zones.size();
            // Every quantity is below 2^60: checked after each step, no sum can overflow.
            task += unfold(*by_task);
            skew += unfold(*by_skew);
            auto most = static_cast<int64_t>(constants::kMaxExactInteger);
            if (number > constants::kMaxExactInteger || task < 0 || task >= static_cast<int64_t>(tasks) ||
                skew < -most || skew > most || task + skew < 0)
                return std::nullopt;
            auto name = join(entry, number);
            if (!name) return std::nullopt;
            PlacementRecord b{static_cast<uint64_t>(task + skew), *name,
                              from.zones[*place % from.zones.size()]};
            if (!live.emplace(static_cast<uint32_t>(task), std::move(b)).second) return std::nullopt;
        }
    }
    if (!text.empty()) return std::nullopt;
    return live;
}

}  // namespace hareshore
