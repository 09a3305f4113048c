// How far a job's changes are written to the key-value store.
#pragma once
#include <cstdint>
#include <optional>

namespace hareshore {

// A write that is put off until the job changes or another record format is in force: the record is too large
// for the store, or the store refused it.
struct DeferredWrite {
    uint64_t version = 0;
    uint64_t record_format = 0;
    bool operator==(const DeferredWrite&) const = default;
};

struct JobPersistence {
    uint64_t mod_revision = 0;       // of the job's record in the key-value store
    uint64_t version = 0;            // counts the changes that have to be stored
    uint64_t committed_version = 0;  // the last version that the store holds
    uint64_t in_flight_version = 0;  // the version in the transaction that is on its way
    std::optional<DeferredWrite> deferred_write;

    [[nodiscard]] bool unwritten() const { return version != committed_version; }
    [[nodiscard]] bool committed(uint64_t of_version) const { return committed_version >= of_version; }
    // Whether writing the present version in this format is put off.
    [[nodiscard]] bool write_deferred(uint64_t record_format) const {
        return deferred_write == DeferredWrite{version, record_format};
    }
};

}  // namespace hareshore
