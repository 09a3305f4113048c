// IPv4 socket addresses.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace hareshore {

// An IPv4 address with a TCP port.
struct Address {
    uint32_t ip = 0;    // network byte order
    uint16_t port = 0;  // host byte order; never 0 in a parsed address

    // Parses an address in dotted notation with a port, "10.0.0.1:8080". Empty if the text has any other
    // form; host names are not resolved.
    [[nodiscard]] static std::optional<Address> parse(const std::string& text);
};

}  // namespace hareshore
