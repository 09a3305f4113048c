// The compact text of a job's record of format 2: done ranges and placements as base-64 digits in place of
// format 1's lists. Text, since MessagePack carries no binary here and the limit of a value counts its JSON.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ranges.h"

namespace hareshore {

struct PlacementRecord;

// Variable-length quantities: five bits a digit, the lowest first; the sixth bit says that more follow.
void put_quantity(std::string& text, uint64_t quantity);
// Takes one from the front; nothing if the text does not begin with one that put_quantity writes.
[[nodiscard]] std::optional<uint64_t> take_quantity(std::string_view& text);

// Done ranges as gap, run, gap, run. The mark in front is none that format 1 knows: a reader of format 1 only
// refuses the record instead of taking its tasks for free.
std::string compact_ranges(const Ranges& ranges);
// Nothing if compact_ranges does not write this text for numbers below `limit`.
[[nodiscard]] std::optional<Ranges> parse_compact_ranges(std::string_view text, uint32_t limit);

// Placements, sorted by machine. Names that end in a number, as "vm-000231", share an entry of `names`
// ("6vm-": six digits follow) and are told apart by the number; any other name is an entry itself ("0name").
// `text` holds for each entry of `names` the number of its placements, and each placement as three
// quantities: the distance to the last machine's number with the zone's index, the distance to the last task,
// and that of the attempt less the task.
struct CompactLive {
    std::vector<std::string> zones;
    std::vector<std::string> names;
    std::string text;
};

// A placement to be written. Refers to strings of the caller.
struct LiveTask {
    uint32_t task = 0;
    uint64_t attempt = 0;
    std::string_view machine;
    std::string_view zone;
};

CompactLive compact_live(const std::vector<LiveTask>& live);
// The placements by task; nothing if this is not the text of placements of a job with so many tasks.
[[nodiscard]] std::optional<std::map<uint32_t, PlacementRecord>> parse_compact_live(
    const CompactLive& compact, uint32_t tasks);

}  // namespace hareshore
