#include "scenario/store_proxy.h"

namespace hareshore::test {

namespace {

constexpr size_t kMostConnections = 200;
constexpr Seconds kModeCheck_s = 0.2;

}  // namespace

StoreProxy::StoreProxy(Loop& event_loop, FakeStore& store, Address at)
    : loop(event_loop), server(loop, at, kMostConnections, [this, &store](Request request) {
          return forward(store, std::move(request));
      }) {}

void StoreProxy::clear_faults() {
    mode = Mode::kForward;
    delay = 0;
    request_delay = answer_delay = {};
}

Task<Response> StoreProxy::forward(FakeStore& store, Request request) {
    if (delay > 0) co_await loop.sleep(delay);
    if (request_delay) co_await loop.sleep(request_delay(request));
    Seconds after = answer_delay ? answer_delay(request) : 0;
    while (mode == Mode::kHang) co_await loop.sleep(kModeCheck_s);
    if (mode == Mode::kRefuse) co_return Response{503, "", 0, ""};
    Response answer = co_await store.handle(std::move(request));
    if (after > 0) co_await loop.sleep(after);
    // A watch that was open when its controller came to be refused stays open.
    while (mode != Mode::kForward) co_await loop.sleep(kModeCheck_s);
    co_return answer;
}

}  // namespace hareshore::test
