// The format in which job records are written, stored under its own key in the key-value store. The
// production version writes format 1 and does not know the key. A leader writes the key once every controller
// runs a version that reads format 2; older versions must not be started after that.
#pragma once
#include <optional>

#include "jobs/record.h"
#include "state/store_client.h"

namespace hareshore {

inline const std::string kRecordFormatKey = "form";

struct RecordFormat {
    // The format last read from the key-value store; std::nullopt: the stored value is unreadable.
    std::optional<uint64_t> stored = 1;

    // Whether the stored format is unreadable or too new, so that this version cannot decode the records.
    [[nodiscard]] bool unsupported() const { return !stored || *stored > kNewestRecordFormat; }
    // Whether a leader may raise the stored format.
    [[nodiscard]] bool below_newest() const { return stored && *stored < kNewestRecordFormat; }
    // The format in which records are written.
    [[nodiscard]] uint64_t write_format() const { return unsupported() ? kNewestRecordFormat : *stored; }
};

std::string pack_record_format(uint64_t record_format);
// std::nullopt if the stored value is malformed.
std::optional<uint64_t> unpack_record_format(const std::string& packed);
// Whether the stored value is a format that this version reads.
bool reads_record_format(const std::string& packed);

// Reads the key and updates `record_format`, which is never lowered. Returns false, and changes nothing, if
// the store could not be read.
Task<bool> refresh_record_format(StoreClient& store, RecordFormat& record_format);

}  // namespace hareshore
