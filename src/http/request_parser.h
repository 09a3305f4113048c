// Parses the requests of a connection.
#pragma once
#include <algorithm>
#include <climits>
#include <string>
#include <string_view>
#include <utility>

#include "base/constants.h"
#include "http/message.h"
#include "http/message_parser.h"

namespace hareshore {

// Parses successive requests with http_parser, whose callbacks collect them.
class RequestParser : public MessageParser<RequestParser> {
  public:
    RequestParser() : MessageParser(HTTP_REQUEST) {
        callbacks().on_url = [](http_parser* parser, const char* data, size_t size) {
            return self(parser).append_url(data, size);
        };
        callbacks().on_header_field = [](http_parser* parser, const char*, size_t size) {
            return self(parser).count_head(size);
        };
        callbacks().on_header_value = callbacks().on_header_field;
        callbacks().on_headers_complete = [](http_parser* parser) {
            bool has_length = parser->content_length != ULLONG_MAX;
            if (has_length && parser->content_length > constants::kBodyLimit)
                self(parser).request_.oversized = true;
            return 0;
        };
    }

    // Parses received bytes up to the end of the request; returns how many were consumed.
    size_t parse(std::string_view bytes) { return std::min(execute(bytes), bytes.size()); }
    // Whether the bytes are not a valid request within the limits. The connection cannot be used further
    // then.
    [[nodiscard]] bool malformed() const { return state().upgrade || failed(); }
    // Whether the body exceeds the limit: the request can be rejected before all of it has been received.
    [[nodiscard]] bool oversized() const { return request_.oversized; }

    // Returns the complete request. reset() must be called before the next one is parsed.
    Request take_request() {
        request_.method = http_method_str(static_cast<http_method>(state().method));
        size_t query_mark = url_.find('?');
        request_.path = url_.substr(0, query_mark);
        if (query_mark != std::string::npos) request_.query = url_.substr(query_mark + 1);
        return std::move(request_);
    }
    // Discards the request and continues with the next one.
    void reset() {
        request_ = {};
        url_.clear();
        head_size_ = 0;
        body_size_ = 0;
        resume();
    }

  private:
    friend MessageParser<RequestParser>;

    // Results of the callbacks: 0 to continue; otherwise the request is malformed.
    int count_head(size_t size) {
        head_size_ += size;
        return head_size_ > constants::kRequestHeadLimit ? 1 : 0;
    }
    int append_url(const char* data, size_t size) {
        if (count_head(size) != 0) return 1;
        url_.append(data, size);
        return 0;
    }
    int append_body(const char* data, size_t size) {
        body_size_ += size;
        if (body_size_ > constants::kBodyLimit) request_.oversized = true;
        if (body_size_ > constants::kOversizedBodyReadLimit) return 1;
        if (request_.oversized) {
            request_.body.clear();
        } else {
            request_.body.append(data, size);
        }
        return 0;
    }

    Request request_;
    std::string url_;
    size_t head_size_ = 0;  // bytes of the URL and headers
    size_t body_size_ = 0;  // bytes, including discarded ones
};

}  // namespace hareshore
