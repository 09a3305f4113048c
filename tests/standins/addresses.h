// Loopback addresses for the stand-ins.
#pragma once
#include <cstdint>
#include <string>

#include "http/message.h"

namespace hareshore::test {

// Returns an address that is unique to this test process, so that tests can run in parallel. `host` is its
// last octet.
[[nodiscard]] Address address(int host, uint16_t port);

// Formats an address as "IP:PORT", the form used in settings files and machine lists.
[[nodiscard]] std::string text_of(const Address& address);

}  // namespace hareshore::test
