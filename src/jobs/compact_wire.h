// The compact encoding of record format 2: done ranges and placements as base-64 digits in place of format
// 1's lists. It is text because MessagePack binary is not supported here and the store limits a value's JSON
// size.
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

// Variable-length integers: five bits a digit, the lowest first; the sixth bit says that more digits follow.
void append_varint(std::string& text, uint64_t value);
// Removes one from the front; std::nullopt if the text does not begin with one as append_varint writes it.
[[nodiscard]] std::optional<uint64_t> take_varint(std::string_view& text);

// Encodes done ranges as alternating gaps and run lengths, after a mark that format 1 does not know: a reader
// of format 1 rejects the record instead of treating its placed tasks as free to start.
std::string compact_ranges(const Ranges& ranges);
// std::nullopt unless this is the text that compact_ranges writes for some ranges of numbers below `limit`.
[[nodiscard]] std::optional<Ranges> parse_compact_ranges(std::string_view text, uint32_t limit);

// Placements, sorted by machine. Machine names that end in a number, such as "vm-000231", share an entry of
// `names` ("6vm-": six digits follow) and differ by that number; any other name has its own entry ("0name").
// `text` has, for each entry of `names`, the number of its placements, and for each placement three varints:
// the difference to the previous machine's number combined with the zone's index, the difference to the
// previous task, and the difference to the previous value of attempt minus task.
struct CompactLive {
    std::vector<std::string> zones;
    std::vector<std::string> names;
    std::string text;
};

// A placement to be encoded. Refers to strings of the caller.
struct LiveTask {
    uint32_t task = 0;
    uint64_t attempt = 0;
    std::string_view machine;
    std::string_view zone;
};

CompactLive compact_live(const std::vector<LiveTask>& live);
// The placements by task; std::nullopt unless they are valid placements of a job with so many tasks.
[[nodiscard]] std::optional<std::map<uint32_t, PlacementRecord>> parse_compact_live(
    const CompactLive& compact, uint32_t tasks);

}  // namespace hareshore
