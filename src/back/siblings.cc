#include "back/siblings.h"

#include <unistd.h>

#include <cstring>
#include <random>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

uint64_t draw_life() {
    std::random_device source;
    return (static_cast<uint64_t>(source()) << 32) | source();
}

}  // namespace

struct Siblings::Link {
    Link(Loop& loop, std::unique_ptr<Stream> s) : stream(std::move(s)), more(loop) {}
    std::unique_ptr<Stream> stream;
    std::string outbox;
    uint32_t told = 0;  // of the withdrawals told here, how many this link was sent or need not be sent
    Signal more;
    bool open = true;
    void close() {
        open = false;
        more.notify();
    }
};

struct Siblings::Call {
    explicit Call(Loop& loop) : done(loop) {}
    Signal done;
    std::optional<Response> answer;
};

Siblings::Siblings(Loop& loop, const Config& config, BeatSource beat, RelayHandler relay,
                   WithdrawnHandler withdrawn)
    : loop_(loop),
      beat_(std::move(beat)),
      relay_(std::move(relay)),
      withdrawn_(std::move(withdrawn)),
      links_(config.siblings.size()),
      life_(draw_life()),
      most_routines_(std::max(constants::kBackRoutines, config.sockets)),
      news_(loop),
      listener_(loop, listen_on(config.back)),
      scope_(loop) {
    for (const auto& s : config.siblings) {
        Peer p;
        p.who = s;
        peers_.push_back(p);
    }
    scope_.spawn(accept_all(), "back accept");
    for (size_t i = 0; i < peers_.size(); ++i) scope_.spawn(dial(i), "back link");
}

void Siblings::send(Link& link, std::string frame) {
    // A link that does not drain is cut off; nothing on it is worth keeping for later.
    if (!link.open || link.outbox.size() + frame.size() > constants::kOutbox) return link.close();
    link.outbox += frame;
    link.more.notify();
}

// An answer counts only for the very beat that it belongs to, from this process's life; and once. A beat that
// comes by itself counts if it is newer than the last one of the life that the sibling's answers show. Copies
// that come late would else show a sibling that is gone as present, or as leading.
void Siblings::heard(const back::Frame& frame, const back::Beat& beat) {
    for (auto& p : peers_) {
        if (p.who.label != back::label_of(beat)) continue;
        Seconds now = loop_.now();
        if (frame.kind == back::Kind::kBeatAnswer) {
            if (frame.life != life_ || frame.id <= p.last_answer || frame.id >= next_beat_) return;
            p.last_answer = frame.id;
            if (beat.life != p.life) p.last_beat = 0;
            p.answered = static_cast<double>(beat.asked_us) / 1e6;
            p.answer_at = now;
            // Taken from the very answer: with the silence of a later beat, which nobody asked for, an
            // earlier answer would seem to reach further back than its sender's word.
            p.quiet_since = now - beat.quiet_ms / 1000.0 * (1 - constants::kDrift);
            bool says = back::extended(beat) && beat.form >= back::kForm;
            if (!says) {
                p.whole_since = 1e18;
            } else if (beat.life != p.told_life || beat.told != p.told || p.whole_since > now) {
                // Its process is new to us, or something is missing: from here on nothing will be.
                p.whole_since = now;
                p.told = beat.told;
                p.told_life = beat.life;
            }
        } else {
            bool known = beat.life == p.life;
            if (known ? frame.id <= p.last_beat : now - p.answer_at < constants::kBeatFresh_s) return;
            p.last_beat = frame.id;
        }
        if (back::extended(beat)) p.form = std::max(p.form, beat.form);
        p.life = beat.life;
        p.heard = now;
        p.beat = beat;
    }
    news_.notify();
}

Task<void> Siblings::dial(size_t i) {
    while (true) {
        auto stream = co_await connect_to(loop_, peers_[i].who.addr, loop_.now() + constants::kConnect_s);
        if (stream) {
            auto link = std::make_shared<Link>(loop_, std::move(stream));
            links_[i] = link;
            scope_.spawn(write_all(link), "back writer");
            scope_.spawn(read_all(link, i), "back reader");
            while (link->open) {
                back::Beat b = beat_now();
                b.asked_us = static_cast<uint64_t>(loop_.now() * 1e6);
                send(*link, back::pack(back::Kind::kBeat, next_beat_++, life_, b));
                co_await loop_.sleep(constants::kBeat_s);
            }
            links_[i] = nullptr;
        }
        co_await loop_.sleep(constants::kBeat_s);
    }
}

back::Beat Siblings::beat_now() {
    back::Beat b = beat_();
    b.life = life_;
    if (back::extended(b)) {
        b.form = back::kForm;
        b.told = told_count_;
    }
    return b;
}

void Siblings::tell_withdrawn(const std::string& id) {
    // Who knows it from the first time need not hear it again.
    if (!told_ids_.insert(id).second) return;
    told_.push_back(id);
    ++told_count_;
    if (told_.size() > constants::kToldKept) {
        told_ids_.erase(told_.front());
        told_.pop_front();
    }
}

