#include "users/user_wire.h"

#include "base/constants.h"
#include "http/msgpack.h"

namespace hareshore {

namespace {

const char* phase_name(JobPhase p) {
    switch (p) {
        case JobPhase::kPending:
            return "pending";
        case JobPhase::kRunning:
            return "running";
        case JobPhase::kDone:
            return "done";
        case JobPhase::kCancelled:
            return "withdrawn";
    }
    return "pending";
}

// Reads fields one by one and remembers the first that is missing or invalid.
class Fields {
  public:
    explicit Fields(MsgpackValue n) : n_(n) {}
    const std::string& error() const { return error_; }

    std::string text(const char* f, size_t most) {
        auto v = n_[f].text();
        if (!v || v->empty() || v->size() > most) bad(f);
        return v.value_or("");
    }
    double amount(const char* f) {
        auto v = n_[f].number();
        if (!v || *v < 0 || *v > kLargest) bad(f);
        return v.value_or(0);
    }
    bool flag(const char* f) {
        auto v = n_[f].flag();
        if (!v) bad(f);
        return v.value_or(false);
    }
    uint64_t count(const char* f, uint64_t low, uint64_t high) {
        auto v = n_[f].count();
        if (!v || *v < low || *v > high) bad(f);
        return v.value_or(0);
    }
    std::string optional_text(const char* f, size_t most) { return n_[f].null() ? "" : text(f, most); }
    std::vector<std::string> optional_list(const char* f) {
        std::vector<std::string> out;
        MsgpackValue l = n_[f];
        if (l.null()) return out;
        if (!l.is_list() || l.size() == 0 || l.size() > 64) bad(f);
        for (size_t i = 0; i < l.size(); ++i) {
            auto v = l.at(i).text();
            if (!v || v->empty() || v->size() > 128) {
                bad(f);
                break;
            }
            out.push_back(*v);
        }
        return out;
    }
    std::optional<double> optional_amount(const char* f) {
        if (n_[f].null()) return std::nullopt;
        return amount(f);
    }
    void bad(const char* f) {
        if (error_.empty()) error_ = std::string(f) + " is missing or invalid";
    }

  private:
    static constexpr double kLargest = 1e12;  // far above any machine or duration, far below overflow
    MsgpackValue n_;
    std::string error_;
};

}  // namespace

bool valid_job_id(std::string_view id) {
    if (id.size() < 5 || id.size() > 64 || id.substr(0, 4) != "job-") return false;
    for (char c : id.substr(4))
        if (c < '0' || c > '9') return false;
    return true;
}

std::variant<JobSpec, std::string> parse_submission(std::string_view body) {
    auto m = MsgpackDocument::parse(body);
    if (!m) return "not MessagePack";
    if (!m->root().is_map()) return "not a map";
    Fields f(m->root());
    JobSpec s;
    s.id = f.text("ref", 64);
    if (!valid_job_id(s.id)) f.bad("ref");
    s.job_class = f.text("jobclass", 128);
    s.team = f.text("owner", 128);
    std::string shape = f.text("shape", 16);
    if (shape == "sweep") {
        s.kind = JobKind::kArray;
    } else if (shape == "ensemble") {
        s.kind = JobKind::kGang;
    } else if (shape == "standing") {
        s.kind = JobKind::kService;
    } else {
        f.bad("shape");
    }
    std::string rank = f.text("rank", 16);
    if (rank == "production") {
        s.priority = PriorityClass::kProduction;
    } else if (rank == "high") {
        s.priority = PriorityClass::kHigh;
    } else if (rank == "standard") {
        s.priority = PriorityClass::kStandard;
    } else if (rank == "idle") {
        s.priority = PriorityClass::kIdle;
    } else {
        f.bad("rank");
    }
    s.tasks = static_cast<uint32_t>(f.count("pieces", 1, constants::kMaxTasksPerJob));
    s.cpus = f.amount("vcpus");
    s.gpus = f.amount("cards");
    s.memory_gb = f.amount("memory_gb");
    s.image = f.text("bundle", 128);
    s.image_gb = f.amount("size_gb");
    s.machine_types = f.optional_list("flavors");
    s.zone = f.optional_text("cove", 128);
    s.single_zone = f.flag("one_zone");
    s.spread_across_zones = f.flag("apart");
    s.spot = f.flag("driftwood");
    s.estimate_s = f.amount("expect_s");
    s.checkpoint_s = f.amount("snapshot_s");
    s.save_s = f.amount("flush_s");
    s.due_s = f.optional_amount("due_s");
    if (!f.error().empty()) return f.error();
    return s;
}

std::string never_runnable(const JobSpec& job, const Config& config,
                           const std::vector<MachineType>& machine_types) {
    const Team* team = config.team(job.team);
    if (!team) return "unknown team " + job.team;
    bool fits = false;
    for (const auto& f : machine_types) {
        if (!f.fits(job.cpus, job.gpus, job.memory_gb)) continue;
        if (!job.machine_types.empty()) {
            bool named = false;
            for (const auto& name : job.machine_types) named |= name == f.name;
            if (!named) continue;
        }
        fits = true;
    }
    if (!fits) return "a task fits no allowed machine type";
    double at_once = job.gang() || job.service() ? job.tasks : 1;
    if (team->cpus_max > 0 && job.cpus * at_once > team->cpus_max) return "more CPUs than the team's limit";
    if (team->gpus_max > 0 && job.gpus * at_once > team->gpus_max) return "more GPUs than the team's limit";
    return "";
}

std::string pack_phase(const std::string& id, JobPhase phase) {
    MsgpackWriter p;
    p.map(2).key("ref").text(id).key("phase").text(phase_name(phase));
    return p.take();
}

std::string pack_job(const std::string& id, JobPhase phase, uint32_t done, uint32_t running) {
    MsgpackWriter p;
    p.map(4).key("ref").text(id).key("phase").text(phase_name(phase)).key("done").count(done);
    p.key("running").count(running);
    return p.take();
}

std::string pack_error(const std::string& what) {
    MsgpackWriter p;
    p.map(1).key("error").text(what);
    return p.take();
}

}  // namespace hareshore
