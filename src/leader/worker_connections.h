// The state of the communication with each worker, apart from the state of its machine.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "loop/loop.h"

namespace hareshore {

struct WorkerConnection {
    explicit WorkerConnection(Loop& loop) : wake(loop) {}

    Condition wake;                  // makes a pending heartbeat check again whether to respond
    uint64_t heartbeats = 0;         // accepted so far; a worker ignores the response to all but the newest
    bool command_in_flight = false;  // a direct command awaits its response
    bool resend = false;             // another direct command must be sent after it
};

// The connections of all machines, by name. A connection is destroyed with its machine, so a reference is
// valid only until the next co_await.
class WorkerConnections {
  public:
    explicit WorkerConnections(Loop& loop) : loop_(loop) {}

    // Creates the connection if there is none.
    WorkerConnection& of(const std::string& machine);
    // Destroys the connection, which wakes its waiters.
    void erase(const std::string& machine) { connections_.erase(machine); }
    void wake(const std::string& machine);
    void wake_all();

  private:
    Loop& loop_;
    std::unordered_map<std::string, std::unique_ptr<WorkerConnection>> connections_;
};

}  // namespace hareshore
