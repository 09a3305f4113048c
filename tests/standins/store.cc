#include "standins/store.h"

#include <algorithm>

#include "http/msgpack.h"
#include "standins/messages.h"

namespace hareshore::test {

namespace {

constexpr size_t kMostConnections = 100;
constexpr Seconds kNever_s = 1e6;
constexpr Seconds kWatchStep_s = 0.5;  // a watch looks for ended leases this often
constexpr Seconds kLeastWatchStep_s = 0.1;
constexpr size_t kMostRequestBytes = size_t{64} * 1024;
constexpr size_t kConditionsPerWrite = 4;  // as many times more conditions than writes are allowed

Response no_body(int status) {
    return {status, "", 0, ""};
}

Response refusal(int status) {
    return {status, "", 0, "application/msgpack"};
}

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.rfind(prefix, 0) == 0;
}

}  // namespace

void FakeStore::listen_for(int node, Address at) {
    listeners_.push_back(std::make_unique<HttpServer>(
        loop_, at, kMostConnections,
        [this, node](Request request) { return handle(std::move(request), node); }));
}

void FakeStore::stop() {
    for (auto& listener : listeners_) listener->stop();
}

void FakeStore::expire_leases() {
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_)
        if (lease.end < loop_.now()) ended.push_back(id);
    for (uint64_t id : ended) expire_lease(id);
}

void FakeStore::expire_lease(uint64_t id) {
    leases_.erase(id);
    bool any = false;
    for (auto row = rows.begin(); row != rows.end();) {
        if (row->second.lease != id) {
            ++row;
            continue;
        }
        if (!any) ++revision;
        any = true;
        events_.push_back({row->first, true, "", revision});
        row = rows.erase(row);
    }
    if (any) changed_.notify();
}

void FakeStore::renew_all_leases() {
    for (auto& [id, lease] : leases_) lease.end = loop_.now() + lease.ttl;
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
        bool large = write["put"].present() && json_text(repack(write["data"])).size() > value_bytes;
        if (large || writes.size() > txn_ops || conditions.size() > kConditionsPerWrite * txn_ops ||
            json_text(body).size() > kMostRequestBytes) {
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
    if (invalid(body, conditions, writes)) return refusal(400);
    if (transactions_to_rate_limit > 0) {
        --transactions_to_rate_limit;
        return refusal(429);
    }
    MsgpackWriter answer;
    if (!failed.empty()) {
        answer.map(2).key("failed").list(failed.size());
        for (const auto& key : failed) answer.text(key);
        answer.key("tide").count(revision);
        return packed_response(409, answer);
    }
    write(writes);
    answer.map(1).key("tide").count(revision);
    return packed_response(200, answer);
}

Task<Response> FakeStore::handle(Request request, int node) {
    if (unresponsive) co_await loop_.sleep(kNever_s);
    if (request.path == "/changes") {
        expire_leases();
        co_return co_await watch(std::move(request), node);
    }
    if (refuses(node)) co_return no_body(503);
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
    MsgpackWriter answer;
    answer.map(1).key("mooring").count(next_lease_++);
    return packed_response(200, answer);
}

Response FakeStore::renew_or_revoke_lease(const Request& request) {
    uint64_t id = std::stoull(request.path.substr(std::string("/leases/").size()));
    auto lease = leases_.find(id);
    if (lease == leases_.end()) return no_body(404);
    if (request.method == "DELETE") {
        expire_lease(id);
    } else {
        lease->second.end = loop_.now() + lease->second.ttl;
    }
    return no_body(200);
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
    if (from < compacted_revision) co_return no_body(410);
    Seconds end = loop_.now() + std::stod(query_value(request, "wait_ms")) / 1000;
    while (true) {
        expire_leases();
        std::vector<const Event*> found = events_since(prefix, from);
        if (!refuses(node) && (!found.empty() || loop_.now() >= end)) {
            MsgpackWriter answer;
            answer.map(2).key("tide").count(revision).key("news").list(found.size());
            for (const Event* event : found) {
                answer.map(event->deletion ? 2 : 3).key(event->deletion ? "drop" : "put").text(event->key);
                answer.key("stamp").count(event->mod_revision);
                if (!event->deletion) answer.key("data").raw(event->data);
            }
            co_return packed_response(200, answer);
        }
        Seconds next_look = std::max(end, loop_.now() + kLeastWatchStep_s);
        co_await loop_.wait(changed_, std::min(next_look, loop_.now() + kWatchStep_s));
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
    MsgpackWriter answer;
    answer.map(3).key("rows").list(found.size());
    for (const auto& [key, row] : found)
        answer.map(3).key("k").text(key).key("data").raw(row->data).key("stamp").count(row->mod_revision);
    answer.key("has_next").flag(more).key("tide").count(revision);
    return packed_response(200, answer);
}

Response FakeStore::read(const std::string& key) {
    MsgpackWriter answer;
    auto found = rows.find(key);
    if (found == rows.end()) {
        answer.map(1).key("tide").count(revision);
        return packed_response(404, answer);
    }
    const Row& row = found->second;
    answer.map(4).key("k").text(key).key("data").raw(row.data);
    answer.key("stamp").count(row.mod_revision).key("mooring").count(row.lease);
    return packed_response(200, answer);
}

}  // namespace hareshore::test
