// The stand-in worker's word on orders and requests, over its own socket.
#include "testbed/registered/worker.h"

#include <criterion/criterion.h>

#include "testbed/fleet/reserved_port.h"
#include "testbed/registered/http_call.h"

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

constexpr Duration call_limit {5'000'000};

class Scene {
public:
    Scene()
    {
        m_options.service = "keyed";
        m_options.keyed = true;
        // Nobody listens there: what is tried here needs no control process.
        m_options.registries = {"127.0.0.1:1"};
        m_options.names = {"Attempt", "Time-Left", "Key", "Target", "Seal", "Load", "Not-Executed"};
        m_options.owner_names = {"/grant", "/release", "Handover"};
        m_options.address = m_port.address();
    }

    auto options() -> WorkerOptions& { return m_options; }

    auto start(std::string const& id) -> void
    {
        m_worker.reset();
        m_options.id = id;
        m_worker.emplace(m_options);
    }
    auto worker() -> Worker& { return *m_worker; }

    auto order(std::string const& path, std::string const& fence, std::string const& target) -> int
    {
        event_http::Request request;
        request.method = "POST";
        request.target = path;
        if (!target.empty())
            request.fields.Add("Target", target);
        request.body = R"({"from":0,"to":99,"fence":)" + fence + R"(,"hold_ms":60000})";
        return call(request);
    }

    auto ask(std::string const& target) -> int
    {
        event_http::Request request;
        request.method = "GET";
        request.target = "/keyed/x";
        request.fields.Add("Attempt", "a-1");
        request.fields.Add("Key", "7");
        if (!target.empty())
            request.fields.Add("Target", target);
        return call(request);
    }

private:
    auto call(event_http::Request request) -> int
    {
        auto const address = m_port.address().ip + ":" + std::to_string(m_port.address().port);
        request.fields.Add("Host", address);
        // The connection of a worker that ended is found closed at the first call after it.
        for (int sending = 0; sending < 3; ++sending) {
            auto const result = m_caller.Call(address, request, call_limit);
            if (result.end == event_http::CallEnd::kAnswered)
                return result.response.status;
        }
        return 0;
    }

    ReservedPort m_port
        = std::get<ReservedPort>(Attempt([] { return ReservedPort::Reserve("127.0.0.1", ""); }));
    WorkerOptions m_options;
    std::optional<Worker> m_worker;
    HttpCaller m_caller;
};

} // namespace

Test(worker, holds_no_keys_when_it_starts_also_at_the_address_of_another)
{
    Scene scene;
    scene.start("w-1");
    cr_assert(scene.ask("") == 421);
    cr_assert(scene.order("/grant", "5", "") == 200);
    cr_assert(scene.ask("w-1") == 200);
    scene.start("w-2");
    cr_assert(scene.ask("w-2") == 421);
    cr_assert(scene.ask("w-1") == 421);
}

Test(worker, refuses_a_grant_below_a_fence_that_it_has_seen)
{
    Scene scene;
    scene.start("w-1");
    cr_assert(scene.order("/grant", "5", "") == 200);
    cr_assert(scene.order("/grant", "4", "") == 409);
    cr_assert(scene.order("/release", "9", "") == 200);
    cr_assert(scene.order("/grant", "8", "") == 409);
    cr_assert(scene.ask("") == 421);
}

Test(worker, does_not_do_an_order_that_names_another_instance)
{
    Scene scene;
    scene.start("w-2");
    cr_assert(scene.order("/grant", "5", "w-1") == 421);
    cr_assert(scene.ask("") == 421);
    cr_assert(scene.order("/grant", "5", "w-2") == 200);
    cr_assert(scene.order("/release", "6", "w-1") == 421);
    cr_assert(scene.ask("") == 200);
    cr_assert(scene.worker().holds().size() == 1);
}

Test(worker, of_the_other_form_takes_no_orders)
{
    Scene scene;
    scene.options().leases = true;
    scene.start("w-1");
    cr_assert(scene.order("/grant", "5", "") == 404);
    cr_assert(scene.ask("") == 421);
}
