// Requests to and results of the consensus-backed key-value store (see store_client.h).
//
// Results are structs with a status rather than tl::expected: a status other than kOk may carry data too (a
// conflict lists the keys that caused it), and callers handle nearly every status differently.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hareshore {

// The outcome of a request to the store.
enum class StoreStatus : uint8_t {
    kOk,
    kNotFound,     // The key or the lease does not exist.
    kConflict,     // A condition of the transaction failed; nothing was written.
    kNotExecuted,  // The request was definitely not executed: not sent, or refused by an unavailable store.
    kRateLimited,  // Not executed: the rate limit is exceeded.
    kInvalid,      // Not executed: the request is invalid, so a retry would fail too.
    kUnknown,      // The request may have been or may yet be executed, or its response is malformed.
};

// A position in the store's history; it increases with each transaction that writes.
using Revision = uint64_t;

// The mod revision of a key that does not exist.
inline constexpr Revision kAbsentRevision = 0;

using LeaseId = uint64_t;

// A key with its value.
struct Entry {
    std::string key;
    Revision mod_revision = kAbsentRevision;  // of the key's last write
    std::optional<LeaseId> lease;  // The key is deleted when it expires. Listings do not report it.
    std::string data;              // a MessagePack value
};

struct GetResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    Entry entry;  // with kOk
};

// One page of a listing; the other fields are set with kOk.
struct ListResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    std::vector<Entry> entries;
    bool more = false;                    // Further pages follow.
    Revision revision = kAbsentRevision;  // at which the page was read
};

// One change of a watched key.
struct KeyChange {
    std::string key;
    bool deleted = false;
    Revision mod_revision = kAbsentRevision;
    std::string data;  // a MessagePack value, empty if the key was deleted
};

// The outcome of a watch.
enum class WatchStatus : uint8_t {
    kOk,         // The result contains all changes up to its revision, possibly none.
    kCompacted,  // The requested changes have been compacted or are too many for a response: relist the keys.
    kFailed,     // No usable response: retry later, from the same revision.
};

struct WatchResult {
    WatchStatus status = WatchStatus::kFailed;
    std::vector<KeyChange> changes;
    Revision revision = kAbsentRevision;  // from which to watch next
};

// A compare-and-swap transaction: applies all its writes atomically if all its conditions are met.
struct Transaction {
    // Requires the key to have this mod revision; kAbsentRevision: not to exist.
    struct Condition {
        std::string key;
        Revision mod_revision = kAbsentRevision;
    };
    struct Write {
        std::string key;
        std::optional<std::string> data;  // a MessagePack value; none deletes the key
        std::optional<LeaseId> lease;     // deletes the key when it expires
    };
    std::vector<Condition> conditions;
    std::vector<Write> writes;

    Transaction& expect_revision(std::string key, Revision mod_revision);
    Transaction& expect_absent(std::string key);
    Transaction& put(std::string key, std::string data);
    Transaction& put(std::string key, std::string data, LeaseId lease);
    Transaction& delete_key(std::string key);
};

struct TransactionResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    Revision revision = kAbsentRevision;   // with kOk: the mod revision of the keys written
    std::vector<std::string> failed_keys;  // with kConflict: the keys whose conditions failed
};

struct LeaseResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    LeaseId lease = 0;  // with kOk
};

}  // namespace hareshore
