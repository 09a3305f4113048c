#include "standins/settings_text.h"

namespace hareshore::test {

const char* const kSettingsText = R"(
label = "n0"
site = "a"
client_listen = "10.0.0.1:8080"
back = "10.0.0.1:8081"
future = "ignored é"  # également
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["a", "b"]
skew_ms = 250.0
[[facts.teams]]
name = "t"
gpus_max = 8.0
[facts.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 49.0
[facts.state]
rps = 80.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 6.0
list_lag_s = 6.0
)";

std::string settings_with_store_limits(const std::string& lines) {
    std::string text = kSettingsText;
    text.insert(text.find("[facts.cloud]"), lines + "\n");
    return text;
}

}  // namespace hareshore::test
