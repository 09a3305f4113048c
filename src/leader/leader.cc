#include "leader/leader.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "leader/operator_pages.h"

namespace hareshore {

Leader::Leader(const LeaderEnvironment& environment, LeaderTerm term, std::unique_ptr<Leadership> leadership,
               std::vector<MachineType> machine_types)
    : environment_(environment),
      term_(std::move(term)),
      leadership_(std::move(leadership)),
      lifecycle_(environment.loop),
      pass_requests_(environment.loop),
      connections_(environment.loop),
      cancellation_guard_({.loop = environment.loop,
                           .config = environment.config,
                           .leadership = *leadership_,
                           .jobs = jobs_,
                           .pass_requests = pass_requests_}),
      record_watch_({.loop = environment.loop,
                     .config = environment.config,
                     .store = environment.store,
                     .jobs = jobs_,
                     .cluster = cluster_,
                     .cancellations = cancellation_guard_,
                     .pass_requests = pass_requests_}),
      record_writer_({.loop = environment.loop,
                      .config = environment.config,
                      .store = environment.store,
                      .record_format = environment.record_format,
                      .term = term_,
                      .leadership = *leadership_,
                      .jobs = jobs_,
                      .record_watch = record_watch_,
                      .connections = connections_,
                      .pass_requests = pass_requests_}),
      command_sender_({.loop = environment.loop,
                       .fencing_token = term_.fencing_token,
                       .lifecycle = lifecycle_,
                       .jobs = jobs_,
                       .cluster = cluster_,
                       .connections = connections_,
                       .pass_requests = pass_requests_}),
      scheduling_loop_({.loop = environment.loop,
                        .config = environment.config,
                        .settings = environment.settings,
                        .record_format = environment.record_format,
                        .lifecycle = lifecycle_,
                        .jobs = jobs_,
                        .cluster = cluster_,
                        .pass_requests = pass_requests_,
                        .command_sender = command_sender_,
                        .record_writer = record_writer_}),
      heartbeat_handler_({.loop = environment.loop,
                          .config = environment.config,
                          .fencing_token = term_.fencing_token,
                          .leadership = *leadership_,
                          .lifecycle = lifecycle_,
                          .jobs = jobs_,
                          .cluster = cluster_,
                          .connections = connections_,
                          .deleted_machines = deleted_machines_,
                          .pass_requests = pass_requests_,
                          .scheduling = scheduling_loop_,
                          .cancellations = cancellation_guard_}),
      cloud_inventory_({.loop = environment.loop,
                        .config = environment.config,
                        .cloud = environment.cloud,
                        .store = environment.store,
                        .term = term_,
                        .cluster = cluster_,
                        .deleted_machines = deleted_machines_}),
      machine_rental_({.loop = environment.loop,
                       .cloud = environment.cloud,
                       .fencing_token = term_.fencing_token,
                       .leadership = *leadership_,
                       .lifecycle = lifecycle_,
                       .cluster = cluster_,
                       .deleted_machines = deleted_machines_}),
      machine_deletion_({.loop = environment.loop,
                         .cloud = environment.cloud,
                         .leadership = *leadership_,
                         .lifecycle = lifecycle_,
                         .jobs = jobs_,
                         .cluster = cluster_,
                         .connections = connections_,
                         .deleted_machines = deleted_machines_,
                         .pass_requests = pass_requests_}),
      cancelled_task_reaper_({.loop = environment.loop,
                              .config = environment.config,
                              .leadership = *leadership_,
                              .jobs = jobs_,
                              .cluster = cluster_,
                              .deletion = machine_deletion_}),
      fleet_report_(
          {.loop = environment.loop, .jobs = jobs_, .cluster = cluster_, .scheduling = scheduling_loop_}),
      fleet_scaler_({.loop = environment.loop,
                     .config = environment.config,
                     .settings = environment.settings,
                     .fencing_token = term_.fencing_token,
                     .leadership = *leadership_,
                     .lifecycle = lifecycle_,
                     .jobs = jobs_,
                     .cluster = cluster_,
                     .pass_requests = pass_requests_,
                     .scheduling = scheduling_loop_,
                     .rental = machine_rental_,
                     .deletion = machine_deletion_,
                     .cancelled_task_reaper = cancelled_task_reaper_,
                     .report = fleet_report_}) {
    cluster_.machine_types = std::move(machine_types);
}

void Leader::start() {
    lifecycle_.begin(weak_from_this());
    lifecycle_.spawn(load_records(), "load", Priority::kUrgent);
}

void Leader::stop() {
    lifecycle_.stop();
    scheduling_loop_.pass_done().notify();
    connections_.wake_all();
}

Task<void> Leader::load_records() {
    Loop& loop = environment_.loop;
    const Seconds started_at = loop.now();
    while (!co_await refresh_record_format(environment_.store, environment_.record_format))
        co_await loop.sleep(constants::kRetryBackoff_s * 2);
    while (!co_await record_watch_.read_all()) co_await loop.sleep(constants::kRetryBackoff_s * 2);
    lifecycle_.set_loaded();
    log::info("records_loaded", {{"jobs", jobs_.size()}, {"took_s", lifecycle_.loaded_at() - started_at}});
    lifecycle_.notify_loaded();
    start_loops();
}

void Leader::start_loops() {
    lifecycle_.spawn(scheduling_loop_.run(), "scheduling passes", Priority::kNormal);
    // Urgent, since workers' leases may be renewed only while the watch is up to date.
    lifecycle_.spawn(record_watch_.watch_changes(), "watch", Priority::kUrgent);
    lifecycle_.spawn(record_writer_.run(), "commit", Priority::kUrgent);
    lifecycle_.spawn(record_writer_.raise_record_format(), "record format", Priority::kNormal);
    lifecycle_.spawn(cloud_inventory_.poll_machine_types(), "prices", Priority::kNormal);
    lifecycle_.spawn(cloud_inventory_.poll_machines(), "machine list", Priority::kNormal);
    lifecycle_.spawn(fleet_scaler_.run(), "fleet", Priority::kNormal);
}

size_t Leader::machines_seen() const {
    return static_cast<size_t>(
        std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                      [](const auto& entry) { return entry.second->heartbeat_received; }));
}

std::string Leader::jobs_page() const {
    return hareshore::jobs_page(jobs_, environment_.loop.now());
}

std::string Leader::machines_page() const {
    return hareshore::machines_page(cluster_, environment_.loop.now());
}

}  // namespace hareshore
