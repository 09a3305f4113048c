// A proxy between one controller and the key-value store, which can refuse, hang or slow its requests.
#pragma once
#include <functional>

#include "standins/store.h"

namespace hareshore::test {

struct StoreProxy {
    enum class Mode : uint8_t {
        kForward,
        kRefuse,  // 503
        kHang,    // no answer until the mode changes
    };

    StoreProxy(Loop& event_loop, FakeStore& store, Address at);
    // Forwards everything at once again.
    void clear_faults();

    Mode mode = Mode::kForward;
    Seconds delay = 0;  // of each request
    // Called for each request, if set: how much longer it takes before, and after, it is carried out.
    std::function<Seconds(const Request&)> request_delay, answer_delay;
    Loop& loop;
    HttpServer server;

  private:
    Task<Response> forward(FakeStore& store, Request request);
};

}  // namespace hareshore::test
