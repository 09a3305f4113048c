// Which of a job's changes have been written to the key-value store.
#pragma once
#include <cstdint>
#include <optional>

namespace hareshore {

// A write that is deferred until the job changes or another record format is in force, because the record is
// too large for the store or the store rejected it.
struct DeferredWrite {
    uint64_t version = 0;
    uint64_t record_format = 0;
    bool operator==(const DeferredWrite&) const = default;
};

struct JobPersistence {
    uint64_t mod_revision = 0;       // of the job's record in the key-value store
    uint64_t version = 0;            // counts the changes to be stored
    uint64_t committed_version = 0;  // the last version committed to the store
    uint64_t in_flight_version = 0;  // the version in the transaction in flight
    std::optional<DeferredWrite> deferred_write;

    [[nodiscard]] bool unwritten() const { return version != committed_version; }
    [[nodiscard]] bool committed(uint64_t of_version) const { return committed_version >= of_version; }
    // Whether the write of the current version in this format is deferred.
    [[nodiscard]] bool write_deferred(uint64_t record_format) const {
        return deferred_write == DeferredWrite{version, record_format};
    }
};

}  // namespace hareshore
