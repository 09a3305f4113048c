// Reads and builds the MessagePack bodies of the protocols that the stand-ins speak.
#pragma once
#include <cstdint>
#include <string>

#include "http/client.h"
#include "http/msgpack.h"
#include "http/server.h"

namespace hareshore::test {

// Converts a packed value to JSON without whitespace; the store's limits count the bytes of this form.
[[nodiscard]] std::string json_text(const std::string& packed);

// Packs one value of a parsed message again.
[[nodiscard]] std::string repack(const MsgpackValue& node);

// Packs a single value.
[[nodiscard]] std::string packed_text(const std::string& text);
[[nodiscard]] std::string packed_number(double number);
[[nodiscard]] std::string packed_count(uint64_t count);
[[nodiscard]] std::string packed_flag(bool flag);
[[nodiscard]] std::string packed_null();

// Returns a parameter of the request's query string, empty if it is absent.
[[nodiscard]] std::string query_value(const Request& request, const std::string& name);

// Builds a response with the writer's content as its MessagePack body.
[[nodiscard]] Response packed_response(int status, MsgpackWriter& body);

// Returns the job's phase in a response to a user, by its wire name; empty if there is none.
[[nodiscard]] std::string phase_of(const CallResult& response);

// The state of a job in a response to a user.
struct JobState {
    std::string phase;
    uint64_t done = 0, running = 0;  // tasks
    bool operator==(const JobState&) const = default;
};
[[nodiscard]] JobState state_of(const CallResult& response);

}  // namespace hareshore::test
