// A stand-in for the cloud's API: machine types, listing, renting and deleting machines.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cloud/machine_type.h"
#include "http/server.h"

namespace hareshore::test {

// Returns a machine type with 2 GPUs, 16 CPUs and 64 GB of memory, offered in zones "a" and "b".
[[nodiscard]] MachineType small_machine_type();

// The part of the state that tests set and read.
struct CloudControls {
    std::vector<MachineType> machine_types;
    std::map<std::string, ListedMachine> machines;
    std::vector<std::string> deleted;  // names, in order of deletion
    bool down = false;                 // every request is answered 503
    // Rents up to `max_count` machines and returns their names. No names, or no function, means that the
    // cloud has no capacity.
    std::function<std::vector<std::string>(const std::string& zone, size_t max_count)> rent;
};

class FakeCloud : public CloudControls {
  public:
    FakeCloud(Loop& loop, Address at);
    void stop() { server_.stop(); }

  private:
    Task<Response> handle(Request request);
    Response delete_machines(const Request& request);
    Response rent_machines(const Request& request);
    Response list_machines(const Request& request);

    HttpServer server_;
};

}  // namespace hareshore::test
