// A proxy between one controller and the key-value store. It can refuse, delay or hang requests.
#pragma once
#include <functional>

#include "standins/store.h"

namespace hareshore::test {

struct StoreProxy {
    enum class Mode : uint8_t {
        kForward,
        kRefuse,  // responds 503
        kHang,    // delays requests until the mode changes
    };

    StoreProxy(Loop& event_loop, FakeStore& store, Address at);
    // Returns to forwarding without delay.
    void clear_faults();

    Mode mode = Mode::kForward;
    Seconds delay = 0;  // of each request
    // If set, called for each request; extra delay before it reaches the store, and before its response
    // returns.
    std::function<Seconds(const Request&)> request_delay, response_delay;
    Loop& loop;
    HttpServer server;

  private:
    Task<Response> forward(FakeStore& store, Request request);
};

}  // namespace hareshore::test