void Siblings::send_withdrawn(Link& link) {
    if (link.told == told_count_) return;
    uint32_t kept_from = told_count_ - static_cast<uint32_t>(told_.size());
    back::Withdrawn w{life_, std::max(link.told, kept_from), {}};
    w.jobs.assign(told_.begin() + (w.first - kept_from), told_.end());
    link.told = told_count_;
    send(link, back::pack(back::Kind::kWithdrawn, 0, life_, back::pack(w)));
}

// A new connection begins with all that its sender keeps, so that nothing is missing when an older one broke.
void Siblings::take_withdrawn(const back::Withdrawn& w) {
    for (auto& p : peers_) {
        if (p.told_life != w.life || p.whole_since > loop_.now()) continue;
        if (w.first > p.told) return;  // the answer that follows shows that some are missing
        for (size_t i = p.told - w.first; i < w.jobs.size(); ++i) {
            ++p.told;
            withdrawn_(w.jobs[i]);
        }
    }
}

Task<void> Siblings::accept_all() {
    while (true) {
        int fd = accept_from(listener_.fd());
        if (fd == -1) {
            co_await loop_.readable(listener_, -1);
        } else if (fd == -2) {
            co_await loop_.sleep(constants::kAcceptPause_s);
        } else if (scope_.size() > most_routines_) {
            close(fd);
        } else {
            scope_.spawn(serve(fd), "back connection");
        }
    }
}

Task<void> Siblings::serve(int fd) {
    auto link = std::make_shared<Link>(loop_, std::make_unique<Stream>(loop_, fd));
    scope_.spawn(write_all(link), "back writer");
    co_await read_all(link, peers_.size());
}

Task<void> Siblings::write_all(std::shared_ptr<Link> link) {
    while (link->open) {
        if (link->outbox.empty()) {
            co_await loop_.wait(link->more, -1);
            continue;
        }
        std::string out = std::exchange(link->outbox, {});
        if (!co_await link->stream->write(out, loop_.now() + constants::kBeatFresh_s)) link->close();
    }
}

Task<void> Siblings::read_all(std::shared_ptr<Link> link, size_t) {
    back::Reader reader;
    char chunk[constants::kReadChunk];
    while (link->open) {
        ssize_t n = co_await link->stream->read(chunk, sizeof chunk, loop_.now() + constants::kBeatFresh_s);
        if (n <= 0) break;
        reader.feed({chunk, static_cast<size_t>(n)});
        while (auto f = reader.next()) {
            if (f->kind == back::Kind::kBeat || f->kind == back::Kind::kBeatAnswer) {
                auto beat = back::unpack_beat(f->payload);
                if (!beat) {
                    link->close();
                    break;
                }
                heard(*f, *beat);
                if (f->kind == back::Kind::kBeat) {
                    if (back::extended(*beat) && beat->form >= back::kForm) send_withdrawn(*link);
                    back::Beat mine = beat_now();
                    mine.asked_us = beat->asked_us;
                    send(*link, back::pack(back::Kind::kBeatAnswer, f->id, f->life, mine));
                }
            } else if (f->kind == back::Kind::kWithdrawn) {
                auto withdrawn = back::unpack_withdrawn(f->payload);
                if (!withdrawn) {
                    link->close();
                    break;
                }
                take_withdrawn(*withdrawn);
            } else if (f->kind == back::Kind::kRelay) {
                if (scope_.size() <= most_routines_)
                    scope_.spawn(answer_relay(link, f->id, f->life, std::move(f->payload)), "relayed report");
            } else if (f->payload.size() >= sizeof(back::RelayAnswerHead)) {
                // The answer to an earlier process's relay would give one worker another's commands.
                auto it = f->life == life_ ? calls_.find(f->id) : calls_.end();
                if (it == calls_.end()) continue;  // or too late
                back::RelayAnswerHead h;
                std::memcpy(&h, f->payload.data(), sizeof h);
                it->second->answer =
                    Response{h.status, f->payload.substr(sizeof h), 0, "application/msgpack"};
                it->second->done.notify();
            }
        }
        if (reader.bad()) {
            log::info("back: a connection that does not speak our frames was closed");
            break;
        }
    }
    link->close();
}

Task<void> Siblings::answer_relay(std::shared_ptr<Link> link, uint32_t id, uint64_t life, std::string body) {
    Response r = co_await relay_(std::move(body));
    back::RelayAnswerHead h{static_cast<uint16_t>(r.status)};
    std::string payload(reinterpret_cast<const char*>(&h), sizeof h);
    payload += r.body;
    send(*link, back::pack(back::Kind::kRelayAnswer, id, life, payload));
}

Task<std::optional<Response>> Siblings::relay(std::string label, std::string body) {
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
        send(*links_[i], back::pack(back::Kind::kRelay, id, life_, body));
        Seconds until = loop_.now() + constants::kRelay_s;
        while (!call->answer)
            if (co_await loop_.wait(call->done, until) == Wake::kTimeout) break;
        co_return call->answer;
    }
    co_return std::nullopt;
}

}  // namespace hareshore
