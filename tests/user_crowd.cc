#include "user_crowd.h"

namespace hareshore::test {

namespace {

constexpr Seconds kPollTimeout_s = 2;    // users wait this long for a poll
constexpr Seconds kWriteTimeout_s = 5;   // and this long for a submission or a cancellation
constexpr Seconds kRetry_s = 1;          // before they repeat one
constexpr Seconds kLookEvery_s = 0.25;   // between questions that follow nothing new
constexpr Seconds kCloseLook_s = 0.003;  // between questions right after something new
constexpr int kCloseLooks = 5;

const std::string kRuns = "/v2/runs";

bool taken(const CallResult& a) {
    return a.status == 200 || a.status == 201;
}

AnswerAge age_of(const std::string& phase) {
    return phase == "done" || phase == "withdrawn" ? AnswerAge::kOver : AnswerAge::kAccepted;
}

}  // namespace

UserCrowd::UserCrowd(World& world) : world_(world), scope_(world.site.loop) {}

void UserCrowd::submit(const std::string& job, uint32_t tasks, Seconds run_s, size_t first_node) {
    world_.prepare(job, tasks, run_s);
    scope_.spawn(insist(job, kRuns, world_.bodies[job], first_node), "submission");
}

void UserCrowd::cancel(const std::string& job, size_t first_node) {
    cancelled_.insert(job);
    scope_.spawn(insist(job, kRuns + "/" + job + "/withdraw", "", first_node), "cancellation");
}

void UserCrowd::when(const std::string& job, AnswerAge age, std::function<void()> then) {
    cancellations_known_until_[job].then[age] = std::move(then);
}

Task<void> UserCrowd::insist(std::string job, std::string path, std::string body, size_t first_node) {
    size_t nodes = world_.site.nodes.size();
    for (size_t i = first_node;; ++i) {
        if (co_await ask(job, i % nodes, "POST", path, body)) co_return;
        co_await world_.site.loop.sleep(kRetry_s);
    }
}

Task<bool> UserCrowd::ask(std::string job, size_t node, std::string method, std::string path,
                          std::string body) {
    if (!world_.site.nodes[node]) co_return false;
    Known& known = cancellations_known_until_[job];
    Question question{job, node, known.anywhere, known.at_node[node]};
    HttpClient http(world_.site.loop, world_.site.configs[node].listen, 1);
    Seconds timeout = method == "GET" ? kPollTimeout_s : kWriteTimeout_s;
    CallResult answer = co_await http.call(std::move(method), std::move(path), std::move(body), timeout);
    take(question, answer);
    co_return taken(answer);
}

void UserCrowd::take(const Question& q, const CallResult& answer) {
    EXPECT_NE(answer.status, 400) << q.job;
    EXPECT_NE(answer.status, 422) << q.job;
    if (!taken(answer) && answer.status != 404) return;
    ++answers_;
    auto message = MsgpackDocument::parse(answer.body);
    std::string phase = taken(answer) && message ? message->root()["phase"].text_or("") : "";
    AnswerAge age = taken(answer) ? age_of(phase) : AnswerAge::kUnknownJob;
    Known& known = cancellations_known_until_[q.job];
    EXPECT_GE(age, q.known) << q.job << ": node " << q.node << " answers " << answer.status << " " << phase
                            << " after a newer answer";
    EXPECT_GE(age, known.at_node[q.node]) << q.job << ": node " << q.node << " answers " << answer.status
                                          << " " << phase << " after a newer answer of its own";
    if (phase == "withdrawn") {
        EXPECT_TRUE(cancelled_.count(q.job)) << q.job << " was not cancelled";
        world_.announced.emplace(q.job, world_.site.loop.now());
    }
    if (age >= AnswerAge::kAccepted) world_.accepted.insert(q.job);
    // An older answer to a question that was under way elsewhere contradicts nothing.
    if (age >= AnswerAge::kAccepted && age >= known.anywhere) world_.said(q.job, phase);
    known.at_node[q.node] = std::max(known.at_node[q.node], age);
    if (age <= known.anywhere) return;
    bool first = known.anywhere < AnswerAge::kAccepted && age >= AnswerAge::kAccepted;
    known.anywhere = age;
    if (first) scope_.spawn(look_on(q.job), "poll");
    scope_.spawn(look_closely(q.job), "close look");
    if (auto then = known.then.find(age); then != known.then.end()) then->second();
}

void UserCrowd::look(const std::string& job) {
    for (size_t node = 0; node < world_.site.nodes.size(); ++node)
        scope_.spawn(
            [](Task<bool> t) -> Task<void> { co_await t; }(ask(job, node, "GET", kRuns + "/" + job, "")),
            "question");
}

void UserCrowd::repeat_submission(const std::string& job) {
    for (size_t node = 0; node < world_.site.nodes.size(); ++node)
        scope_.spawn(
            [](Task<bool> t) -> Task<void> { co_await t; }(ask(job, node, "POST", kRuns, world_.bodies[job])),
            "repeated submission");
}

Task<void> UserCrowd::look_on(std::string job) {
    while (true) {
        look(job);
        co_await world_.site.loop.sleep(kLookEvery_s);
    }
}

Task<void> UserCrowd::look_closely(std::string job) {
    for (int i = 0; i < kCloseLooks; ++i) {
        look(job);
        if (i % 2 == 0) repeat_submission(job);
        co_await world_.site.loop.sleep(kCloseLook_s);
    }
}

}  // namespace hareshore::test
