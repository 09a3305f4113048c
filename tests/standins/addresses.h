// Loopback addresses for stand-ins.
#pragma once
#include <cstdint>
#include <string>

#include "http/message.h"

namespace hareshore::test {

// An address that only this test process uses, so that tests can run side by side. `host` is the last of its
// four numbers.
[[nodiscard]] Address address(int host, uint16_t port);

// "IP:PORT", as settings files and machine lists have it.
[[nodiscard]] std::string text_of(const Address& address);

}  // namespace hareshore::test
