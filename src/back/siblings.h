// The other controllers: heartbeats, the withdrawals that were told to users, and reports relayed for workers
// that cannot reach the leader.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <unordered_map>

#include "back/frames.h"
#include "config/config.h"
#include "http/message.h"

namespace hareshore {

class Siblings {
  public:
    using BeatSource = std::function<back::Beat()>;
    using RelayHandler = std::function<Task<Response>(std::string)>;
    // A sibling has told a user that this job is withdrawn.
    using WithdrawnHandler = std::function<void(const std::string&)>;

    Siblings(Loop& loop, const Config& config, BeatSource beat, RelayHandler relay,
             WithdrawnHandler withdrawn);

    struct Peer {
        Sibling who;
        Seconds heard = -1e9;      // when it last said anything
        Seconds answered = -1e9;   // when the beat that it answered last was sent
        Seconds answer_at = -1e9;  // and when that answer came
        back::Beat beat{};
        uint64_t life = 0;         // of its process
        uint32_t last_beat = 0;    // the newest beat of that life
        uint32_t last_answer = 0;  // the newest of our beats that it answered

        // What its answers say of withdrawals. The beats that come by themselves say the same, but their
        // age is not known, and they overtake what is sent ahead of an answer.
        Seconds quiet_since = 1e18;  // it has told nobody of one from then to the answer
        uint64_t told_life = 0;      // of its process at the last answer; `life` may be newer
        uint32_t told = 0;           // how many of those that its process told of we know, or need not know
        Seconds whole_since = 1e18;  // we know of all that it told of from then to the answer
        uint8_t form = 0;  // the newest form that it ever said it knows: nobody goes back to an older
        // Whether all that it told of from `since` to its last answer is known here.
        bool speaks_from(Seconds since) const { return std::min(quiet_since, whole_since) <= since; }
    };
    const std::vector<Peer>& peers() const { return peers_; }
    // Passes a worker's report to a sibling; nothing if it did not answer in time.
    Task<std::optional<Response>> relay(std::string label, std::string body);
    // Before a user is told that the job is withdrawn: the siblings will be told, too.
    void tell_withdrawn(const std::string& id);
    Signal& news() { return news_; }  // a beat came
    void stop() { scope_.cancel(); }

  private:
    struct Link;
    struct Call;
    Task<void> dial(size_t peer);
    Task<void> accept_all();
    Task<void> serve(int fd);
    Task<void> read_all(std::shared_ptr<Link> link, size_t peer);
    Task<void> write_all(std::shared_ptr<Link> link);
    Task<void> answer_relay(std::shared_ptr<Link> link, uint32_t id, uint64_t life, std::string body);
    void heard(const back::Frame& frame, const back::Beat& beat);
    back::Beat beat_now();
    void send_withdrawn(Link& link);
    void take_withdrawn(const back::Withdrawn& w);
    static void send(Link& link, std::string frame);

    Loop& loop_;
    BeatSource beat_;
    RelayHandler relay_;
    WithdrawnHandler withdrawn_;
    std::deque<std::string> told_;    // the last jobs that users were told are withdrawn
    std::set<std::string> told_ids_;  // the same
    uint32_t told_count_ = 0;         // of all, also those that told_ has no more
    std::vector<Peer> peers_;
    std::vector<std::shared_ptr<Link>> links_;
    std::unordered_map<uint32_t, std::shared_ptr<Call>> calls_;
    uint32_t next_call_ = 1, next_beat_ = 1;
    const uint64_t life_;
    const size_t most_routines_;
    Signal news_;
    File listener_;
    Scope scope_;
};

}  // namespace hareshore
