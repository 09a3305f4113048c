// A client of the cloud: lists machine types and machines, creates and deletes machines.
//
// Each request waits for this client's share of the cloud's rate limit, which all controllers share, and is
// then sent once: the caller decides by the outcome whether to retry.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/token_bucket.h"
#include "cloud/cloud_types.h"
#include "cloud/machine_type.h"
#include "http/client.h"

namespace hareshore {

class CloudClient {
  public:
    // rate_limit: requests per second that the cloud accepts from all controllers together. The loop must
    // outlive the client, and the client its calls.
    CloudClient(Loop& loop, Address cloud, double rate_limit, size_t controllers);

    // None if the request failed or the response is malformed.
    [[nodiscard]] Task<std::optional<std::vector<MachineType>>> machine_types();
    // All machines, read page by page; none if any page could not be read.
    [[nodiscard]] Task<std::optional<std::vector<ListedMachine>>> list_machines();
    // Idempotent by the request's key. Pass a named object: GCC 12 destroys a braced list in a co_await
    // expression twice.
    [[nodiscard]] Task<CreateMachinesResult> create_machines(CreateMachinesRequest request);
    // At most constants::kMachinesPerDeletion names. Idempotent: a machine that no longer exists counts as
    // deleted.
    [[nodiscard]] Task<DeleteOutcome> delete_machines(std::vector<std::string> names);

  private:
    // Sends a request as soon as the rate limit allows it.
    Task<CallResult> call(std::string method, std::string path, std::string body);

    Loop& loop_;
    HttpClient http_;
    TokenBucket rate_limit_;
};

}  // namespace hareshore
