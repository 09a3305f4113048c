#include "state/state.h"

#include "base/constants.h"

namespace hareshore {

Txn& Txn::expect(std::string key, uint64_t mod_revision) {
    when.emplace_back(std::move(key), mod_revision);
    return *this;
}
Txn& Txn::put(std::string key, std::string data, uint64_t lease) {
    writes.push_back({std::move(key), false, std::move(data), lease});
    return *this;
}
Txn& Txn::drop(std::string key) {
    writes.push_back({std::move(key), true, "", 0});
    return *this;
}

std::string Txn::pack() const {
    Packer p;
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
std::string repack(const Node& n) {
    msgpack::sbuffer b;
    if (n.raw()) {
        msgpack::pack(b, *n.raw());
    }
    return {b.data(), b.size()};
}

Reply verdict(const Answer& a) {
    if (a.status == 200) return Reply::kOk;
    if (a.status == 404) return Reply::kAbsent;
    if (a.status == 409) return Reply::kConflict;
    if (a.status == 0 && a.sent) return Reply::kUnknown;
    if (a.status == 429) return Reply::kLimited;
    if (a.status == 400) return Reply::kInvalid;
    if (a.status == 0 || a.status == 503) return Reply::kRefused;
    return Reply::kUnknown;
}

Reply garbled(Reply r) {
    return r == Reply::kOk || r == Reply::kAbsent || r == Reply::kConflict ? Reply::kUnknown : r;
}

}  // namespace

Task<Answer> StateService::call(HttpClient& on, std::string method, std::string path, std::string body,
                                Seconds timeout) {
    Answer a = co_await on.call(std::move(method), std::move(path), std::move(body), timeout);
    if (a.status == 200 || a.status == 404 || a.status == 409) last_contact_ = loop_.now();
    co_return a;
}

Task<GetResult> StateService::get(std::string key, Seconds timeout) {
    Answer a = co_await call(http_, "GET", "/keys/" + key, "", timeout);
    GetResult r;
    r.reply = verdict(a);
    if (r.reply != Reply::kOk && r.reply != Reply::kAbsent) co_return r;
    auto m = Message::parse(a.body);
    if (!m || !m->root().is_map()) {
        r.reply = Reply::kUnknown;
        co_return r;
    }
    Node root = m->root();
    if (r.reply == Reply::kAbsent) {
        r.revision = root["tide"].count_or(0);
        co_return r;
    }
    r.entry.key = std::move(key);
    r.entry.mod_revision = root["stamp"].count_or(0);
    r.entry.lease = root["mooring"].count_or(0);
    r.entry.data = repack(root["data"]);
    if (r.entry.mod_revision == 0) r.reply = Reply::kUnknown;
    co_return r;
}

Task<ListResult> StateService::list(std::string prefix, std::string from, size_t page, Seconds timeout) {
    std::string path = "/keys?prefix=" + prefix + "&page=" + std::to_string(page);
    if (!from.empty()) path += "&from=" + from;
    Answer a = co_await call(http_, "GET", std::move(path), "", timeout);
    ListResult r;
    r.reply = verdict(a);
    if (r.reply != Reply::kOk) {
        r.reply = garbled(r.reply);
        co_return r;
    }
    auto m = Message::parse(a.body);
    Node root = m ? m->root() : Node();
    auto more = root["has_next"].flag();
    auto revision = root["tide"].count();
    if (!more || !revision || !root["rows"].is_list()) {
        r.reply = Reply::kUnknown;
        co_return r;
    }
    r.more = *more;
    r.revision = *revision;
    for (size_t i = 0; i < root["rows"].size(); ++i) {
        Node row = root["rows"].at(i);
        Entry e;
        e.key = row["k"].text_or("");
        e.mod_revision = row["stamp"].count_or(0);
        e.data = repack(row["data"]);
        r.entries.push_back(std::move(e));
    }
    co_return r;
}

Task<TxnResult> StateService::commit(Txn txn, Seconds timeout) {
    std::string body = txn.pack();
    Answer a = co_await call(http_, "POST", "/txn", std::move(body), timeout);
    TxnResult r;
    r.reply = verdict(a);
    if (r.reply != Reply::kOk && r.reply != Reply::kConflict) co_return r;
    auto m = Message::parse(a.body);
    auto revision = m ? m->root()["tide"].count() : std::nullopt;
    if (!revision) {
        r.reply = Reply::kUnknown;
        co_return r;
    }
    r.revision = *revision;
    Node failed = m->root()["failed"];
    for (size_t i = 0; i < failed.size(); ++i) r.failed.push_back(failed.at(i).text_or(""));
    co_return r;
}

Task<LeaseResult> StateService::grant(Seconds ttl, Seconds timeout) {
    Packer p;
    p.map(1).key("ttl_ms").count(static_cast<uint64_t>(ttl * 1000));
    Answer a = co_await call(leases_, "POST", "/leases", p.take(), timeout);
    LeaseResult r;
    r.reply = verdict(a);
    if (r.reply == Reply::kOk) {
        auto m = Message::parse(a.body);
        r.lease = m ? m->root()["mooring"].count_or(0) : 0;
        if (r.lease == 0) r.reply = Reply::kUnknown;
    }
    co_return r;
}

Task<Reply> StateService::renew(uint64_t lease, Seconds timeout) {
    Answer a = co_await call(leases_, "POST", "/leases/" + std::to_string(lease) + "/renew", "", timeout);
    co_return verdict(a);
}

Task<Reply> StateService::revoke(uint64_t lease, Seconds timeout) {
    Answer a = co_await call(leases_, "DELETE", "/leases/" + std::to_string(lease), "", timeout);
    co_return verdict(a);
}

Task<ChangesResult> StateService::changes(std::string prefix, uint64_t from, Seconds wait) {
    std::string path = "/changes?prefix=" + prefix + "&from=" + std::to_string(from) +
                       "&wait_ms=" + std::to_string(static_cast<int>(wait * 1000));
    Answer a = co_await watches_.call("GET", std::move(path), "", wait + constants::kStateCall_s);
    ChangesResult r;
    // An answer has no size limit: one that we do not take would come again and again, so that the keys are
    // read anew, in pages.
    bool again = a.status == 410 || a.too_large;
    r.reply = again ? Reply::kAbsent : verdict(a);
    if (!again && r.reply != Reply::kOk) {
        r.reply = garbled(r.reply);
        co_return r;
    }
    last_contact_ = loop_.now();
    if (r.reply == Reply::kAbsent) co_return r;
    auto m = Message::parse(a.body);
    Node root = m ? m->root() : Node();
    auto revision = root["tide"].count();
    if (!revision) {
        r.reply = Reply::kUnknown;
        co_return r;
    }
    r.revision = *revision;
    for (size_t i = 0; i < root["news"].size(); ++i) {
        Node n = root["news"].at(i);
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
