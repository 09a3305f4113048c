#include "state/store_client.h"

#include "base/constants.h"

namespace hareshore {

Transaction& Transaction::expect(std::string key, uint64_t mod_revision) {
    when.emplace_back(std::move(key), mod_revision);
    return *this;
}
Transaction& Transaction::put(std::string key, std::string data, uint64_t lease) {
    writes.push_back({std::move(key), false, std::move(data), lease});
    return *this;
}
Transaction& Transaction::drop(std::string key) {
    writes.push_back({std::move(key), true, "", 0});
    return *this;
}

std::string Transaction::pack() const {
    MsgpackWriter p;
    p.map(writes.empty() ? 1 : 2).key("when").list(when.size());
    for (const auto& [k, mod_revision] : when) p.map(2).key("k").text(k).key("stamp").count(mod_revision);
    if (!writes.empty()) {
        p.key("writes").list(writes.size());
        for (const auto& w : writes) {
            if (w.drop) {
                p.map(1).key("drop").text(w.key);
            } else {
                p.map(w.lease ? 3 : 2).key("put").text(w.key).key("data").raw(w.data);
                if (w.lease) p.key("mooring").count(w.lease);
            }
        }
    }
    return p.take();
}

namespace {

// Re-packs one value of a message, so that it outlives it.
std::string repack(const MsgpackValue& n) {
    msgpack::sbuffer b;
    if (n.raw()) {
        msgpack::pack(b, *n.raw());
    }
    return {b.data(), b.size()};
}

StoreStatus verdict(const CallResult& a) {
    if (a.status == 200) return StoreStatus::kOk;
    if (a.status == 404) return StoreStatus::kNotFound;
    if (a.status == 409) return StoreStatus::kConflict;
    if (a.status == 0 && a.maybe_executed) return StoreStatus::kUnknown;
    if (a.status == 429) return StoreStatus::kRateLimited;
    if (a.status == 400) return StoreStatus::kInvalid;
    if (a.status == 0 || a.status == 503) return StoreStatus::kNotExecuted;
    return StoreStatus::kUnknown;
}

StoreStatus garbled(StoreStatus r) {
    return r == StoreStatus::kOk || r == StoreStatus::kNotFound || r == StoreStatus::kConflict
               ? StoreStatus::kUnknown
               : r;
}

}  // namespace

Task<CallResult> StoreClient::call(HttpClient& on, std::string method, std::string path, std::string body,
                                   Seconds timeout) {
    CallResult a = co_await on.call(std::move(method), std::move(path), std::move(body), timeout);
    if (a.status == 200 || a.status == 404 || a.status == 409) last_contact_ = loop_.now();
    co_return a;
}

Task<GetResult> StoreClient::get(std::string key, Seconds timeout) {
    CallResult a = co_await call(http_, "GET", "/keys/" + key, "", timeout);
    GetResult r;
    r.status = verdict(a);
    if (r.status != StoreStatus::kOk && r.status != StoreStatus::kNotFound) co_return r;
    auto m = MsgpackDocument::parse(a.body);
    if (!m || !m->root().is_map()) {
        r.status = StoreStatus::kUnknown;
        co_return r;
    }
    MsgpackValue root = m->root();
    if (r.status == StoreStatus::kNotFound) {
        r.revision = root["tide"].count_or(0);
        co_return r;
    }
    r.entry.key = std::move(key);
    r.entry.mod_revision = root["stamp"].count_or(0);
    r.entry.lease = root["mooring"].count_or(0);
    r.entry.data = repack(root["data"]);
    if (r.entry.mod_revision == 0) r.status = StoreStatus::kUnknown;
    co_return r;
}

Task<ListResult> StoreClient::list(std::string prefix, std::string from, size_t page, Seconds timeout) {
    std::string path = "/keys?prefix=" + prefix + "&page=" + std::to_string(page);
    if (!from.empty()) path += "&from=" + from;
    CallResult a = co_await call(http_, "GET", std::move(path), "", timeout);
    ListResult r;
    r.status = verdict(a);
    if (r.status != StoreStatus::kOk) {
        r.status = garbled(r.status);
        co_return r;
    }
    auto m = MsgpackDocument::parse(a.body);
    MsgpackValue root = m ? m->root() : MsgpackValue();
    auto more = root["has_next"].flag();
    auto revision = root["tide"].count();
    if (!more || !revision || !root["rows"].is_list()) {
        r.status = StoreStatus::kUnknown;
        co_return r;
    }
    r.more = *more;
    r.revision = *revision;
    for (size_t i = 0; i < root["rows"].size(); ++i) {
        MsgpackValue row = root["rows"].at(i);
        Entry e;
        e.key = row["k"].text_or("");
        e.mod_revision = row["stamp"].count_or(0);
        e.data = repack(row["data"]);
        r.entries.push_back(std::move(e));
    }
    co_return r;
}

Task<TransactionResult> StoreClient::commit(Transaction txn, Seconds timeout) {
    std::string body = txn.pack();
    CallResult a = co_await call(http_, "POST", "/txn", std::move(body), timeout);
    TransactionResult r;
    r.status = verdict(a);
    if (r.status != StoreStatus::kOk && r.status != StoreStatus::kConflict) co_return r;
    auto m = MsgpackDocument::parse(a.body);
    auto revision = m ? m->root()["tide"].count() : std::nullopt;
    if (!revision) {
        r.status = StoreStatus::kUnknown;
        co_return r;
    }
    r.revision = *revision;
    MsgpackValue failed = m->root()["failed"];
    for (size_t i = 0; i < failed.size(); ++i) r.failed.push_back(failed.at(i).text_or(""));
    co_return r;
}

Task<LeaseResult> StoreClient::grant(Seconds ttl, Seconds timeout) {
    MsgpackWriter p;
    p.map(1).key("ttl_ms").count(static_cast<uint64_t>(ttl * 1000));
    CallResult a = co_await call(leases_, "POST", "/leases", p.take(), timeout);
    LeaseResult r;
    r.status = verdict(a);
    if (r.status == StoreStatus::kOk) {
        auto m = MsgpackDocument::parse(a.body);
        r.lease = m ? m->root()["mooring"].count_or(0) : 0;
        if (r.lease == 0) r.status = StoreStatus::kUnknown;
    }
    co_return r;
}

Task<StoreStatus> StoreClient::renew(uint64_t lease, Seconds timeout) {
    CallResult a = co_await call(leases_, "POST", "/leases/" + std::to_string(lease) + "/renew", "", timeout);
    co_return verdict(a);
}

Task<StoreStatus> StoreClient::revoke(uint64_t lease, Seconds timeout) {
    CallResult a = co_await call(leases_, "DELETE", "/leases/" + std::to_string(lease), "", timeout);
    co_return verdict(a);
}

Task<ChangesResult> StoreClient::changes(std::string prefix, uint64_t from, Seconds wait) {
    std::string path = "/changes?prefix=" + prefix + "&from=" + std::to_string(from) +
                       "&wait_ms=" + std::to_string(static_cast<int>(wait * 1000));
    CallResult a = co_await watches_.call("GET", std::move(path), "", wait + constants::kStoreCallTimeout_s);
    ChangesResult r;
    // An answer has no size limit: one that we do not take would come again and again, so that the keys are
    // read anew, in pages.
    bool again = a.status == 410 || a.response_too_large;
    r.status = again ? StoreStatus::kNotFound : verdict(a);
    if (!again && r.status != StoreStatus::kOk) {
        r.status = garbled(r.status);
        co_return r;
    }
    last_contact_ = loop_.now();
    if (r.status == StoreStatus::kNotFound) co_return r;
    auto m = MsgpackDocument::parse(a.body);
    MsgpackValue root = m ? m->root() : MsgpackValue();
    auto revision = root["tide"].count();
    if (!revision) {
        r.status = StoreStatus::kUnknown;
        co_return r;
    }
    r.revision = *revision;
    for (size_t i = 0; i < root["news"].size(); ++i) {
        MsgpackValue n = root["news"].at(i);
        Change c;
        c.mod_revision = n["stamp"].count_or(0);
        if (auto k = n["drop"].text()) {
            c.key = *k;
            c.dropped = true;
        } else {
            c.key = n["put"].text_or("");
            c.data = repack(n["data"]);
        }
        r.changes.push_back(std::move(c));
    }
    co_return r;
}

}  // namespace hareshore
