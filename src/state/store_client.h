// A client of the consensus-backed key-value store: reads, compare-and-swap transactions, leases and watches.
//
// It sends each call once: whether and when to repeat one is the caller's decision, by the status of its
// result. Each call fails after its timeout at the latest, as kNotExecuted if it was not sent and as kUnknown
// otherwise.
#pragma once
#include <optional>
#include <string>

#include "http/client.h"
#include "state/store_types.h"

namespace hareshore {

class StoreClient {
  public:
    // An answer of more than answer_limit bytes is not read to its end and counts as none. The loop must
    // outlive the client, and the client its calls.
    StoreClient(Loop& loop, Address store, size_t answer_limit);

    [[nodiscard]] Task<GetResult> get(std::string key, Seconds timeout);
    // Keys after `after` that begin with the prefix, at most page_size of them; an empty `after` begins at
    // the first.
    [[nodiscard]] Task<ListResult> list(std::string prefix, std::string after, size_t page_size,
                                        Seconds timeout);
    [[nodiscard]] Task<TransactionResult> commit(Transaction transaction, Seconds timeout);

    [[nodiscard]] Task<LeaseResult> grant_lease(Seconds ttl, Seconds timeout);
    // Prolongs the lease by its time to live; kNotFound: it has expired.
    [[nodiscard]] Task<StoreStatus> renew_lease(LeaseId lease, Seconds timeout);
    // Ends the lease at once, which deletes its keys.
    [[nodiscard]] Task<StoreStatus> revoke_lease(LeaseId lease, Seconds timeout);

    // Changes after the revision to keys that begin with the prefix. Returns with the first ones, or with
    // none after the wait.
    [[nodiscard]] Task<WatchResult> watch(std::string prefix, Revision after, Seconds wait);

    // When the store last executed a request of this client, on the loop's clock; none: it never has.
    [[nodiscard]] std::optional<Seconds> last_contact() const { return last_contact_; }

  private:
    // Sends a request other than a watch, and records the contact.
    Task<CallResult> call(HttpClient& connections, std::string method, std::string path, std::string body,
                          Seconds timeout);

    Loop& loop_;
    // Reads and transactions, lease calls and watches use connections of their own: a lease must not wait for
    // a large listing, nor anything for a watch.
    HttpClient http_;
    HttpClient leases_;
    HttpClient watches_;
    std::optional<Seconds> last_contact_;
};

}  // namespace hareshore
