// The state service's protocol.
#pragma once
#include <vector>

#include "http/client.h"

namespace hareshore {

enum class StoreStatus {
    kOk,
    kNotFound,     // the key or the lease does not exist
    kConflict,     // a condition failed; nothing was written
    kNotExecuted,  // certainly not executed
    kRateLimited,  // nor this, for the rate was exceeded
    kInvalid,      // nor this, for what it is: the same again would get the same
    kUnknown,      // may have been executed, or may yet be
};

struct Entry {
    std::string key;
    uint64_t mod_revision = 0;
    uint64_t lease = 0;
    std::string data;  // packed
};

struct GetResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    Entry entry;
    uint64_t revision = 0;  // only when absent
};

struct ListResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    std::vector<Entry> entries;
    bool more = false;
    uint64_t revision = 0;
};

struct Change {
    std::string key;
    bool dropped = false;
    uint64_t mod_revision = 0;
    std::string data;  // packed
};

struct ChangesResult {
    StoreStatus status = StoreStatus::kNotExecuted;  // kAbsent: the revision is too old, read again
    std::vector<Change> changes;
    uint64_t revision = 0;
};

struct Transaction {
    struct Write {
        std::string key;
        bool drop = false;
        std::string data;  // packed
        uint64_t lease = 0;
    };
    std::vector<std::pair<std::string, uint64_t>> when;  // key, mod revision; 0: must not exist
    std::vector<Write> writes;

    Transaction& expect(std::string key, uint64_t mod_revision);
    Transaction& put(std::string key, std::string data, uint64_t lease = 0);
    Transaction& drop(std::string key);
    std::string pack() const;
};

struct TransactionResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    uint64_t revision = 0;
    std::vector<std::string> failed;  // keys whose condition failed
};

struct LeaseResult {
    StoreStatus status = StoreStatus::kNotExecuted;
    uint64_t lease = 0;
};

class StoreClient {
  public:
    StoreClient(Loop& loop, Address at, size_t answer_limit = constants::kResponseLimit)
        : loop_(loop),
          http_(loop, at, constants::kConnectionPoolSize, answer_limit),
          leases_(loop, at, constants::kLeaseConnectionPoolSize),
          watches_(loop, at, 4, answer_limit) {}
    Task<GetResult> get(std::string key, Seconds timeout);
    Task<ListResult> list(std::string prefix, std::string from, size_t page, Seconds timeout);
    Task<TransactionResult> commit(Transaction txn, Seconds timeout);
    Task<LeaseResult> grant(Seconds ttl, Seconds timeout);
    Task<StoreStatus> renew(uint64_t lease, Seconds timeout);
    Task<StoreStatus> revoke(uint64_t lease, Seconds timeout);
    Task<ChangesResult> changes(std::string prefix, uint64_t from, Seconds wait);
    // When the service last carried out a request of ours; -1: never.
    Seconds last_contact() const { return last_contact_; }

  private:
    Task<CallResult> call(HttpClient& on, std::string method, std::string path, std::string body,
                          Seconds timeout);

    Loop& loop_;
    HttpClient http_;
    HttpClient leases_;
    HttpClient watches_;
    Seconds last_contact_ = -1;
};

}  // namespace hareshore
