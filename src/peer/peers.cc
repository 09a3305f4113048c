#include "peer/peers.h"

#include <unistd.h>

#include <cstring>
#include <random>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

uint64_t draw_incarnation() {
    std::random_device source;
    return (static_cast<uint64_t>(source()) << 32) | source();
}

}  // namespace

struct Peers::Link {
    Link(Loop& loop, std::unique_ptr<Stream> s) : stream(std::move(s)), more(loop) {}
    std::unique_ptr<Stream> stream;
    std::string outbox;
    uint32_t cancellations_sent =
        0;  // of the cancellations told here, how many this link was sent or need not be sent
    Condition more;
    bool open = true;
    void close() {
        open = false;
        more.notify();
    }
};

struct Peers::Call {
    explicit Call(Loop& loop) : done(loop) {}
    Condition done;
    std::optional<Response> answer;
};

Peers::Peers(Loop& loop, const Config& config, HeartbeatSource heartbeat, RelayHandler relay,
             CancellationHandler cancelled)
    : loop_(loop),
      heartbeat_(std::move(heartbeat)),
      relay_(std::move(relay)),
      on_cancellation_(std::move(cancelled)),
      links_(config.peers.size()),
      incarnation_(draw_incarnation()),
      most_routines_(std::max(constants::kMinConcurrentPeerRequests, config.sockets)),
      most_outbox_(std::max(constants::kMinPeerSendQueueBytes,
                            config.sockets * constants::kPeerSendQueueBytesPerSocket)),
      news_(loop),
      listener_(loop, listen_on(config.peer_listen)),
      scope_(loop) {
    for (const auto& s : config.peers) {
        Peer p;
        p.who = s;
        peers_.push_back(p);
    }
    scope_.spawn(accept_all(), "peer accept", Priority::kUrgent);
    for (size_t i = 0; i < peers_.size(); ++i) scope_.spawn(dial(i), "peer link", Priority::kUrgent);
}

void Peers::send(Link& link, const std::string& frame) const {
    // A link that does not drain is cut off; nothing on it is worth keeping for later.
    if (!link.open || link.outbox.size() + frame.size() > most_outbox_) return link.close();
    link.outbox += frame;
    link.more.notify();
}

// An answer counts only for the very heartbeat that it belongs to, from this process's incarnation; and once.
// A heartbeat that comes by itself counts if it is newer than the last one of the incarnation that the peer's
// answers show. Copies that come late would else show a peer that is gone as present, or as leading.
void Peers::heard(const peer::Frame& frame, const peer::Heartbeat& heartbeat) {
    for (auto& p : peers_) {
        if (p.who.label != peer::label_of(heartbeat)) continue;
        Seconds now = loop_.now();
        if (frame.kind == peer::Kind::kHeartbeatAnswer) {
            if (frame.incarnation != incarnation_ || frame.id <= p.last_answer || frame.id >= next_heartbeat_)
                return;
            p.last_answer = frame.id;
            if (heartbeat.incarnation != p.incarnation) p.last_heartbeat = 0;
            p.answered = static_cast<double>(heartbeat.asked_us) / 1e6;
            p.answer_at = now;
            // Taken from the very answer: with the silence of a later heartbeat, which nobody asked for, an
            // earlier answer would seem to reach further back than its sender's word.
            p.no_cancellation_since = now - heartbeat.quiet_ms / 1000.0 * (1 - constants::kClockDriftRate);
            bool says = peer::extended(heartbeat) && heartbeat.record_format >= peer::kPeerFormat;
            if (!says) {
                p.complete_since = 1e18;
            } else if (heartbeat.incarnation != p.announced_incarnation ||
                       heartbeat.cancellations_announced != p.cancellations_known || p.complete_since > now) {
                // Its process is new to us, or something is missing: from here on nothing will be.
                p.complete_since = now;
                p.cancellations_known = heartbeat.cancellations_announced;
                p.announced_incarnation = heartbeat.incarnation;
            }
        } else {
            bool known = heartbeat.incarnation == p.incarnation;
            if (known ? frame.id <= p.last_heartbeat : now - p.answer_at < constants::kPeerHeartbeatTimeout_s)
                return;
            p.last_heartbeat = frame.id;
        }
        if (peer::extended(heartbeat)) p.record_format = std::max(p.record_format, heartbeat.record_format);
        p.incarnation = heartbeat.incarnation;
        p.heard = now;
        p.heartbeat = heartbeat;
    }
    news_.notify();
}

