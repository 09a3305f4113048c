// The other controllers: heartbeats, and reports relayed for workers that cannot reach the leader.
#pragma once
#include <functional>
#include <unordered_map>

#include "back/frames.h"
#include "config/config.h"
#include "http/message.h"

namespace hareshore {

class Siblings {
  public:
    using BeatSource = std::function<back::Beat()>;
    using RelayHandler = std::function<Task<Response>(std::string)>;

    Siblings(Loop& loop, const Config& config, BeatSource beat, RelayHandler relay);

    struct Peer {
        Sibling who;
        Seconds heard = -1e9;      // when it last said anything
        Seconds answered = -1e9;   // when the beat that it answered last was sent
        Seconds answer_at = -1e9;  // and when that answer came
        back::Beat beat{};
        uint64_t life = 0;         // of its process
        uint32_t last_beat = 0;    // the newest beat of that life
        uint32_t last_answer = 0;  // the newest of our beats that it answered
    };
    const std::vector<Peer>& peers() const { return peers_; }
    // Passes a worker's report to a sibling; nothing if it did not answer in time.
    Task<std::optional<Response>> relay(std::string label, std::string body);
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
    static void send(Link& link, std::string frame);

    Loop& loop_;
    BeatSource beat_;
    RelayHandler relay_;
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
