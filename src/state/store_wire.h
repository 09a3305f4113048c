// The store's wire format: encodes the paths and bodies of requests and decodes responses. Performs no I/O.
//
// A decoder takes the whole response, since the result depends on both its HTTP status and its body. A
// response that should have a body but whose body is malformed decodes to kUnknown (a watch: to kFailed).
#pragma once
#include <string>

#include "base/clock.h"
#include "http/client.h"
#include "state/store_types.h"

namespace hareshore {

// --- requests ---------------------------------------------------------------------------------------
[[nodiscard]] std::string get_path(const std::string& key);
// One page of the keys with the prefix: at most page_size keys that follow `after`, or the first page if
// `after` is empty.
[[nodiscard]] std::string list_path(const std::string& prefix, const std::string& after, size_t page_size);
// Changes after the revision to keys with the prefix; the store waits up to `wait` for the first one.
[[nodiscard]] std::string watch_path(const std::string& prefix, Revision after, Seconds wait);
[[nodiscard]] std::string transactions_path();
[[nodiscard]] std::string leases_path();
[[nodiscard]] std::string lease_path(LeaseId lease);
[[nodiscard]] std::string lease_renewal_path(LeaseId lease);
[[nodiscard]] std::string encode_transaction(const Transaction& transaction);
[[nodiscard]] std::string encode_lease_request(Seconds ttl);

// --- responses --------------------------------------------------------------------------------------
// The status from the HTTP status alone, for responses whose body is not needed.
[[nodiscard]] StoreStatus decode_status(const CallResult& response);
[[nodiscard]] GetResult decode_get(const CallResult& response, std::string key);
[[nodiscard]] ListResult decode_list(const CallResult& response);
[[nodiscard]] TransactionResult decode_transaction(const CallResult& response);
[[nodiscard]] LeaseResult decode_lease(const CallResult& response);
[[nodiscard]] WatchResult decode_watch(const CallResult& response);

// Whether the store executed the request, whatever the result, and so is available to this client.
[[nodiscard]] bool shows_store_available(const CallResult& response);
// The same for a watch, whose responses have other statuses.
[[nodiscard]] bool watch_shows_store_available(const CallResult& response);

}  // namespace hareshore
