#include "scheduler/scheduler.h"

#include <span>
#include <utility>

#include "scheduler/gang_placement.h"
#include "scheduler/image_preemption.h"
#include "scheduler/pass_context.h"
#include "scheduler/queue.h"
#include "scheduler/reservation.h"
#include "scheduler/task_fit.h"
#include "scheduler/task_matching.h"
#include "scheduler/team_quota.h"

namespace hareshore {

namespace {

// Whether two jobs are in the same class. All jobs of a class are served before the next class.
bool same_class(const QueuedJob& a, const QueuedJob& b) {
    if (a.starved || b.starved) return a.starved == b.starved;
    return a.production_service == b.production_service && a.within_guarantee == b.within_guarantee &&
           a.job->spec.priority == b.job->spec.priority;
}

// One scheduling pass: serves the queue class by class.
class SchedulingPass {
  public:
    SchedulingPass(Cluster& cluster, JobTable& jobs, const SchedulerInput& input)
        : pass_{cluster, jobs, input, jobs_within_guarantee(input.config, jobs), {}, {}} {
        for (auto& [name, machine] : cluster.machines)
            if (machine->schedulable) pass_.schedulable.push_back(machine.get());
    }

    std::vector<Binding> run() {
        const SchedulerInput& input = pass_.input;
        auto queue = queue_order(pass_.jobs, input.config, input.settings, input.now, pass_.within_guarantee);
        for (size_t begin = 0; begin < queue.size();) {
            size_t end = begin;
            while (end < queue.size() && same_class(queue[begin], queue[end])) ++end;
            serve_class(std::span(queue).subspan(begin, end - begin));
            begin = end;
        }
        return std::move(pass_.bindings);
    }

  private:
    // Serves the jobs in queue order. Tasks that are placed one by one are pulled by the requesting
    // machines. A gang of several tasks is placed as a whole, or reserves the room it waits for against all
    // jobs after it.
    void serve_class(std::span<const QueuedJob> jobs) {
        for (const auto& queued : jobs)
            if (queued.job->spec.gang()) preempt_for_image(pass_, quota_, capacities_, queued);
        std::vector<QueuedJob> pulled;
        for (const auto& queued : jobs) {
            if (!is_multi_task_gang(*queued.job)) {
                pulled.push_back(queued);
                continue;
            }
            serve_pulled(std::exchange(pulled, {}));
            if (may_start(*queued.job, pass_.input.now)) gangs_.place(queued);
            quota_.reserve(queued, make_room(pass_, quota_, capacities_, queued));
        }
        serve_pulled(pulled);
        for (const auto& queued : jobs)  // no requesting machine had room for any task
            if (queued.job->wait.reason == WaitReason::kNew && queued.job->waiting())
                queued.job->wait.reason = WaitReason::kNoRoom;
    }

    void serve_pulled(const std::vector<QueuedJob>& jobs) {
        if (jobs.empty()) return;
        for (const auto& queued : jobs)
            if (queued.job->spec.gang()) reserve_limit_for_one_task_gang(queued);
        Resources smallest = smallest_request(jobs);
        for (Machine* machine : pass_.input.requesting_machines)
            if (machine->schedulable && machine->free.can_fit(smallest)) tasks_.pull(jobs, *machine);
        for (const auto& queued : jobs) make_room(pass_, quota_, capacities_, queued);
    }

    // A gang of one task waits for its team's limit as larger gangs do.
    void reserve_limit_for_one_task_gang(const QueuedJob& queued) {
        Job& job = *queued.job;
        if (!may_start(job, pass_.input.now) || quota_.within_limit(job.spec, 1)) return;
        job.wait.reason = WaitReason::kTeamLimit;
        preempt_for_team_limit(pass_, queued, 1);
        quota_.reserve(queued, std::nullopt);
    }

    PassContext pass_;
    TeamQuota quota_{pass_};
    CapacityCache capacities_{pass_};
    TaskMatcher tasks_{pass_, quota_};
    GangPlacer gangs_{pass_, quota_};
};

}  // namespace

std::vector<Binding> schedule(Cluster& cluster, JobTable& jobs, const SchedulerInput& input) {
    return SchedulingPass(cluster, jobs, input).run();
}

}  // namespace hareshore
