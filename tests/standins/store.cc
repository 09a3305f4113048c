#include "standins/store.h"

#include <algorithm>

#include "http/msgpack.h"
#include "standins/messages.h"

namespace hareshore::test {

namespace {

constexpr size_t kMaxConnections = 100;
constexpr Seconds kNever_s = 1e6;
constexpr Seconds kLeaseCheckInterval_s = 0.5;  // of a waiting watch
constexpr Seconds kMinLeaseCheckInterval_s = 0.1;
constexpr size_t kMaxRequestBytes = size_t{64} * 1024;
constexpr size_t kConditionsPerWrite = 4;  // ratio of the limit on conditions to that on writes

Response empty_response(int status) {
    return {status, "", 0, ""};
}

Response error_response(int status) {
    return {status, "", 0, "application/msgpack"};
}

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.rfind(prefix, 0) == 0;
}

}  // namespace

void FakeStore::listen_for(int node, Address at) {
    listeners_.push_back(std::make_unique<HttpServer>(
        loop_, at, kMaxConnections,
        [this, node](Request request) { return handle(std::move(request), node); }));
}

void FakeStore::stop() {
    for (auto& listener : listeners_) listener->stop();
}

void FakeStore::expire_leases() {
    std::vector<uint64_t> expired;
    for (const auto& [id, lease] : leases_)
        if (lease.expires_at < loop_.now()) expired.push_back(id);
    for (uint64_t id : expired) expire_lease(id);
}

void FakeStore::expire_lease(uint64_t id) {
    leases_.erase(id);
    bool deleted_any = false;
    for (auto row = rows.begin(); row != rows.end();) {
        if (row->second.lease != id) {
            ++row;
            continue;
        }
        if (!deleted_any) ++revision;
        deleted_any = true;
        events_.push_back({row->first, true, "", revision});
        row = rows.erase(row);
    }
    if (deleted_any) changed_.notify();
}

void FakeStore::renew_all_leases() {
    for (auto& [id, lease] : leases_) lease.expires_at = loop_.now() + lease.ttl;
}

std::vector<std::string> FakeStore::failed_conditions(const MsgpackValue& conditions) {
    std::vector<std::string> failed;
    for (size_t i = 0; i < conditions.size(); ++i) {
        std::string key = *conditions.at(i)["k"].text();
        auto row = rows.find(key);
        uint64_t mod_revision = row == rows.end() ? 0 : row->second.mod_revision;
        if (mod_revision != *conditions.at(i)["stamp"].count()) failed.push_back(key);
    }
    return failed;
}

bool FakeStore::invalid(const std::string& body, const MsgpackValue& conditions, const MsgpackValue& writes) {
    for (size_t i = 0; i < writes.size(); ++i) {
        MsgpackValue write = writes.at(i);
        uint64_t lease = write["mooring"].count_or(0);
        if (lease > 0 && !leases_.contains(lease)) return true;
        bool too_large = write["put"].present() && json_text(repack(write["data"])).size() > value_bytes;
        if (too_large || writes.size() > txn_ops || conditions.size() > kConditionsPerWrite * txn_ops ||
            json_text(body).size() > kMaxRequestBytes) {
            ++invalid_transactions;
            return true;
        }
    }
    return false;
}

void FakeStore::write(const MsgpackValue& writes) {
    if (writes.size() > 0) ++revision;
    for (size_t i = 0; i < writes.size(); ++i) {
        MsgpackValue write = writes.at(i);
        if (auto key = write["put"].text()) {
            rows[*key] = {repack(write["data"]), revision, write["mooring"].count_or(0)};
            events_.push_back({*key, false, rows[*key].data, revision});
        } else {
            rows.erase(*write["drop"].text());
            events_.push_back({*write["drop"].text(), true, "", revision});
        }
    }
    changed_.notify();
}

Response FakeStore::apply(const std::string& body) {
    auto message = MsgpackDocument::parse(body);
    MsgpackValue conditions = message->root()["when"];
    MsgpackValue writes = message->root()["writes"];
    std::vector<std::string> failed = failed_conditions(conditions);
    if (invalid(body, conditions, writes)) return error_response(400);
    if (transactions_to_rate_limit > 0) {
        --transactions_to_rate_limit;
        return error_response(429);
    }
    MsgpackWriter response;
    if (!failed.empty()) {
        response.map(2).key("failed").list(failed.size());
        for (const auto& key : failed) response.text(key);
        response.key("tide").count(revision);
        return packed_response(409, response);
    }
    write(writes);
    response.map(1).key("tide").count(revision);
    return packed_response(200, response);
}