Task<void> Peers::dial(size_t peer) {
    while (true) {
        auto stream =
            co_await connect_to(loop_, peers_[peer].who.addr, loop_.now() + constants::kConnectTimeout_s);
        if (stream) {
            auto link = std::make_shared<Link>(loop_, std::move(stream));
            links_[peer] = link;
            scope_.spawn(write_all(link), "peer writer", Priority::kUrgent);
            scope_.spawn(read_all(link), "peer reader", Priority::kUrgent);
            while (link->open) {
                peer::Heartbeat b = heartbeat_now();
                b.asked_us = static_cast<uint64_t>(loop_.now() * 1e6);
                send(*link, peer::pack(peer::Kind::kHeartbeat, next_heartbeat_++, incarnation_, b));
                co_await loop_.sleep(constants::kPeerHeartbeatInterval_s);
            }
            links_[peer] = nullptr;
        }
        co_await loop_.sleep(constants::kPeerHeartbeatInterval_s);
    }
}

peer::Heartbeat Peers::heartbeat_now() {
    peer::Heartbeat b = heartbeat_();
    b.incarnation = incarnation_;
    if (peer::extended(b)) {
        b.record_format = peer::kPeerFormat;
        b.cancellations_announced = announced_count_;
    }
    return b;
}

void Peers::announce_cancellation(const std::string& id) {
    // Who knows it from the first time need not hear it again.
    if (!announced_ids_.insert(id).second) return;
    announced_.push_back(id);
    ++announced_count_;
    if (announced_.size() > constants::kCancellationAnnouncementsKept) {
        announced_ids_.erase(announced_.front());
        announced_.pop_front();
    }
}

void Peers::send_cancellations(Link& link) {
    if (link.cancellations_sent == announced_count_) return;
    uint32_t kept_from = announced_count_ - static_cast<uint32_t>(announced_.size());
    peer::CancellationNotice w{incarnation_, std::max(link.cancellations_sent, kept_from), {}};
    w.jobs.assign(announced_.begin() + (w.first - kept_from), announced_.end());
    link.cancellations_sent = announced_count_;
    send(link, peer::pack(peer::Kind::kCancellationNotice, 0, incarnation_, peer::pack(w)));
}

// A new connection begins with all that its sender keeps, so that nothing is missing when an older one broke.
void Peers::receive_cancellations(const peer::CancellationNotice& w) {
    for (auto& p : peers_) {
        if (p.announced_incarnation != w.incarnation || p.complete_since > loop_.now()) continue;
        if (w.first > p.cancellations_known) return;  // the answer that follows shows that some are missing
        for (size_t i = p.cancellations_known - w.first; i < w.jobs.size(); ++i) {
            ++p.cancellations_known;
            on_cancellation_(w.jobs[i]);
        }
    }
}

Task<void> Peers::accept_all() {
    while (true) {
        tl::expected<int, AcceptError> fd = accept_connection(listener_.fd());
        if (!fd && fd.error() == AcceptError::kNoneWaiting) {
            co_await loop_.readable(listener_, -1);
        } else if (!fd) {
            co_await loop_.sleep(constants::kAcceptRetryPause_s);
        } else if (scope_.size() > most_routines_) {
            close(*fd);
        } else {
            scope_.spawn(serve(*fd), "peer connection", Priority::kUrgent);
        }
    }
}

Task<void> Peers::serve(int fd) {
    auto link = std::make_shared<Link>(loop_, std::make_unique<Stream>(loop_, fd));
    scope_.spawn(write_all(link), "peer writer", Priority::kUrgent);
    co_await read_all(link);
}

