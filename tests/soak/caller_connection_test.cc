#include "testbed/soak/caller_connection.h"

#include <criterion/criterion.h>

#include <boost/asio/post.hpp>
#include <optional>

#include "src/event_http/server.h"
#include "src/runtime/event_loop.h"

using namespace graniteseam;
using namespace graniteseam::testbed::soak;

namespace {

constexpr Duration limit {5'000'000};

/// Answers "/ok"; closes the connection where another path is asked for, without an answer.
class Router {
public:
    Router()
        : m_server(std::in_place, m_loop.context(), options(),
            [this](auto const& exchange) { on_exchange(exchange); })
    {
        cr_assert(ErrorOf(Attempt([this] { return m_server->Start(); })) == nullptr);
    }
    ~Router() { m_loop.Stop(); }

    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(m_server->port()); }

private:
    static auto options() -> event_http::ServerOptions
    {
        event_http::ServerOptions options;
        options.address = {"127.0.0.1", 0};
        return options;
    }

    auto on_exchange(std::shared_ptr<event_http::Exchange> const& exchange) -> void
    {
        if (exchange->request().Path() == "/ok")
            return exchange->Respond({});
        if (exchange->request().Path() == "/last") {
            m_server->BeginDrain();
            return exchange->Respond({});
        }
        boost::asio::post(m_loop.context(), [this, exchange] { m_server.reset(); });
    }

    runtime::EventLoop m_loop;
    std::optional<event_http::Server> m_server;
};

auto get(std::string const& path) -> event_http::Request
{
    event_http::Request request;
    request.method = "GET";
    request.target = path;
    request.fields.Add("Host", "a.example");
    return request;
}

} // namespace

Test(caller_connection, is_kept_after_a_whole_answer)
{
    Router const router;
    CallerConnection connection(router.address(), limit);
    cr_assert(connection.open() && !connection.kept());
    cr_assert(connection.exchange(get("/ok"), limit).end == ExchangeEnd::Answered);
    cr_assert(connection.open() && connection.kept());
    cr_assert(connection.exchange(get("/ok"), limit).response.status == 200);
}

Test(caller_connection, close_without_an_answer_is_told_from_an_answer_that_closes)
{
    Router const router;
    CallerConnection connection(router.address(), limit);
    cr_assert(connection.exchange(get("/ok"), limit).end == ExchangeEnd::Answered);
    cr_assert(connection.exchange(get("/gone"), limit).end == ExchangeEnd::Closed);
    cr_assert(!connection.open() && connection.kept());

    Router const other;
    CallerConnection leaving(other.address(), limit);
    auto const last = leaving.exchange(get("/last"), limit);
    cr_assert(last.end == ExchangeEnd::Answered && last.closes);
    cr_assert(!leaving.open());
}

Test(caller_connection, nobody_listens)
{
    CallerConnection const connection("127.0.0.1:1", limit);
    cr_assert(!connection.open());
}
