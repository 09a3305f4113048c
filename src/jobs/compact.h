// What a job's record of format 2 holds in place of format 1's lists: done ranges and placements as text of
// base-64 digits, since MessagePack carries no binary here and the limit of a value counts its JSON text.
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
void put_quantity(std::string& text, uint64_t n);
// Takes one from the front; nothing if the text does not begin with one that put_quantity writes.
std::optional<uint64_t> take_quantity(std::string_view& text);

// Done ranges as gap, run, gap, run. The mark in front is none that format 1 knows: a reader of format 1 only
// refuses the record instead of taking its tasks for free.
std::string compact_ranges(const Ranges& ranges);
std::optional<Ranges> parse_compact_ranges(std::string_view text, uint32_t limit);

// Placements, sorted by machine. Names that end in a number, as "vm-000231", share an entry of `names`
// ("6vm-": six digits follow) and are told apart by the number; any other name is an entry itself ("0name").
// Each placement is three quantities: the distance to the last machine's number with the zone's index, the
// distance to the last task, and that of the attempt less the task.
struct CompactLive {
    std::vector<std::string> zones, names;
    std::string text;
};
// The text refers to the strings only while it is made.
struct LiveTask {
    uint32_t task = 0;
    uint64_t attempt = 0;
    std::string_view machine, zone;
};
CompactLive compact_live(const std::vector<LiveTask>& live);
std::optional<std::map<uint32_t, PlacementRecord>> parse_compact_live(const CompactLive& from,
                                                                      uint32_t tasks);

}  // namespace hareshore
