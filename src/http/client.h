// HTTP/1.1 client: a small pool of kept connections to one peer.
#pragma once
#include "base/constants.h"
#include "http/message.h"
#include "http/pack.h"

namespace hareshore {

struct Answer {
    int status = 0;          // 0: none came
    bool sent = false;       // with status 0: the request may have been carried out
    bool too_large = false;  // with status 0: the answer exceeded the limit
    std::string body;
    bool ok() const { return status == 200; }
};

class HttpClient {
  public:
    HttpClient(Loop& loop, Address to, size_t most, size_t answer_limit = constants::kAnswerLimit)
        : loop_(loop), to_(to), most_(most), answer_limit_(answer_limit), freed_(loop) {}
    Task<Answer> call(std::string method, std::string path, std::string body, Seconds timeout);

  private:
    Task<Answer> exchange(Stream& stream, const std::string& out, Seconds until, bool& keep) const;

    Loop& loop_;
    Address to_;
    size_t most_, open_ = 0, waiting_ = 0;
    size_t answer_limit_;
    std::list<std::unique_ptr<Stream>> idle_;
    Signal freed_;
};

}  // namespace hareshore
