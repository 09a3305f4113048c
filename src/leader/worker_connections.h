// What belongs to a worker's connection rather than to its machine.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "loop/loop.h"

namespace hareshore {

struct WorkerConnection {
    explicit WorkerConnection(Loop& loop) : wake(loop) {}

    Condition wake;                  // lets a held heartbeat look again at what there is to answer
    uint64_t heartbeats = 0;         // how many were accepted; a worker drops the answer to an older one
    bool command_in_flight = false;  // a direct command is on its way
    bool resend = false;             // another direct command is wanted after it
};

// The connections of all machines, by name. A connection is destroyed with its machine: a reference is valid
// until the next co_await.
class WorkerConnections {
  public:
    explicit WorkerConnections(Loop& loop) : loop_(loop) {}

    // Created if there is none.
    WorkerConnection& of(const std::string& machine);
    // Wakes what waits on it.
    void erase(const std::string& machine) { connections_.erase(machine); }
    void wake(const std::string& machine);
    void wake_all();

  private:
    Loop& loop_;
    std::unordered_map<std::string, std::unique_ptr<WorkerConnection>> connections_;
};

}  // namespace hareshore
