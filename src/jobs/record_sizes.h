// What is known of the length of a job's record in each format, so that a binding need not write the record
// to find out: for each task of a large array that would cost the square of their number.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "jobs/record.h"

namespace hareshore {

struct RecordSize {
    std::optional<uint64_t> version;  // of the job, which has this size; none: not measured yet
    size_t bytes = 0;                 // of the record's JSON text, at most
    bool exact = false;               // else a binding has raised it by the most that it can add
};

struct RecordSizes {
    std::array<RecordSize, kNewestRecordFormat> by_format;
    size_t fixed_bytes = 0;  // of the record without placements and done ranges; 0: not measured yet

    RecordSize& of(uint64_t record_format) { return by_format[record_format - 1]; }
};

}  // namespace hareshore
