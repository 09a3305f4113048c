// A client of the consensus-backed key-value store: reads, compare-and-swap transactions, leases and watches.
//
// Each request is sent once: the caller decides by the status of the result whether and when to retry. A
// request that times out fails with kNotExecuted if it was not sent, and with kUnknown otherwise.
#pragma once
#include <optional>
#include <string>

#include "http/client.h"
#include "state/store_types.h"

namespace hareshore {

class StoreClient {
  public:
    // A response of more than response_limit bytes is not read to its end and counts as no response. The loop
    // must outlive the client, and the client its calls.
    StoreClient(Loop& loop, Address store, size_t response_limit);

    [[nodiscard]] Task<GetResult> get(std::string key, Seconds timeout);
    // One page of the keys with the prefix: at most page_size keys that follow `after`, or the first page if
    // `after` is empty.
    [[nodiscard]] Task<ListResult> list(std::string prefix, std::string after, size_t page_size,
                                        Seconds timeout);
    [[nodiscard]] Task<TransactionResult> commit(Transaction transaction, Seconds timeout);

    [[nodiscard]] Task<LeaseResult> grant_lease(Seconds ttl, Seconds timeout);
    // Renews the lease for its time to live; kNotFound: it has expired.
    [[nodiscard]] Task<StoreStatus> renew_lease(LeaseId lease, Seconds timeout);
    // Revokes the lease at once, which deletes its keys.
    [[nodiscard]] Task<StoreStatus> revoke_lease(LeaseId lease, Seconds timeout);

    // Changes after the revision to keys with the prefix. Returns as soon as there are any, or without
    // changes after `wait`.
    [[nodiscard]] Task<WatchResult> watch(std::string prefix, Revision after, Seconds wait);

    // When the store last executed a request of this client, on the loop's clock; none if it never has.
    [[nodiscard]] std::optional<Seconds> last_contact() const { return last_contact_; }

  private:
    // Sends a request other than a watch, and records the contact.
    Task<CallResult> call(HttpClient& connections, std::string method, std::string path, std::string body,
                          Seconds timeout);

    Loop& loop_;
    // Separate connection pools for reads and transactions, for leases and for watches: a lease renewal must
    // not wait for a large listing, and no request for a watch.
    HttpClient http_;
    HttpClient leases_;
    HttpClient watches_;
    std::optional<Seconds> last_contact_;
};

}  // namespace hareshore
