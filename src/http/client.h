// HTTP/1.1 client: a small pool of kept connections to one peer.
#pragma once
#include "base/constants.h"
#include "http/message.h"
#include "http/msgpack.h"

namespace hareshore {

struct CallResult {
    int status = 0;                   // 0: none came
    bool maybe_executed = false;      // with status 0: the request may have been carried out
    bool response_too_large = false;  // with status 0: the answer exceeded the limit
    std::string body;
    bool ok() const { return status == 200; }
};

class HttpClient {
  public:
    HttpClient(Loop& loop, Address to, size_t most, size_t answer_limit = constants::kResponseLimit)
        : loop_(loop), to_(to), most_(most), answer_limit_(answer_limit), freed_(loop) {}
    Task<CallResult> call(std::string method, std::string path, std::string body, Seconds timeout);

  private:
    Task<CallResult> exchange(Stream& stream, const std::string& out, Seconds until, bool& keep) const;

    Loop& loop_;
    Address to_;
    size_t most_, open_ = 0, waiting_ = 0;
    size_t answer_limit_;
    std::list<std::unique_ptr<Stream>> idle_;
    Condition freed_;
};

}  // namespace hareshore