Task<Response> FakeStore::handle(Request request, int node) {
    if (unresponsive) co_await loop_.sleep(kNever_s);
    if (request.path == "/changes") {
        expire_leases();
        co_return co_await watch(std::move(request), node);
    }
    if (refuses(node)) co_return empty_response(503);
    expire_leases();
    if (request.path == "/txn") {
        if (transaction_filter && !transaction_filter(request.body)) {
            held_transactions.push_back(request.body);
            co_await loop_.sleep(kNever_s);
        }
        co_return apply(request.body);
    }
    if (request.path == "/leases") co_return grant_lease(request);
    if (starts_with(request.path, "/leases/")) co_return renew_or_revoke_lease(request);
    if (request.path == "/keys") co_return list(request);
    co_return read(request.path.substr(std::string("/keys/").size()));
}

Response FakeStore::grant_lease(const Request& request) {
    constexpr double kMilliseconds = 1000;
    Seconds ttl =
        static_cast<double>(*MsgpackDocument::parse(request.body)->root()["ttl_ms"].count()) / kMilliseconds;
    leases_[next_lease_] = {ttl, loop_.now() + ttl};
    MsgpackWriter response;
    response.map(1).key("mooring").count(next_lease_++);
    return packed_response(200, response);
}

Response FakeStore::renew_or_revoke_lease(const Request& request) {
    uint64_t id = std::stoull(request.path.substr(std::string("/leases/").size()));
    auto lease = leases_.find(id);
    if (lease == leases_.end()) return empty_response(404);
    if (request.method == "DELETE") {
        expire_lease(id);
    } else {
        lease->second.expires_at = loop_.now() + lease->second.ttl;
    }
    return empty_response(200);
}

std::vector<const FakeStore::Event*> FakeStore::events_since(const std::string& prefix,
                                                             uint64_t since) const {
    std::vector<const Event*> found;
    for (const auto& event : events_)
        if (event.mod_revision > since && starts_with(event.key, prefix)) found.push_back(&event);
    return found;
}

Task<Response> FakeStore::watch(Request request, int node) {
    std::string prefix = query_value(request, "prefix");
    uint64_t from = std::stoull(query_value(request, "from"));
    if (from < compacted_revision) co_return empty_response(410);
    Seconds deadline = loop_.now() + std::stod(query_value(request, "wait_ms")) / 1000;
    while (true) {
        expire_leases();
        std::vector<const Event*> found = events_since(prefix, from);
        if (!refuses(node) && (!found.empty() || loop_.now() >= deadline)) {
            MsgpackWriter response;
            response.map(2).key("tide").count(revision).key("news").list(found.size());
            for (const Event* event : found) {
                response.map(event->deletion ? 2 : 3).key(event->deletion ? "drop" : "put").text(event->key);
                response.key("stamp").count(event->mod_revision);
                if (!event->deletion) response.key("data").raw(event->data);
            }
            co_return packed_response(200, response);
        }
        Seconds next_check = std::max(deadline, loop_.now() + kMinLeaseCheckInterval_s);
        co_await loop_.wait(changed_, std::min(next_check, loop_.now() + kLeaseCheckInterval_s));
    }
}

Response FakeStore::list(const Request& request) {
    std::string prefix = query_value(request, "prefix");
    std::string after = query_value(request, "from");
    std::vector<std::pair<std::string, const Row*>> found;
    for (const auto& [key, row] : rows)
        if (starts_with(key, prefix) && key > after) found.emplace_back(key, &row);
    bool more = found.size() > list_page_size;
    if (more) found.resize(list_page_size);
    MsgpackWriter response;
    response.map(3).key("rows").list(found.size());
    for (const auto& [key, row] : found)
        response.map(3).key("k").text(key).key("data").raw(row->data).key("stamp").count(row->mod_revision);
    response.key("has_next").flag(more).key("tide").count(revision);
    return packed_response(200, response);
}

Response FakeStore::read(const std::string& key) {
    MsgpackWriter response;
    auto found = rows.find(key);
    if (found == rows.end()) {
        response.map(1).key("tide").count(revision);
        return packed_response(404, response);
    }
    const Row& row = found->second;
    response.map(4).key("k").text(key).key("data").raw(row.data);
    response.key("stamp").count(row.mod_revision).key("mooring").count(row.lease);
    return packed_response(200, response);
}

}  // namespace hareshore::test
