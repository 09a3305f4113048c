#include "jobs/compact_wire.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "base/constants.h"
#include "jobs/record.h"

namespace hareshore {

namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kBitsPerDigit = 5;
constexpr uint64_t kContinuationBit = 1U << kBitsPerDigit;
constexpr unsigned kMaxVarintBits = 60;
constexpr char kRangesMark = '=';
constexpr int8_t kInvalidDigit = -1;

// The value of each character as a digit, or kInvalidDigit.
constexpr auto kDigitValues = [] {
    std::array<int8_t, 256> values{};
    for (auto& value : values) value = kInvalidDigit;
    for (size_t i = 0; i < kDigits.size(); ++i)
        values[static_cast<uint8_t>(kDigits[i])] = static_cast<int8_t>(i);
    return values;
}();

// Zigzag encoding: small differences of either sign become small numbers.
uint64_t zigzag_encode(int64_t difference) {
    return difference < 0 ? (static_cast<uint64_t>(-(difference + 1)) << 1) + 1
                          : static_cast<uint64_t>(difference) << 1;
}
int64_t zigzag_decode(uint64_t encoded) {
    return encoded & 1 ? -static_cast<int64_t>(encoded >> 1) - 1 : static_cast<int64_t>(encoded >> 1);
}

// A machine's name, split into an entry of CompactLive::names and a number.
struct NumberedName {
    std::string entry;
    uint64_t number = 0;
};

// Splits "vm-000231" into {"6vm-", 231}, and a name that does not end in a number into {"0name", 0}.
NumberedName split_name(std::string_view name) {
    size_t digits = 0;
    while (digits < name.size() && digits < constants::kMachineNumberDigits) {
        char character = name[name.size() - 1 - digits];
        if (character < '0' || character > '9') break;
        ++digits;
    }
    uint64_t number = 0;
    for (size_t i = name.size() - digits; i < name.size(); ++i)
        number = number * 10 + static_cast<uint64_t>(name[i] - '0');
    return {std::to_string(digits).append(name.substr(0, name.size() - digits)), number};
}

// The inverse of split_name; std::nullopt if no name splits into these.
std::optional<std::string> join_name(const std::string& entry, uint64_t number) {
    if (entry.empty() || entry[0] < '0' || entry[0] > '9') return std::nullopt;
    auto digits = static_cast<size_t>(entry[0] - '0');
    std::string name = entry.substr(1);
    if (digits == 0) return number == 0 && !name.empty() ? std::optional(name) : std::nullopt;
    std::string number_text = std::to_string(number);
    if (number_text.size() > digits) return std::nullopt;
    return name + std::string(digits - number_text.size(), '0') + number_text;
}

// A placement with the split name of its machine.
struct Row {
    NumberedName name;
    const LiveTask* placement = nullptr;
};

// The placements, sorted by entry, number and task.
std::vector<Row> sorted_rows(const std::vector<LiveTask>& live) {
    std::vector<Row> rows;
    rows.reserve(live.size());
    for (const auto& placement : live) rows.push_back({split_name(placement.machine), &placement});
    std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) {
        return std::tie(a.name.entry, a.name.number, a.placement->task) <
               std::tie(b.name.entry, b.name.number, b.placement->task);
    });
    return rows;
}

std::vector<std::string> sorted_zones(const std::vector<LiveTask>& live) {
    std::vector<std::string> zones;
    for (const auto& placement : live)
        if (std::find(zones.begin(), zones.end(), placement.zone) == zones.end())
            zones.emplace_back(placement.zone);
    std::sort(zones.begin(), zones.end());
    return zones;
}

// Task and attempt of the previous placement, relative to which the next one is encoded. The skew is the
// attempt minus the task; it is mostly the same for the tasks of an array, which are bound in order.
struct TaskPosition {
    int64_t task = 0;
    int64_t skew = 0;
};

// Decodes a CompactLive.
class PlacementReader {
  public:
    PlacementReader(const CompactLive& compact, uint32_t tasks)
        : compact_(compact), tasks_(tasks), text_(compact.text) {}

    std::optional<std::map<uint32_t, PlacementRecord>> read() {
        for (const auto& entry : compact_.names)
            if (!read_entry(entry)) return std::nullopt;
        if (!text_.empty()) return std::nullopt;
        return std::move(live_);
    }

  private:
    bool read_entry(const std::string& entry) {
        auto rows = take_varint(text_);
        if (!rows || *rows == 0 || *rows > tasks_) return false;
        uint64_t number = 0;
        for (uint64_t i = 0; i < *rows; ++i)
            if (!read_placement(entry, number)) return false;
        return true;
    }

