// Requests to and results of the consensus-backed key-value store (see store_client.h).
//
// Results are structs with a status, not values or errors: a status other than kOk may carry data too (a
// conflict names the keys that caused it), and callers treat nearly every status in a way of its own.
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
    kNotExecuted,  // The request was certainly not executed: not sent, or refused by an unavailable store.
    kRateLimited,  // Not executed: the request rate is exceeded.
    kInvalid,      // Not executed: the request is invalid, so repeating it is of no use.
    kUnknown,      // The request may have been executed, or may still be; or its answer is malformed.
};

// A position in the store's history; each transaction that writes has a greater one than those before.
using Revision = uint64_t;

// The mod revision by which the store denotes a key that does not exist.
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
    kOk,         // The changes, if any, are complete up to the result's revision.
    kCompacted,  // The store no longer keeps the changes asked for, or they are too many: list the keys anew.
    kFailed,     // No usable answer: watch again later, from the same revision.
};

struct WatchResult {
    WatchStatus status = WatchStatus::kFailed;
    std::vector<KeyChange> changes;
    Revision revision = kAbsentRevision;  // from which to watch next
};

// A compare-and-swap transaction: all its writes are applied at once, if all its conditions hold.
struct Transaction {
    // The key's mod revision must be this one; kAbsentRevision: the key must not exist.
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
