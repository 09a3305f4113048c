#include "leader/command_sender.h"

#include "workers/command.h"
#include "workers/worker_client.h"

namespace hareshore {

void CommandSender::send_urgent_stops() {
    machines_to_stop_.merge(dependencies_.jobs.take_machines_with_new_stops());
    std::erase_if(machines_to_stop_, [&](const std::string& name) {
        const Machine* machine = dependencies_.cluster.machine(name);
        // A new leader knows a machine from its records before the cloud's list or a heartbeat has its
        // address.
        if (machine && machine->addr.empty()) return false;
        if (machine) start_sending(name);
        return true;
    });
}

void CommandSender::start_sending(const std::string& machine_name) {
    WorkerConnection& connection = dependencies_.connections.of(machine_name);
    if (connection.command_in_flight) {
        connection.resend = true;
        return;
    }
    connection.command_in_flight = true;
    dependencies_.lifecycle.spawn(send_stops(machine_name), "stop commands", Priority::kNormal);
}

Task<void> CommandSender::send_stops(std::string machine_name) {
    do {
        dependencies_.connections.of(machine_name).resend = false;
        Machine* machine = dependencies_.cluster.machine(machine_name);
        if (!machine) break;
        const std::optional<Address> address = Address::parse(machine->addr);
        if (!address) break;
        std::vector<Command> stops = stops_for(*machine);
        if (stops.empty()) break;
        const uint64_t incarnation = machine->incarnation;
        // The worker assigns the command a heartbeat's sequence number, whether or not its response arrives.
        machine->next_sequence_predictable = false;
        auto heartbeat = co_await send_commands(dependencies_.loop, *address, dependencies_.fencing_token,
                                                incarnation, std::move(stops));
        machine = dependencies_.cluster.machine(machine_name);
        if (heartbeat && machine && heartbeat->newer_than(machine->incarnation, machine->sequence)) {
            // A launch in the response to a heartbeat may still be on its way.
            const bool fenced = heartbeat->fencing_token == dependencies_.fencing_token;
            dependencies_.jobs.apply_heartbeat(dependencies_.cluster, *machine, *heartbeat,
                                               fenced ? Absence::kFenced : Absence::kUnproven,
                                               dependencies_.loop.now());
            dependencies_.pass_requests.request();
            if (incarnation == 0) dependencies_.connections.of(machine_name).resend = true;
        }
    } while (dependencies_.connections.of(machine_name).resend);
    if (dependencies_.cluster.machine(machine_name)) {
        dependencies_.connections.of(machine_name).command_in_flight = false;
    } else {
        dependencies_.connections.erase(machine_name);
    }
}

std::vector<Command> CommandSender::stops_for(Machine& machine) {
    std::vector<Command> stops = dependencies_.jobs.commands(machine, LaunchCommands::kOmit);
    std::erase_if(stops, [](const Command& command) { return command.kind != CommandKind::kStop; });
    if (machine.incarnation != 0) return stops;
    // A machine that has not sent this leader a heartbeat may still be controlled by an earlier leader. It
    // refuses the first command, and the refusal contains its incarnation. A command that it accepts also
    // gives it this leader's fencing token, which its heartbeats then pass on to the earlier leader.
    CommandList list;
    for (Command& stop : stops)
        if (!list.add(std::move(stop))) return std::move(list).take();
    for (const auto& placed : dependencies_.jobs.placements_on(machine.name)) {
        if (!placed.job->cancelled) continue;
        TaskName name{placed.job->spec.id, placed.task};
        if (!list.add({CommandKind::kStop, std::move(name), placed.placement->attempt, 0})) break;
    }
    return std::move(list).take();
}

}  // namespace hareshore
