// The only file with the field names of the store's wire format.
#include "state/store_wire.h"

#include <utility>

#include "http/msgpack.h"

namespace hareshore {

namespace {

// The HTTP statuses of the store's responses, and 0 for a call without a response.
constexpr int kNoResponse = 0;
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;

// Repacks a value, since the decoded message that contains it is not kept.
std::string repack(const MsgpackValue& value) {
    msgpack::sbuffer buffer;
    if (value.raw()) msgpack::pack(buffer, *value.raw());
    return {buffer.data(), buffer.size()};
}

void pack_write(MsgpackWriter& packer, const Transaction::Write& write) {
    if (!write.data) {
        packer.map(1).key("drop").text(write.key);
        return;
    }
    packer.map(write.lease ? 3 : 2).key("put").text(write.key).key("data").raw(*write.data);
    if (write.lease) packer.key("mooring").count(*write.lease);
}

Entry decode_row(const MsgpackValue& row) {
    Entry entry;
    entry.key = row["k"].text_or("");
    entry.mod_revision = row["stamp"].count_or(kAbsentRevision);
    entry.data = repack(row["data"]);
    return entry;
}

KeyChange decode_change(const MsgpackValue& change) {
    KeyChange decoded;
    decoded.mod_revision = change["stamp"].count_or(kAbsentRevision);
    if (auto deleted_key = change["drop"].text()) {
        decoded.key = std::move(*deleted_key);
        decoded.deleted = true;
    } else {
        decoded.key = change["put"].text_or("");
        decoded.data = repack(change["data"]);
    }
    return decoded;
}

// Whether the requested changes have been compacted or the response exceeds the size limit. A repeated watch
// would get the same oversized response again, whereas a listing is paginated.
bool needs_relist(const CallResult& response) {
    return response.status == kHttpGone || response.response_too_large;
}

}  // namespace

std::string get_path(const std::string& key) {
    return "/keys/" + key;
}

std::string list_path(const std::string& prefix, const std::string& after, size_t page_size) {
    std::string path = "/keys?prefix=" + prefix + "&page=" + std::to_string(page_size);
    if (!after.empty()) path += "&from=" + after;
    return path;
}

std::string watch_path(const std::string& prefix, Revision after, Seconds wait) {
    return "/changes?prefix=" + prefix + "&from=" + std::to_string(after) +
           "&wait_ms=" + std::to_string(static_cast<int>(wait * 1000));
}

std::string transactions_path() {
    return "/txn";
}

std::string leases_path() {
    return "/leases";
}

std::string lease_path(LeaseId lease) {
    return leases_path() + '/' + std::to_string(lease);
}

std::string lease_renewal_path(LeaseId lease) {
    return lease_path(lease) + "/renew";
}

std::string encode_transaction(const Transaction& transaction) {
    MsgpackWriter packer;
    packer.map(transaction.writes.empty() ? 1 : 2).key("when").list(transaction.conditions.size());
    for (const auto& condition : transaction.conditions)
        packer.map(2).key("k").text(condition.key).key("stamp").count(condition.mod_revision);
    if (!transaction.writes.empty()) {
        packer.key("writes").list(transaction.writes.size());
        for (const auto& write : transaction.writes) pack_write(packer, write);
    }
    return packer.take();
}

std::string encode_lease_request(Seconds ttl) {
    MsgpackWriter packer;
    packer.map(1).key("ttl_ms").count(static_cast<uint64_t>(ttl * 1000));
    return packer.take();
}

StoreStatus decode_status(const CallResult& response) {
    switch (response.status) {
        case kHttpOk:
            return StoreStatus::kOk;
        case kHttpNotFound:
            return StoreStatus::kNotFound;
        case kHttpConflict:
            return StoreStatus::kConflict;
        case kHttpTooManyRequests:
            return StoreStatus::kRateLimited;
        case kHttpBadRequest:
            return StoreStatus::kInvalid;
        case kHttpUnavailable:
            return StoreStatus::kNotExecuted;
        case kNoResponse:
            return response.maybe_executed ? StoreStatus::kUnknown : StoreStatus::kNotExecuted;
        default:
            return StoreStatus::kUnknown;
    }
}

GetResult decode_get(const CallResult& response, std::string key) {
    GetResult result;
    result.status = decode_status(response);
    if (result.status != StoreStatus::kOk && result.status != StoreStatus::kNotFound) return result;
    auto message = MsgpackDocument::parse(response.body);
    if (!message || !message->root().is_map()) {
        result.status = StoreStatus::kUnknown;
        return result;
    }
    if (result.status == StoreStatus::kNotFound) return result;
    MsgpackValue root = message->root();
    result.entry.key = std::move(key);
    result.entry.mod_revision = root["stamp"].count_or(kAbsentRevision);
    // On the wire, lease 0 means no lease.
    if (uint64_t lease = root["mooring"].count_or(0); lease != 0) result.entry.lease = lease;
    result.entry.data = repack(root["data"]);
    if (result.entry.mod_revision == kAbsentRevision) result.status = StoreStatus::kUnknown;
    return result;
}

ListResult decode_list(const CallResult& response) {
    ListResult result;
    result.status = decode_status(response);
    if (result.status == StoreStatus::kNotFound || result.status == StoreStatus::kConflict)
        result.status = StoreStatus::kUnknown;  // A listing has no such outcome.
    if (result.status != StoreStatus::kOk) return result;
    auto message = MsgpackDocument::parse(response.body);
    MsgpackValue root = message ? message->root() : MsgpackValue();
    auto more = root["has_next"].flag();
    auto revision = root["tide"].count();
    MsgpackValue rows = root["rows"];
    if (!more || !revision || !rows.is_list()) {
        result.status = StoreStatus::kUnknown;
        return result;
    }
    result.more = *more;
    result.revision = *revision;
    result.entries.reserve(rows.size());
    for (size_t i = 0; i < rows.size(); ++i) result.entries.push_back(decode_row(rows.at(i)));
    return result;
}

TransactionResult decode_transaction(const CallResult& response) {
    TransactionResult result;
    result.status = decode_status(response);
    if (result.status != StoreStatus::kOk && result.status != StoreStatus::kConflict) return result;
    auto message = MsgpackDocument::parse(response.body);
    auto revision = message ? message->root()["tide"].count() : std::nullopt;
    if (!revision) {
        result.status = StoreStatus::kUnknown;
        return result;
    }
    result.revision = *revision;
    MsgpackValue failed = message->root()["failed"];
    for (size_t i = 0; i < failed.size(); ++i) result.failed_keys.push_back(failed.at(i).text_or(""));
    return result;
}

LeaseResult decode_lease(const CallResult& response) {
    LeaseResult result;
    result.status = decode_status(response);
    if (result.status != StoreStatus::kOk) return result;
    auto message = MsgpackDocument::parse(response.body);
    result.lease = message ? message->root()["mooring"].count_or(0) : 0;
    if (result.lease == 0) result.status = StoreStatus::kUnknown;
    return result;
}

WatchResult decode_watch(const CallResult& response) {
    WatchResult result;
    if (needs_relist(response)) {
        result.status = WatchStatus::kCompacted;
        return result;
    }
    if (response.status != kHttpOk) return result;
    auto message = MsgpackDocument::parse(response.body);
    MsgpackValue root = message ? message->root() : MsgpackValue();
    auto revision = root["tide"].count();
    if (!revision) return result;
    result.status = WatchStatus::kOk;
    result.revision = *revision;
    MsgpackValue changes = root["news"];
    result.changes.reserve(changes.size());
    for (size_t i = 0; i < changes.size(); ++i) result.changes.push_back(decode_change(changes.at(i)));
    return result;
}

bool shows_store_available(const CallResult& response) {
    return response.status == kHttpOk || response.status == kHttpNotFound || response.status == kHttpConflict;
}

bool watch_shows_store_available(const CallResult& response) {
    return response.status == kHttpOk || needs_relist(response);
}

}  // namespace hareshore
