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
constexpr uint64_t kMoreFollows = 1U << kBitsPerDigit;
constexpr unsigned kQuantityBits = 60;  // of the largest quantity that is read
constexpr char kRangesMark = '=';
constexpr int8_t kNoDigit = -1;

// The value of each character, or kNoDigit.
constexpr auto kDigitValues = [] {
    std::array<int8_t, 256> values{};
    for (auto& value : values) value = kNoDigit;
    for (size_t i = 0; i < kDigits.size(); ++i)
        values[static_cast<uint8_t>(kDigits[i])] = static_cast<int8_t>(i);
    return values;
}();

// Signed distances: small ones of either sign become small numbers.
uint64_t fold_sign(int64_t distance) {
    return distance < 0 ? (static_cast<uint64_t>(-(distance + 1)) << 1) + 1
                        : static_cast<uint64_t>(distance) << 1;
}
int64_t unfold_sign(uint64_t folded) {
    return folded & 1 ? -static_cast<int64_t>(folded >> 1) - 1 : static_cast<int64_t>(folded >> 1);
}

// A machine's name as an entry of CompactLive::names and a number.
struct NumberedName {
    std::string entry;
    uint64_t number = 0;
};

// "vm-000231" is {"6vm-", 231}; a name without a number at its end is {"0name", 0}.
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

// The name that split_name made these of; nothing if there is none.
std::optional<std::string> join_name(const std::string& entry, uint64_t number) {
    if (entry.empty() || entry[0] < '0' || entry[0] > '9') return std::nullopt;
    auto digits = static_cast<size_t>(entry[0] - '0');
    std::string name = entry.substr(1);
    if (digits == 0) return number == 0 && !name.empty() ? std::optional(name) : std::nullopt;
    std::string number_text = std::to_string(number);
    if (number_text.size() > digits) return std::nullopt;
    return name + std::string(digits - number_text.size(), '0') + number_text;
}

// A placement with its machine's name split.
struct Row {
    NumberedName name;
    const LiveTask* placement = nullptr;
};

// Sorted by entry, number and task.
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

// Task and attempt of the placement before, to which the next one's distances refer. The skew is the attempt
// less the task: tasks of an array are bound in order and have the same one.
struct TaskPosition {
    int64_t task = 0;
    int64_t skew = 0;
};

// Reads the text of CompactLive from front to end.
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
        auto rows = take_quantity(text_);
        if (!rows || *rows == 0 || *rows > tasks_) return false;
        uint64_t number = 0;
        for (uint64_t i = 0; i < *rows; ++i)
            if (!read_placement(entry, number)) return false;
        return true;
    }

    // `number` is that of the last machine, and becomes that of this one.
    bool read_placement(const std::string& entry, uint64_t& number) {
        auto place = take_quantity(text_);
        auto task_distance = place ? take_quantity(text_) : std::nullopt;
        auto skew_distance = task_distance ? take_quantity(text_) : std::nullopt;
        if (!skew_distance || compact_.zones.empty()) return false;
        number += *place / compact_.zones.size();
        // Every quantity is below 2^60: checked after each step, no sum can overflow.
        last_.task += unfold_sign(*task_distance);
        last_.skew += unfold_sign(*skew_distance);
        if (number > constants::kMaxExactInteger || !valid(last_)) return false;
        auto machine = join_name(entry, number);
        if (!machine) return false;
        PlacementRecord placement{static_cast<uint64_t>(last_.task + last_.skew), *machine,
                                  compact_.zones[*place % compact_.zones.size()]};
        return live_.emplace(static_cast<uint32_t>(last_.task), std::move(placement)).second;
    }

    [[nodiscard]] bool valid(const TaskPosition& position) const {
        constexpr auto kMost = static_cast<int64_t>(constants::kMaxExactInteger);
        return position.task >= 0 && position.task < static_cast<int64_t>(tasks_) &&
               position.skew >= -kMost && position.skew <= kMost && position.task + position.skew >= 0;
    }

    const CompactLive& compact_;
    uint32_t tasks_;
    std::string_view text_;  // what is not read yet
    TaskPosition last_;
    std::map<uint32_t, PlacementRecord> live_;
};

}  // namespace

void put_quantity(std::string& text, uint64_t quantity) {
    while (quantity >= kMoreFollows) {
        text += kDigits[(quantity & (kMoreFollows - 1)) | kMoreFollows];
        quantity >>= kBitsPerDigit;
    }
    text += kDigits[quantity];
}

std::optional<uint64_t> take_quantity(std::string_view& text) {
    uint64_t quantity = 0;
    for (unsigned shift = 0; !text.empty() && shift < kQuantityBits; shift += kBitsPerDigit) {
        int8_t value = kDigitValues[static_cast<uint8_t>(text.front())];
        if (value == kNoDigit) return std::nullopt;
        text.remove_prefix(1);
        uint64_t digit = static_cast<uint8_t>(value);
        quantity |= (digit & (kMoreFollows - 1)) << shift;
        if (digit >= kMoreFollows) continue;
        // A zero at the end is not written.
        return digit == 0 && shift > 0 ? std::nullopt : std::optional(quantity);
    }
    return std::nullopt;
}

std::string compact_ranges(const Ranges& ranges) {
    std::string text(1, kRangesMark);
    uint32_t next = 0;
    for (auto [first, last] : ranges.all()) {
        put_quantity(text, first - next);
        put_quantity(text, last - first);
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
        auto gap = take_quantity(text);
        auto run = gap ? take_quantity(text) : std::nullopt;
        // Ranges that touch would have been one.
        if (!run || *gap >= limit || *run >= limit || (next > 0 && *gap == 0)) return std::nullopt;
        uint64_t first = next + *gap;
        uint64_t last = first + *run;
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
    TaskPosition last;
    for (size_t i = 0; i < rows.size();) {
        size_t end = i;
        while (end < rows.size() && rows[end].name.entry == rows[i].name.entry) ++end;
        compact.names.push_back(rows[i].name.entry);
        put_quantity(compact.text, end - i);
        uint64_t last_number = 0;
        for (; i < end; ++i) {
            const LiveTask& placement = *rows[i].placement;
            uint64_t number = rows[i].name.number;
            auto zone = std::find(compact.zones.begin(), compact.zones.end(), placement.zone);
            auto zone_index = static_cast<uint64_t>(zone - compact.zones.begin());
            auto task = static_cast<int64_t>(placement.task);
            int64_t skew = static_cast<int64_t>(placement.attempt) - task;
            put_quantity(compact.text, (number - last_number) * compact.zones.size() + zone_index);
            put_quantity(compact.text, fold_sign(task - last.task));
            put_quantity(compact.text, fold_sign(skew - last.skew));
            last_number = number;
            last = {task, skew};
        }
    }
    return compact;
}

std::optional<std::map<uint32_t, PlacementRecord>> parse_compact_live(const CompactLive& compact,
                                                                      uint32_t tasks) {
    return PlacementReader(compact, tasks).read();
}

}  // namespace hareshore
