#include "scenario/store_proxy.h"

namespace hareshore::test {

namespace {

constexpr size_t kMaxConnections = 200;
constexpr Seconds kModeCheckInterval_s = 0.2;

}  // namespace

StoreProxy::StoreProxy(Loop& event_loop, FakeStore& store, Address at)
    : loop(event_loop), server(loop, at, kMaxConnections, [this, &store](Request request) {
          return forward(store, std::move(request));
      }) {}

void StoreProxy::clear_faults() {
    mode = Mode::kForward;
    delay = 0;
    request_delay = response_delay = {};
}

Task<Response> StoreProxy::forward(FakeStore& store, Request request) {
    if (delay > 0) co_await loop.sleep(delay);
    if (request_delay) co_await loop.sleep(request_delay(request));
    Seconds delay_after = response_delay ? response_delay(request) : 0;
    while (mode == Mode::kHang) co_await loop.sleep(kModeCheckInterval_s);
    if (mode == Mode::kRefuse) co_return Response{503, "", 0, ""};
    Response response = co_await store.handle(std::move(request));
    if (delay_after > 0) co_await loop.sleep(delay_after);
    // A watch that was open when the mode changed stays open until requests are forwarded again.
    while (mode != Mode::kForward) co_await loop.sleep(kModeCheckInterval_s);
    co_return response;
}

}  // namespace hareshore::test
