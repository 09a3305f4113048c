// The cloud's protocol.
#pragma once
#include <vector>

#include "base/token_bucket.h"
#include "http/client.h"

namespace hareshore {

// The state service's key for the machine types, kept for starts while the cloud is away.
inline const std::string kMachineTypesKey = "flavors";

struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
    double price = 0, spot_price = 0;  // an hour
    Seconds boot_s = 0;
    std::vector<std::string> zones;

    bool fits(double c, double g, double m) const { return c <= cpus && g <= gpus && m <= memory_gb; }
};

enum class MachinePhase { kBooting, kRunning, kFailed };

struct ListedMachine {
    std::string name, addr, machine_type, zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::kBooting;
    Seconds age_s = 0;
};

enum class Removal { kDone, kRefused, kUnknown };  // unknown: it may have been carried out, or may yet be
enum class Rent { kRented, kNoCapacity, kFailed, kUnknown };

struct RentResult {
    Rent result = Rent::kFailed;
    std::vector<std::string> machines;
};

class Cloud {
  public:
    Cloud(Loop& loop, Address at, double rps, size_t nodes);
    Task<std::optional<std::vector<MachineType>>> machine_types();
    Task<std::optional<std::vector<ListedMachine>>> list();  // all pages
    Task<RentResult> rent(std::string claim, std::string machine_type, std::string zone, bool spot,
                          int number);
    Task<Removal> remove(std::vector<std::string> names);  // true: they are gone

    static std::string pack_machine_types(const std::vector<MachineType>& machine_types);
    static std::optional<std::vector<MachineType>> unpack_machine_types(const std::string& packed);

  private:
    Task<CallResult> call(std::string method, std::string path, std::string body);
    Loop& loop_;
    HttpClient http_;
    TokenBucket bucket_;
};

}  // namespace hareshore
