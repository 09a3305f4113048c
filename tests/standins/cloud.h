// A stand-in for the cloud's interface: machine types, the list of machines, renting and deleting.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cloud/machine_type.h"
#include "http/server.h"

namespace hareshore::test {

// A type with 2 GPUs, 16 CPUs and 64 GB of memory in zones "a" and "b".
[[nodiscard]] MachineType small_machine_type();

// What a test sets and reads.
struct CloudControls {
    std::vector<MachineType> machine_types;
    std::map<std::string, ListedMachine> machines;
    std::vector<std::string> deleted;  // names, in the order of their deletion
    bool down = false;                 // every request gets 503
    // Rents at most `most` machines and returns their names; none: there is no capacity, as without this.
    std::function<std::vector<std::string>(const std::string& zone, size_t most)> rent;
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
