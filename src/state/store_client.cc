#include "state/store_client.h"

#include <utility>

#include "base/constants.h"
#include "state/store_wire.h"

namespace hareshore {

namespace {

// Every controller watches the leadership key, and the leader watches the job records as well.
constexpr size_t kWatchConnections = 4;

}  // namespace

StoreClient::StoreClient(Loop& loop, Address store, size_t response_limit)
    : loop_(loop),
      http_(loop, store, constants::kConnectionPoolSize, response_limit),
      leases_(loop, store, constants::kLeaseConnectionPoolSize, constants::kResponseLimit),
      watches_(loop, store, kWatchConnections, response_limit) {}

Task<CallResult> StoreClient::call(HttpClient& connections, std::string method, std::string path,
                                   std::string body, Seconds timeout) {
    CallResult response =
        co_await connections.call(std::move(method), std::move(path), std::move(body), timeout);
    if (shows_store_available(response)) last_contact_ = loop_.now();
    co_return response;
}

Task<GetResult> StoreClient::get(std::string key, Seconds timeout) {
    CallResult response = co_await call(http_, "GET", get_path(key), "", timeout);
    co_return decode_get(response, std::move(key));
}

Task<ListResult> StoreClient::list(std::string prefix, std::string after, size_t page_size, Seconds timeout) {
    std::string path = list_path(prefix, after, page_size);
    CallResult response = co_await call(http_, "GET", std::move(path), "", timeout);
    co_return decode_list(response);
}

Task<TransactionResult> StoreClient::commit(Transaction transaction, Seconds timeout) {
    std::string body = encode_transaction(transaction);
    CallResult response = co_await call(http_, "POST", transactions_path(), std::move(body), timeout);
    co_return decode_transaction(response);
}

Task<LeaseResult> StoreClient::grant_lease(Seconds ttl, Seconds timeout) {
    CallResult response = co_await call(leases_, "POST", leases_path(), encode_lease_request(ttl), timeout);
    co_return decode_lease(response);
}

Task<StoreStatus> StoreClient::renew_lease(LeaseId lease, Seconds timeout) {
    CallResult response = co_await call(leases_, "POST", lease_renewal_path(lease), "", timeout);
    co_return decode_status(response);
}

Task<StoreStatus> StoreClient::revoke_lease(LeaseId lease, Seconds timeout) {
    CallResult response = co_await call(leases_, "DELETE", lease_path(lease), "", timeout);
    co_return decode_status(response);
}

Task<WatchResult> StoreClient::watch(std::string prefix, Revision after, Seconds wait) {
    std::string path = watch_path(prefix, after, wait);
    CallResult response =
        co_await watches_.call("GET", std::move(path), "", wait + constants::kStoreCallTimeout_s);
    if (watch_shows_store_available(response)) last_contact_ = loop_.now();
    co_return decode_watch(response);
}

}  // namespace hareshore
