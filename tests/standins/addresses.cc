#include "standins/addresses.h"

#include <gtest/gtest.h>
#include <unistd.h>

namespace hareshore::test {

Address address(int host, uint16_t port) {
    auto process = static_cast<uint32_t>(getpid());
    std::string text = "127." + std::to_string(1 + (process >> 8) % 254) + "." +
                       std::to_string(process & 255) + "." + std::to_string(host) + ":" +
                       std::to_string(port);
    Address parsed;
    parsed = Address::parse(text).value();
    return parsed;
}

std::string text_of(const Address& address) {
    const auto* bytes = reinterpret_cast<const uint8_t*>(&address.ip);
    return std::to_string(bytes[0]) + "." + std::to_string(bytes[1]) + "." + std::to_string(bytes[2]) + "." +
           std::to_string(bytes[3]) + ":" + std::to_string(address.port);
}

}  // namespace hareshore::test
