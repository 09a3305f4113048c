// Reading and building the MessagePack bodies of the stand-ins' protocols.
#pragma once
#include <cstdint>
#include <string>

#include "http/client.h"
#include "http/msgpack.h"
#include "http/server.h"

namespace hareshore::test {

// The JSON text of a packed value, as short as can be: the store's limits count its bytes.
[[nodiscard]] std::string json_text(const std::string& packed);

// The bytes of a part of a message.
[[nodiscard]] std::string repack(const MsgpackValue& node);

// One packed value.
[[nodiscard]] std::string packed_text(const std::string& text);
[[nodiscard]] std::string packed_number(double number);
[[nodiscard]] std::string packed_count(uint64_t count);
[[nodiscard]] std::string packed_flag(bool flag);
[[nodiscard]] std::string packed_null();

// A parameter of the request's query; empty without it.
[[nodiscard]] std::string query_value(const Request& request, const std::string& name);

// A response that carries what the packer holds.
[[nodiscard]] Response packed_response(int status, MsgpackWriter& body);

// The job's phase in an answer to a user, in the words of the wire; empty if it has none.
[[nodiscard]] std::string phase_of(const CallResult& answer);

// What an answer to a user tells of a job.
struct JobState {
    std::string phase;
    uint64_t done = 0, running = 0;  // tasks
    bool operator==(const JobState&) const = default;
};
[[nodiscard]] JobState state_of(const CallResult& answer);

}  // namespace hareshore::test
