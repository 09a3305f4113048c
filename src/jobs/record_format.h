// The format in which the jobs' records are written, kept in the key-value store under a key of its own. The
// production version writes format 1 and does not know the key; a leader puts it once every controller runs a
// version that reads format 2. No process of an older version returns after that.
#pragma once
#include <optional>

#include "jobs/record.h"
#include "state/store_client.h"

namespace hareshore {

inline const std::string kRecordFormatKey = "form";

struct RecordFormat {
    // The format in the key-value store, as far as this controller has read it; none: it is unreadable here.
    std::optional<uint64_t> stored = 1;

    // A later version's format, or an unreadable one: what its records mean is not known here.
    [[nodiscard]] bool newer() const { return !stored || *stored > kNewestRecordFormat; }
    // A leader may raise it.
    [[nodiscard]] bool below_newest() const { return stored && *stored < kNewestRecordFormat; }
    // The format to write.
    [[nodiscard]] uint64_t in_force() const { return newer() ? kNewestRecordFormat : *stored; }
};

std::string pack_record_format(uint64_t record_format);
// Nothing if the stored value is not that of a format.
std::optional<uint64_t> unpack_record_format(const std::string& packed);
// Whether the stored value is that of a format which this version reads.
bool reads_record_format(const std::string& packed);

// Reads the key. Returns false if the store gave no certain answer; a format that was read before stays.
Task<bool> refresh_record_format(StoreClient& state, RecordFormat& record_format);

}  // namespace hareshore
