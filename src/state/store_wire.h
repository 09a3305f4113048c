// The store's wire format: the paths and bodies of requests, and the decoding of answers. Performs no I/O.
//
// A decoder takes the whole answer, since its HTTP status and its body together make up the result. An answer
// that should carry a body but whose body is malformed decodes to kUnknown (a watch: kFailed).
#pragma once
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/client.h"
#include "state/store_types.h"

namespace hareshore {

// --- requests ---------------------------------------------------------------------------------------
[[nodiscard]] std::string get_path(const std::string& key);
// Keys after `after` that begin with the prefix, at most page_size of them; an empty `after` begins at the
// first.
[[nodiscard]] std::string list_path(const std::string& prefix, const std::string& after, size_t page_size);
// Changes after the revision to keys that begin with the prefix; the store waits so long for the first one.
[[nodiscard]] std::string watch_path(const std::string& prefix, Revision after, Seconds wait);
[[nodiscard]] std::string transactions_path();
[[nodiscard]] std::string leases_path();
[[nodiscard]] std::string lease_path(LeaseId lease);
[[nodiscard]] std::string lease_renewal_path(LeaseId lease);
[[nodiscard]] std::string encode_transaction(const Transaction& transaction);
[[nodiscard]] std::string encode_lease_request(Seconds ttl);

// --- answers ----------------------------------------------------------------------------------------
// From the HTTP status alone, for answers whose body is of no interest.
[[nodiscard]] StoreStatus decode_status(const CallResult& answer);
[[nodiscard]] GetResult decode_get(const CallResult& answer, std::string key);
[[nodiscard]] ListResult decode_list(const CallResult& answer);
[[nodiscard]] TransactionResult decode_transaction(const CallResult& answer);
[[nodiscard]] LeaseResult decode_lease(const CallResult& answer);
[[nodiscard]] WatchResult decode_watch(const CallResult& answer);

// The store executed the request, whatever its result: it is available to us.
[[nodiscard]] bool shows_store_available(const CallResult& answer);
// The same for a watch, whose answers have other statuses.
[[nodiscard]] bool watch_shows_store_available(const CallResult& answer);

}  // namespace hareshore
