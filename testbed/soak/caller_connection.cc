#include "testbed/soak/caller_connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>

#include "src/runtime/clock.h"

namespace graniteseam::testbed::soak {

namespace {

    namespace http = boost::beast::http;

    constexpr std::size_t read_bytes = 8'192;
    /// How closely it is known until when a connection was open.
    constexpr Duration look_interval {20'000};

    /// @return whether the descriptor is ready before `end`.
    auto wait_for(int descriptor, short events, Instant end) -> bool
    {
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(end - runtime::BootTimeNow());
        if (left.count() <= 0)
            return false;
        pollfd look {descriptor, events, 0};
        return ::poll(&look, 1, static_cast<int>(left.count())) > 0;
    }

    auto parse_address(std::string const& text) -> sockaddr_in
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        auto const colon = text.find(':');
        ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
        return address;
    }

} // namespace

CallerConnection::CallerConnection(std::string const& text, Duration limit)
{
    auto const end = runtime::BootTimeNow() + limit;
    auto const address = parse_address(text);
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (m_descriptor < 0)
        return;
    int const yes = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    if (::connect(m_descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0)
        return;
    int error = errno;
    if (error == EINPROGRESS && wait_for(m_descriptor, POLLOUT, end)) {
        socklen_t length = sizeof(error);
        ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error == 0)
            return;
    }
    close();
}

CallerConnection::~CallerConnection()
{
    close();
}

auto CallerConnection::close() -> void
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

auto CallerConnection::exchange(event_http::Request const& request, Duration limit) -> ExchangeOutcome
{
    return exchange_ahead({&request, 1}, limit).front();
}

auto CallerConnection::exchange_ahead(std::span<event_http::Request const> requests, Duration limit)
    -> std::vector<ExchangeOutcome>
{
    auto const end = runtime::BootTimeNow() + limit;
    std::vector<ExchangeOutcome> outcomes;
    std::string bytes;
    for (auto const& request : requests)
        bytes += event_http::Serialize(request);
    auto const early = has_early_bytes();
    if (early || !write(bytes, end)) {
        close();
        outcomes.emplace_back().end = early ? ExchangeEnd::Malformed : ExchangeEnd::NotSent;
        return outcomes;
    }
    auto const sent = runtime::BootTimeNow();
    while (outcomes.size() < requests.size() && open()) {
        auto& outcome = outcomes.emplace_back(read_answer(sent, end));
        auto const last = outcomes.size() == requests.size();
        if (last && outcome.end == ExchangeEnd::Answered && !m_unread.empty())
            outcome.end = ExchangeEnd::Malformed;
        take_end(outcome);
    }
    return outcomes;
}

auto CallerConnection::has_early_bytes() const -> bool
{
    char early = 0;
    return ::recv(m_descriptor, &early, 1, MSG_PEEK) > 0;
}

auto CallerConnection::write(std::string const& bytes, Instant end) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const n = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        auto const full = n < 0 && (errno == EAGAIN || errno == EINTR);
        if (!full || !wait_for(m_descriptor, POLLOUT, end))
            return false;
    }
    return true;
}

auto CallerConnection::take_end(ExchangeOutcome const& outcome) -> void
{
    auto const goes_on = outcome.end == ExchangeEnd::Answered && !outcome.closes;
    m_answered = m_answered || goes_on;
    if (!goes_on)
        close();
}

auto CallerConnection::await_bytes(Instant sent, Instant end, ExchangeOutcome& outcome) const -> bool
{
    for (auto now = runtime::BootTimeNow(); now < end; now = runtime::BootTimeNow()) {
        auto const look_end = std::min(end, now + look_interval);
        if (wait_for(m_descriptor, POLLIN, look_end))
            return true;
        outcome.known_open = now - sent;
    }
    return false;
}

auto CallerConnection::read_answer(Instant sent, Instant end) -> ExchangeOutcome
{
    ExchangeOutcome outcome;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    std::array<char, read_bytes> buf {};
    while (true) {
        boost::system::error_code ec;
        auto const used = m_unread.empty() ? 0 : parser.put(boost::asio::buffer(m_unread), ec);
        m_unread.erase(0, used);
        if (ec && ec != http::error::need_more) {
            outcome.end = ExchangeEnd::Malformed;
            return outcome;
        }
        if (parser.is_done())
            break;
        if (!await_bytes(sent, end, outcome))
            return outcome;
        auto const n = ::recv(m_descriptor, buf.data(), buf.size(), 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n <= 0) {
            outcome.end = n == 0 ? ExchangeEnd::Closed : ExchangeEnd::Reset;
            return outcome;
        }
        m_unread.append(buf.data(), static_cast<std::size_t>(n));
    }
    outcome.end = ExchangeEnd::Answered;
    auto const& message = parser.get();
    outcome.closes = !message.keep_alive();
    outcome.response.status = static_cast<int>(message.result_int());
    outcome.response.body = message.body();
    for (auto const& field : message)
        outcome.response.fields.Add(std::string_view(field.name_string().data(), field.name_string().size()),
            std::string_view(field.value().data(), field.value().size()));
    return outcome;
}

} // namespace graniteseam::testbed::soak