    // `number` is the number of the previous machine and is set to that of this one.
    bool read_placement(const std::string& entry, uint64_t& number) {
        auto number_and_zone = take_varint(text_);
        auto task_difference = number_and_zone ? take_varint(text_) : std::nullopt;
        auto skew_difference = task_difference ? take_varint(text_) : std::nullopt;
        if (!skew_difference || compact_.zones.empty()) return false;
        number += *number_and_zone / compact_.zones.size();
        // Varints are below 2^60 and the sums are checked after each step, so they cannot overflow.
        previous_.task += zigzag_decode(*task_difference);
        previous_.skew += zigzag_decode(*skew_difference);
        if (number > constants::kMaxExactInteger || !valid(previous_)) return false;
        auto machine = join_name(entry, number);
        if (!machine) return false;
        PlacementRecord placement{static_cast<uint64_t>(previous_.task + previous_.skew), *machine,
                                  compact_.zones[*number_and_zone % compact_.zones.size()]};
        return live_.emplace(static_cast<uint32_t>(previous_.task), std::move(placement)).second;
    }

    [[nodiscard]] bool valid(const TaskPosition& position) const {
        constexpr auto kMaxSkew = static_cast<int64_t>(constants::kMaxExactInteger);
        return position.task >= 0 && position.task < static_cast<int64_t>(tasks_) &&
               position.skew >= -kMaxSkew && position.skew <= kMaxSkew && position.task + position.skew >= 0;
    }

    const CompactLive& compact_;
    uint32_t tasks_;
    std::string_view text_;  // the part that is not decoded yet
    TaskPosition previous_;
    std::map<uint32_t, PlacementRecord> live_;
};

}  // namespace

void append_varint(std::string& text, uint64_t value) {
    while (value >= kContinuationBit) {
        text += kDigits[(value & (kContinuationBit - 1)) | kContinuationBit];
        value >>= kBitsPerDigit;
    }
    text += kDigits[value];
}

std::optional<uint64_t> take_varint(std::string_view& text) {
    uint64_t value = 0;
    for (unsigned shift = 0; !text.empty() && shift < kMaxVarintBits; shift += kBitsPerDigit) {
        int8_t digit_value = kDigitValues[static_cast<uint8_t>(text.front())];
        if (digit_value == kInvalidDigit) return std::nullopt;
        text.remove_prefix(1);
        uint64_t digit = static_cast<uint8_t>(digit_value);
        value |= (digit & (kContinuationBit - 1)) << shift;
        if (digit >= kContinuationBit) continue;
        // append_varint writes no zero as the last of several digits.
        return digit == 0 && shift > 0 ? std::nullopt : std::optional(value);
    }
    return std::nullopt;
}

std::string compact_ranges(const Ranges& ranges) {
    std::string text(1, kRangesMark);
    uint32_t next = 0;
    for (auto [first, last] : ranges.all()) {
        append_varint(text, first - next);
        append_varint(text, last - first);
        next = last + 1;
    }
    return text;
}

std::optional<Ranges> parse_compact_ranges(std::string_view text, uint32_t limit) {
    if (text.empty() || text.front() != kRangesMark) return std::nullopt;
    text.remove_prefix(1);
    Ranges ranges;
    uint64_t next = 0;
    while (!text.empty()) {
        auto gap = take_varint(text);
        auto length = gap ? take_varint(text) : std::nullopt;
        // compact_ranges never writes adjacent ranges: they are merged into one.
        if (!length || *gap >= limit || *length >= limit || (next > 0 && *gap == 0)) return std::nullopt;
        uint64_t first = next + *gap;
        uint64_t last = first + *length;
        if (last >= limit) return std::nullopt;
        ranges.append(static_cast<uint32_t>(first), static_cast<uint32_t>(last));
        next = last + 1;
    }
    return ranges;
}

CompactLive compact_live(const std::vector<LiveTask>& live) {
    CompactLive compact;
    compact.zones = sorted_zones(live);
    const std::vector<Row> rows = sorted_rows(live);
    TaskPosition previous;
    for (size_t row = 0; row < rows.size();) {
        size_t end = row;
        while (end < rows.size() && rows[end].name.entry == rows[row].name.entry) ++end;
        compact.names.push_back(rows[row].name.entry);
        append_varint(compact.text, end - row);
        uint64_t previous_number = 0;
        for (; row < end; ++row) {
            const LiveTask& placement = *rows[row].placement;
            uint64_t number = rows[row].name.number;
            auto zone = std::find(compact.zones.begin(), compact.zones.end(), placement.zone);
            auto zone_index = static_cast<uint64_t>(zone - compact.zones.begin());
            auto task = static_cast<int64_t>(placement.task);
            int64_t skew = static_cast<int64_t>(placement.attempt) - task;
            append_varint(compact.text, (number - previous_number) * compact.zones.size() + zone_index);
            append_varint(compact.text, zigzag_encode(task - previous.task));
            append_varint(compact.text, zigzag_encode(skew - previous.skew));
            previous_number = number;
            previous = {task, skew};
        }
    }
    return compact;
}

std::optional<std::map<uint32_t, PlacementRecord>> parse_compact_live(const CompactLive& compact,
                                                                      uint32_t tasks) {
    return PlacementReader(compact, tasks).read();
}

}  // namespace hareshore
