// A stand-in for the consensus-backed key-value store: transactions, leases, lists and watches, as its
// protocol has them. It runs in the test's own loop, on its clock.
#pragma once
#include <climits>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/msgpack.h"
#include "http/server.h"

namespace hareshore::test {

// What a test sets and reads.
struct StoreControls {
    struct Row {
        std::string data;
        uint64_t mod_revision = 0, lease = 0;
    };
    std::map<std::string, Row> rows;
    uint64_t revision = 1;

    bool down = false;                   // every request gets 503
    bool unresponsive = false;           // requests get no answer, as behind a cut
    std::set<int> refused_nodes;         // controllers that alone get 503; their watches wait
    uint64_t compacted_revision = 0;     // watches from before this revision get 410
    size_t list_page_size = 1000;        // most items of a list
    int transactions_to_rate_limit = 0;  // so many transactions to come exceed the rate and get 429

    // Called with each transaction's body before it is carried out; false: neither the transaction nor its
    // answer arrives, and its body is kept in `held_transactions` instead.
    std::function<bool(const std::string&)> transaction_filter;
    std::vector<std::string> held_transactions;

    // The limits, by the JSON text of a value; what exceeds them gets 400 and counts as invalid.
    size_t value_bytes = SIZE_MAX, txn_ops = SIZE_MAX;
    int invalid_transactions = 0;
};

class FakeStore : public StoreControls {
  public:
    explicit FakeStore(Loop& loop) : loop_(loop), changed_(loop) {}

    // Listens for one controller, so that it alone can be refused.
    void listen_for(int node, Address at);
    void stop();

    // Also for proxies that stand before it. `node`: the controller that asks, if it is known.
    Task<Response> handle(Request request, int node = kAnyNode);
    // Carries out a packed transaction.
    Response apply(const std::string& body);
    void expire_lease(uint64_t id);
    // All leases have their full time again, as after an outage.
    void renew_all_leases();

  private:
    static constexpr int kAnyNode = -1;
    struct Event {
        std::string key;
        bool deletion = false;
        std::string data;
        uint64_t mod_revision = 0;
    };
    struct Lease {
        Seconds ttl = 0, end = 0;
    };

    [[nodiscard]] bool refuses(int node) const { return down || refused_nodes.contains(node); }
    void expire_leases();
    // The keys whose modification revision is not the one that the transaction expects.
    std::vector<std::string> failed_conditions(const MsgpackValue& conditions);
    // Whether the transaction exceeds a limit or names a lease that has ended.
    bool invalid(const std::string& body, const MsgpackValue& conditions, const MsgpackValue& writes);
    void write(const MsgpackValue& writes);

    Response grant_lease(const Request& request);
    Response renew_or_revoke_lease(const Request& request);
    Response list(const Request& request);
    Response read(const std::string& key);
    Task<Response> watch(Request request, int node);
    std::vector<const Event*> events_since(const std::string& prefix, uint64_t since) const;

    Loop& loop_;
    Condition changed_;
    std::map<uint64_t, Lease> leases_;
    uint64_t next_lease_ = 1;
    std::vector<Event> events_;
    std::vector<std::unique_ptr<HttpServer>> listeners_;
};

}  // namespace hareshore::test
