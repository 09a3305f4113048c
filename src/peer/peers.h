// The other controllers: heartbeats, the cancellations that were told to users, and reports relayed for
// workers that cannot reach the leader.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <unordered_map>

#include "config/config.h"
#include "http/message.h"
#include "peer/frames.h"

namespace hareshore {

class Peers {
  public:
    using HeartbeatSource = std::function<peer::Heartbeat()>;
    using RelayHandler = std::function<Task<Response>(std::string)>;
    // A peer has told a user that this job is cancelled.
    using CancellationHandler = std::function<void(const std::string&)>;

    Peers(Loop& loop, const Config& config, HeartbeatSource heartbeat, RelayHandler relay,
          CancellationHandler cancelled);

    struct Peer {
        PeerAddress who;
        Seconds heard = -1e9;      // when it last said anything
        Seconds answered = -1e9;   // when the heartbeat that it answered last was sent
        Seconds answer_at = -1e9;  // and when that answer came
        peer::Heartbeat heartbeat{};
        uint64_t incarnation = 0;     // of its process
        uint32_t last_heartbeat = 0;  // the newest heartbeat of that incarnation
        uint32_t last_answer = 0;     // the newest of our heartbeats that it answered

        // What its answers say of cancellations. The heartbeats that come by themselves say the same, but
        // their age is not known, and they overtake what is sent ahead of an answer.
        Seconds no_cancellation_since = 1e18;  // it has told nobody of one from then to the answer
        uint64_t announced_incarnation = 0;  // of its process at the last answer; `incarnation` may be newer
        uint32_t cancellations_known =
            0;  // how many of those that its process told of we know, or need not know
        Seconds complete_since = 1e18;  // we know of all that it told of from then to the answer
        uint8_t record_format =
            0;  // the newest format that it ever said it knows: nobody goes back to an older
        // Whether all that it told of from `since` to its last answer is known here.
        bool covers_since(Seconds since) const {
            return std::min(no_cancellation_since, complete_since) <= since;
        }
    };
    const std::vector<Peer>& peers() const { return peers_; }
    // Passes a worker's report to a peer; nothing if it did not answer in time.
    Task<std::optional<Response>> relay(std::string label, std::string body);
    // Before a user is told that the job is cancelled: the peers will be told, too.
    void announce_cancellation(const std::string& id);
    Condition& news() { return news_; }  // a heartbeat came
    void stop() { scope_.cancel(); }

  private:
    struct Link;
    struct Call;
    Task<void> dial(size_t peer);
    Task<void> accept_all();
    Task<void> serve(int fd);
    Task<void> read_all(std::shared_ptr<Link> link);
    Task<void> write_all(std::shared_ptr<Link> link);
    Task<void> answer_relay(std::shared_ptr<Link> link, uint32_t id, uint64_t incarnation, std::string body);
    void heard(const peer::Frame& frame, const peer::Heartbeat& heartbeat);
    peer::Heartbeat heartbeat_now();
    void send_cancellations(Link& link);
    void receive_cancellations(const peer::CancellationNotice& w);
    void send(Link& link, const std::string& frame) const;

    Loop& loop_;
    HeartbeatSource heartbeat_;
    RelayHandler relay_;
    CancellationHandler on_cancellation_;
    std::deque<std::string> announced_;    // the last jobs that users were told are cancelled
    std::set<std::string> announced_ids_;  // the same
    uint32_t announced_count_ = 0;         // of all, also those that announced_ has no more
    std::vector<Peer> peers_;
    std::vector<std::shared_ptr<Link>> links_;
    std::unordered_map<uint32_t, std::shared_ptr<Call>> calls_;
    uint32_t next_call_ = 1, next_heartbeat_ = 1;
    const uint64_t incarnation_;
    const size_t most_routines_;
    const size_t most_outbox_;  // bytes waiting on a link
    Condition news_;
    FileDescriptor listener_;
    TaskGroup scope_;
};

}  // namespace hareshore
