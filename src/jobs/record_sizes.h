// The cached size of a job's record in each format. Packing the record for every binding to measure it would
// take time quadratic in the number of tasks of a large array.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "jobs/record.h"

namespace hareshore {

struct RecordSize {
    std::optional<uint64_t> version;  // the job's version with this size; std::nullopt: not measured yet
    size_t bytes = 0;                 // an upper bound of the size of the record's JSON text
    bool exact = false;               // false: bindings since the measurement have raised the bound
};

struct RecordSizes {
    std::array<RecordSize, kNewestRecordFormat> by_format;
    size_t fixed_bytes = 0;  // the record without placements and done ranges; 0: not measured yet

    RecordSize& of(uint64_t record_format) { return by_format[record_format - 1]; }
};

}  // namespace hareshore
