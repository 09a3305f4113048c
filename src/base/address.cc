#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace hareshore {

std::optional<Address> Address::parse(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    in_addr ip{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1) return std::nullopt;
    const char* port_begin = text.data() + colon + 1;
    const char* port_end = text.data() + text.size();
    uint16_t port = 0;
    auto parsed = std::from_chars(port_begin, port_end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != port_end || port == 0) return std::nullopt;
    return Address{ip.s_addr, port};
}

}  // namespace hareshore
