// The faults that the proxy in front of a worker injects, over its own socket.
#include "testbed/registered/answer_fault_proxy.h"

#include <criterion/criterion.h>

#include <optional>
#include <set>
#include <string>

#include "testbed/fleet/reserved_port.h"
#include "testbed/registered/http_call.h"
#include "testbed/registered/worker.h"
#include "testbed/soak/caller_connection.h"

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

constexpr Duration call_limit {300'000};

auto options_at(runtime::SocketAddress const& address, Duration work) -> WorkerOptions
{
    WorkerOptions options;
    options.id = "w-1";
    options.service = "pool";
    // Nobody listens there: what is tried here needs no control process.
    options.registries = {"127.0.0.1:1"};
    options.names = {"Attempt", "Time-Left", "Key", "Target", "Seal", "Load", "Not-Executed"};
    options.owner_names = {"/grant", "/release", "Handover"};
    options.address = address;
    options.work = work;
    return options;
}

auto reserve_port() -> ReservedPort
{
    return std::move(std::get<ReservedPort>(Attempt([] { return ReservedPort::Reserve("127.0.0.1", ""); })));
}

class Scene {
public:
    explicit Scene(double part)
    {
        auto options = options_at(m_port.address(), Duration {1'000});
        options.answer_faults = {.part = part, .counts = counts};
        m_worker.emplace(options);
    }

    auto address() const -> std::string { return runtime::ToString(m_port.address()); }
    auto worker() -> Worker& { return *m_worker; }

    std::shared_ptr<AnswerFaultCounts> const counts = std::make_shared<AnswerFaultCounts>();

private:
    ReservedPort m_port = reserve_port();
    std::optional<Worker> m_worker;
};

auto request_of(std::string const& attempt) -> event_http::Request
{
    event_http::Request request;
    request.method = "POST";
    request.target = "/x";
    request.fields.Add("Host", "a");
    request.fields.Add("Attempt", attempt);
    return request;
}

} // namespace

Test(answer_fault_proxy, passes_answers_on_where_no_part_gets_a_fault)
{
    Scene scene(1e-9);
    soak::CallerConnection connection(scene.address(), call_limit);
    for (auto i = 0; i < 20; ++i) {
        auto const outcome = connection.exchange(request_of(std::to_string(i)), call_limit);
        cr_assert(outcome.end == soak::ExchangeEnd::Answered);
        cr_assert_eq(*outcome.response.fields.Find("Attempt"), std::to_string(i));
    }
    cr_assert_eq(scene.worker().runs().size(), 20U);
}

Test(answer_fault_proxy, injects_every_fault_and_callers_see_them)
{
    Scene scene(1);
    std::set<soak::ExchangeEnd> seen;
    std::set<int> statuses;
    auto surplus = 0;
    auto const injected_all = [&] {
        for (std::size_t i = 1; i < kAnswerFaults; ++i) {
            if (scene.counts->of(static_cast<AnswerFault>(i)) == 0)
                return false;
        }
        return true;
    };
    for (auto i = 0; i < 200 || (i < 2'000 && !injected_all()); ++i) {
        soak::CallerConnection connection(scene.address(), call_limit);
        auto const outcome = connection.exchange(request_of("a-" + std::to_string(i)), call_limit);
        seen.insert(outcome.end);
        if (outcome.end != soak::ExchangeEnd::Answered)
            continue;
        statuses.insert(outcome.response.status);
        // What comes next on the connection may answer the request before.
        auto const next = connection.exchange(request_of("b-" + std::to_string(i)), call_limit);
        auto const* const id = next.response.fields.Find("Attempt");
        surplus += id != nullptr && id->starts_with("a-") ? 1 : 0;
    }
    for (std::size_t i = 1; i < kAnswerFaults; ++i) {
        auto const fault = static_cast<AnswerFault>(i);
        cr_expect(scene.counts->of(fault) > 0, "%s", std::string(NameOf(fault)).c_str());
    }
    for (auto const end : {soak::ExchangeEnd::Answered, soak::ExchangeEnd::Closed, soak::ExchangeEnd::Reset,
             soak::ExchangeEnd::Silent, soak::ExchangeEnd::Malformed})
        cr_expect(seen.contains(end));
    cr_expect(statuses.contains(200) && statuses.contains(503) && statuses.contains(429));
    cr_expect(surplus > 0);
}

/// A run that a worker's end cuts off counts: its caller may have been told that it did not run.
Test(answer_fault_proxy, request_that_is_at_work_when_its_worker_ends_counts_as_run)
{
    auto const port = reserve_port();
    Worker worker(options_at(port.address(), Duration {60'000'000}));
    soak::CallerConnection connection(runtime::ToString(port.address()), call_limit);
    cr_assert(connection.exchange(request_of("a-1"), call_limit).end == soak::ExchangeEnd::Silent);
    worker.Stop();
    auto const runs = worker.runs();
    cr_assert_eq(runs.size(), 1U);
    cr_assert_eq(runs.front().attempt, "a-1");
}