Task<void> Peers::write_all(std::shared_ptr<Link> link) {
    while (link->open) {
        if (link->outbox.empty()) {
            co_await loop_.wait(link->more, -1);
            continue;
        }
        std::string out = std::exchange(link->outbox, {});
        if (!co_await link->stream->write(out, loop_.now() + constants::kPeerHeartbeatTimeout_s))
            link->close();
    }
}

Task<void> Peers::read_all(std::shared_ptr<Link> link) {
    peer::Reader reader;
    while (link->open) {
        Stream::Read got = co_await link->stream->read(loop_.now() + constants::kPeerHeartbeatTimeout_s);
        if (!got.ok()) break;
        reader.feed(got.bytes);
        while (auto f = reader.next()) {
            if (f->kind == peer::Kind::kHeartbeat || f->kind == peer::Kind::kHeartbeatAnswer) {
                auto heartbeat = peer::unpack_heartbeat(f->payload);
                if (!heartbeat) {
                    link->close();
                    break;
                }
                heard(*f, *heartbeat);
                if (f->kind == peer::Kind::kHeartbeat) {
                    if (peer::extended(*heartbeat) && heartbeat->record_format >= peer::kPeerFormat)
                        send_cancellations(*link);
                    peer::Heartbeat mine = heartbeat_now();
                    mine.asked_us = heartbeat->asked_us;
                    send(*link, peer::pack(peer::Kind::kHeartbeatAnswer, f->id, f->incarnation, mine));
                }
            } else if (f->kind == peer::Kind::kCancellationNotice) {
                auto cancelled = peer::unpack_cancellation_notice(f->payload);
                if (!cancelled) {
                    link->close();
                    break;
                }
                receive_cancellations(*cancelled);
            } else if (f->kind == peer::Kind::kRelay) {
                if (scope_.size() <= most_routines_)
                    scope_.spawn(answer_relay(link, f->id, f->incarnation, std::move(f->payload)),
                                 "relayed report");
            } else if (f->payload.size() >= sizeof(peer::RelayAnswerHead)) {
                // The answer to an earlier process's relay would give one worker another's commands.
                auto it = f->incarnation == incarnation_ ? calls_.find(f->id) : calls_.end();
                if (it == calls_.end()) continue;  // or too late
                peer::RelayAnswerHead h{};
                std::memcpy(&h, f->payload.data(), sizeof h);
                it->second->answer =
                    Response{h.status, f->payload.substr(sizeof h), 0, "application/msgpack"};
                it->second->done.notify();
            }
        }
        if (reader.bad()) {
            log::info("peer_connection_closed", {{"reason", "not_the_frame_protocol"}});
            break;
        }
    }
    link->close();
}

Task<void> Peers::answer_relay(std::shared_ptr<Link> link, uint32_t id, uint64_t incarnation,
                               std::string body) {
    Response r = co_await relay_(std::move(body));
    peer::RelayAnswerHead h{static_cast<uint16_t>(r.status)};
    std::string payload(reinterpret_cast<const char*>(&h), sizeof h);
    payload += r.body;
    send(*link, peer::pack(peer::Kind::kRelayAnswer, id, incarnation, payload));
}

Task<std::optional<Response>> Peers::relay(std::string label, std::string body) {
    for (size_t i = 0; i < peers_.size(); ++i) {
        if (peers_[i].who.label != label || !links_[i] || !links_[i]->open) continue;
        uint32_t id = next_call_++;
        auto call = std::make_shared<Call>(loop_);
        calls_[id] = call;
        struct Forget {
            std::unordered_map<uint32_t, std::shared_ptr<Call>>& calls;
            uint32_t id;
            ~Forget() { calls.erase(id); }
        } forget{calls_, id};
        send(*links_[i], peer::pack(peer::Kind::kRelay, id, incarnation_, body));
        Seconds until = loop_.now() + constants::kRelayTimeout_s;
        while (!call->answer)
            if (co_await loop_.wait(call->done, until) == WakeReason::kTimeout) break;
        co_return call->answer;
    }
    co_return std::nullopt;
}

}  // namespace hareshore
