// A stand-in for the consensus-backed key-value store with its protocol's transactions, leases, lists and
// watches. It runs on the test's event loop and clock.
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

// The part of the state that tests set and read.
struct StoreControls {
    struct Row {
        std::string data;
        uint64_t mod_revision = 0, lease = 0;
    };
    std::map<std::string, Row> rows;
    uint64_t revision = 1;

    bool down = false;                   // every request is answered 503
    bool unresponsive = false;           // requests are never answered, as in a network partition
    std::set<int> refused_nodes;         // only these controllers get 503; their watches wait
    uint64_t compacted_revision = 0;     // watches that start before this revision get 410
    size_t list_page_size = 1000;        // maximum number of rows in a list response
    int transactions_to_rate_limit = 0;  // number of following transactions answered 429

    // Called with the body of each transaction before it is applied. If it returns false, the transaction is
    // not applied and gets no response; its body is appended to `held_transactions`.
    std::function<bool(const std::string&)> transaction_filter;
    std::vector<std::string> held_transactions;

    // Limits, where value sizes are those of the JSON form. Transactions that exceed them get 400 and are
    // counted in `invalid_transactions`.
    size_t value_bytes = SIZE_MAX, txn_ops = SIZE_MAX;
    int invalid_transactions = 0;
};

class FakeStore : public StoreControls {
  public:
    explicit FakeStore(Loop& loop) : loop_(loop), changed_(loop) {}

    // Listens on an address of its own for each controller, so that single controllers can be refused.
    void listen_for(int node, Address at);
    void stop();

    // Handles a request, also for proxies in front of the store. `node` is the controller that sent it, if
    // known.
    Task<Response> handle(Request request, int node = kAnyNode);
    // Applies a packed transaction.
    Response apply(const std::string& body);
    void expire_lease(uint64_t id);
    // Extends all leases to their full time-to-live, as the store does after an outage.
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
        Seconds ttl = 0, expires_at = 0;
    };

    [[nodiscard]] bool refuses(int node) const { return down || refused_nodes.contains(node); }
    void expire_leases();
    // Returns the keys whose modification revision differs from the one that the transaction expects.
    std::vector<std::string> failed_conditions(const MsgpackValue& conditions);
    // Returns whether the transaction exceeds a limit or refers to an expired lease.
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
