// The stand-in worker whose keys come by heartbeat, against a registry that answers as it is told.
#include <criterion/criterion.h>

#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

#include "src/event_http/server.h"
#include "src/runtime/event_loop.h"
#include "testbed/fleet/await.h"
#include "testbed/registered/http_call.h"
#include "testbed/registered/worker.h"

using namespace graniteseam;
using namespace graniteseam::testbed;
using nlohmann::json;

namespace {

constexpr Duration patience {30'000'000};
constexpr Duration call_limit {5'000'000};

/// Answers each heartbeat with the same rows, and keeps what heartbeats said. Thread safe.
class Registry {
public:
    Registry()
        : m_server(m_loop.context(), options(), [this](auto const& exchange) { on_exchange(exchange); })
    {
        cr_assert(ErrorOf(Attempt([this] { return m_server.Start(); })) == nullptr);
    }
    ~Registry() { m_loop.Stop(); }

    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(m_server.port()); }
    auto answer(json const& body) -> void
    {
        std::lock_guard const lock(m_mutex);
        m_answer = body;
    }
    auto beats() const -> std::vector<json>
    {
        std::lock_guard const lock(m_mutex);
        return m_beats;
    }

private:
    static auto options() -> event_http::ServerOptions
    {
        event_http::ServerOptions options;
        options.address = {"127.0.0.1", 0};
        return options;
    }

    auto on_exchange(std::shared_ptr<event_http::Exchange> const& exchange) -> void
    {
        std::lock_guard const lock(m_mutex);
        m_beats.push_back(json::parse(exchange->request().body));
        event_http::Response response;
        response.body = m_answer.dump();
        exchange->Respond(response);
    }

    runtime::EventLoop m_loop;
    event_http::Server m_server;
    mutable std::mutex m_mutex; ///< Guards what follows.
    json m_answer = json::object();
    std::vector<json> m_beats;
};

auto await(std::string const& what, std::function<bool()> const& condition) -> void
{
    auto const waited = Attempt(
        [&] { return testbed::Await(what, patience, [&]() -> Missing { return condition() ? "" : what; }); });
    cr_assert(ErrorOf(waited) == nullptr, "%s", what.c_str());
}

class Scene {
public:
    Scene()
    {
        WorkerOptions options;
        options.id = "w-1";
        options.service = "leased";
        options.keyed = options.leases = true;
        options.registries = {m_registry.address()};
        options.names = {"Attempt", "Time-Left", "Key", "Target", "Seal", "Load", "Not-Executed"};
        options.owner_names = {"/grant", "/release", "Handover"};
        options.heartbeat = Duration {20'000};
        m_worker.emplace(options);
        await("the first heartbeat", [&] { return !m_registry.beats().empty(); });
    }

    auto registry() -> Registry& { return m_registry; }
    auto last() const -> json { return m_registry.beats().back(); }
    auto ask(std::uint32_t key) -> int
    {
        event_http::Request request;
        request.method = "GET";
        request.target = "/leased/x";
        request.fields.Add("Host", "w-1");
        request.fields.Add("Attempt", "a-1");
        request.fields.Add("Key", std::to_string(key));
        return m_caller.Call(last()["address"], request, call_limit).response.status;
    }

private:
    Registry m_registry;
    std::optional<Worker> m_worker;
    HttpCaller m_caller;
};

auto leases(json const& rows) -> json
{
    return {{"keys_held", rows}, {"hold_ms", 60'000}};
}

} // namespace

Test(leased_worker, holds_what_answers_give_and_tells_it)
{
    Scene scene;
    cr_assert(scene.last()["keys_held"].empty());
    cr_assert(scene.ask(7) == 421);
    scene.registry().answer(leases({{0, 9, 5, ""}, {20, 29, 6, "h"}}));
    await("both rows to be told as held", [&] { return scene.last()["keys_held"].size() == 2; });
    cr_assert(scene.ask(7) == 200 && scene.ask(25) == 200 && scene.ask(15) == 421);
}

Test(leased_worker, lets_go_of_what_an_answer_leaves_out_and_tells_it)
{
    Scene scene;
    scene.registry().answer(leases({{0, 9, 5, ""}, {20, 29, 6, ""}}));
    await("both rows to be told as held", [&] { return scene.last()["keys_held"].size() == 2; });
    scene.registry().answer(leases({{0, 9, 5, ""}}));
    await("the release to be told", [&] {
        for (auto const& beat : scene.registry().beats()) {
            if (beat["keys_released"] == json {{20, 29, "handover-of-w-1"}})
                return true;
        }
        return false;
    });
    cr_assert(scene.ask(7) == 200 && scene.ask(25) == 421);
}

Test(leased_worker, keeps_its_leases_when_an_answer_names_none)
{
    Scene scene;
    scene.registry().answer(leases({{0, 9, 5, ""}}));
    await("the row to be told as held", [&] { return scene.last()["keys_held"].size() == 1; });
    scene.registry().answer(json::object());
    auto const before = scene.registry().beats().size();
    await("further heartbeats", [&] { return scene.registry().beats().size() > before + 3; });
    cr_assert(scene.last()["keys_held"].size() == 1);
    cr_assert(scene.ask(7) == 200);
}

Test(leased_worker, does_not_take_a_row_below_a_fence_that_it_has_seen)
{
    Scene scene;
    scene.registry().answer(leases({{0, 9, 5, ""}}));
    await("the row to be told as held", [&] { return scene.last()["keys_held"].size() == 1; });
    scene.registry().answer(leases({{0, 9, 4, ""}, {20, 29, 6, ""}}));
    await("the other row alone to be told as held", [&] {
        return scene.last()["keys_held"] == json {{20, 29, 6}};
    });
    cr_assert(scene.ask(7) == 421);
}
