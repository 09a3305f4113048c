// The format of the jobs' records in force, kept under a key of its own. The production version writes format
// 1 and does not know the key; a leader puts it once every controller runs a version that reads format 2. No
// process of an older version returns after that.
#pragma once
#include "jobs/record.h"
#include "state/store_client.h"

namespace hareshore {

inline const std::string kRecordFormatKey = "form";

struct RecordFormat {
    uint64_t kept = 1;  // what the state service says, as far as this controller has heard
    // A later version's format: what its records mean is not known here.
    bool newer() const { return kept > kNewestRecordFormat; }
    uint64_t in_force() const { return newer() ? kNewestRecordFormat : kept; }
};

std::string pack_record_format(uint64_t record_format);
// An unreadable value counts as newer than known.
uint64_t unpack_record_format(const std::string& packed);

// Asks for the key; whether there was a certain answer. A format that was heard of stays.
Task<bool> learn_record_format(StoreClient& state, RecordFormat& record_format);

}  // namespace hareshore
