#include "leader/command_sender.h"

#include "workers/command.h"
#include "workers/worker_client.h"

namespace hareshore {

void CommandSender::send_urgent_stops() {
    for (const auto& name : parts_.jobs.take_machines_with_new_stops()) {
        WorkerConnection& connection = parts_.connections.of(name);
        if (connection.command_in_flight) {
            connection.resend = true;
            continue;
        }
        Machine* machine = parts_.cluster.machine(name);
        if (!machine || machine->addr.empty()) continue;
        connection.command_in_flight = true;
        parts_.lifecycle.spawn(send_stops(name), "stop commands", Priority::kNormal);
    }
}

Task<void> CommandSender::send_stops(std::string machine_name) {
    do {
        parts_.connections.of(machine_name).resend = false;
        Machine* machine = parts_.cluster.machine(machine_name);
        if (!machine) break;
        const std::optional<Address> address = Address::parse(machine->addr);
        if (!address) break;
        std::vector<Command> stops = stops_for(*machine);
        if (stops.empty()) break;
        const uint64_t incarnation = machine->incarnation;
        // The worker assigns the command a heartbeat's sequence number, whether or not its response arrives.
        machine->next_sequence_predictable = false;
        auto heartbeat = co_await send_commands(parts_.loop, *address, parts_.fencing_token, incarnation,
                                                std::move(stops));
        machine = parts_.cluster.machine(machine_name);
        if (heartbeat && machine && heartbeat->newer_than(machine->incarnation, machine->sequence)) {
            parts_.jobs.apply_heartbeat(parts_.cluster, *machine, *heartbeat, Absence::kUnproven,
                                        parts_.loop.now());
            parts_.pass_requests.request();
            if (incarnation == 0) parts_.connections.of(machine_name).resend = true;
        }
    } while (parts_.connections.of(machine_name).resend);
    if (parts_.cluster.machine(machine_name)) {
        parts_.connections.of(machine_name).command_in_flight = false;
    } else {
        parts_.connections.erase(machine_name);
    }
}

std::vector<Command> CommandSender::stops_for(Machine& machine) {
    std::vector<Command> stops = parts_.jobs.commands(machine, LaunchCommands::kOmit);
    std::erase_if(stops, [](const Command& command) { return command.kind != CommandKind::kStop; });
    if (machine.incarnation != 0) return stops;
    // A machine that has not sent this leader a heartbeat may still be controlled by an earlier leader. It
    // refuses the first command, and the refusal contains its incarnation. A command that it accepts also
    // gives it this leader's fencing token, which its heartbeats then pass on to the earlier leader.
    for (const auto& placed : parts_.jobs.placements_on(machine.name))
        if (placed.job->cancelled)
            stops.push_back(
                {CommandKind::kStop, {placed.job->spec.id, placed.task}, placed.placement->attempt, 0});
    return stops;
}

}  // namespace hareshore
