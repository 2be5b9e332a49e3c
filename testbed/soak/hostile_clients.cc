#include "testbed/soak/hostile_clients.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <string_view>
#include <thread>

#include "src/runtime/clock.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::testbed::soak {

namespace {

    constexpr std::size_t body_bytes = 1'000'000;
    constexpr std::size_t piece_bytes = 16'384;
    constexpr std::chrono::milliseconds piece_pause {1};
    /// How long a connection is used, unless the other side ends it.
    constexpr Duration stay {3'000'000};
    /// A send that takes longer is given up, so that the client can be told to stop.
    constexpr suseconds_t send_limit_us = 100'000;
    constexpr char chunked[] = "Transfer-Encoding: chunked\r\n\r\n";

    auto head(std::string_view method, std::string_view fields) -> std::string
    {
        return std::string(method) + " /v1/traffic/configuration HTTP/1.1\r\nHost: hostile.example\r\n"
            + std::string(fields);
    }

    auto repeated(std::string_view text, std::size_t bytes) -> std::string
    {
        std::string all;
        while (all.size() < bytes)
            all += text;
        return all;
    }

    /// What a connection sends first, and then again and again.
    struct Script {
        std::string first;
        std::string rest; ///< Empty: nothing more.
    };

    auto script_of(Hostility hostility) -> Script
    {
        switch (hostility) {
        case Hostility::EndlessTrailer:
            return {head("POST", chunked) + "0\r\n", repeated("Field: value\r\n", piece_bytes)};
        case Hostility::EndlessExtension:
            return {head("POST", chunked) + "4;", repeated("x", piece_bytes)};
        case Hostility::ShortChunks:
            return {head("POST", chunked) + repeated("4\r\nbody\r\n", body_bytes), ""};
        case Hostility::ShortBody:
            return {head("POST", "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n")
                    + std::string(body_bytes - 1, 'b'),
                ""};
        case Hostility::SlowReader:
            break;
        }
        return {"", repeated(head("GET", "\r\n"), piece_bytes)};
    }

    class Connection {
    public:
        explicit Connection(runtime::SocketAddress const& address)
            : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
        {
            timeval const limit {0, send_limit_us};
            ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
            sockaddr_in peer {};
            peer.sin_family = AF_INET;
            peer.sin_port = htons(address.port);
            ::inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr);
            m_open = ::connect(m_descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0;
        }
        ~Connection() { ::close(m_descriptor); }
        Connection(Connection const&) = delete;
        auto operator=(Connection const&) -> Connection& = delete;

        auto is_open() const -> bool { return m_open; }

        /// Sends what the other side takes before the limit. @return the part of the bytes that is left.
        auto send(std::string_view bytes) -> std::string_view
        {
            auto const sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            m_open = sent >= 0 || errno == EAGAIN;
            bytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
            return bytes;
        }

    private:
        int m_descriptor;
        bool m_open = false;
    };

    auto be_hostile(Connection& connection, Script const& script, std::stop_token const& stop) -> void
    {
        auto const end = runtime::BootTimeNow() + stay;
        std::string_view left = script.first;
        while (connection.is_open() && !stop.stop_requested() && runtime::BootTimeNow() < end) {
            if (left.empty())
                left = script.rest;
            if (!left.empty())
                left = connection.send(left);
            std::this_thread::sleep_for(piece_pause);
        }
    }

} // namespace

auto run_hostile_client(
    std::vector<std::string> const& addresses, std::uint64_t seed, std::stop_token const& stop) -> void
{
    constexpr std::chrono::milliseconds between {20};
    for (auto turn = seed; !stop.stop_requested(); ++turn) {
        auto const address = Attempt(
            [&] { return runtime::ParseSocketAddress(addresses[turn / hostilities % addresses.size()]); });
        if (ErrorOf(address) != nullptr)
            return;
        Connection connection(std::get<runtime::SocketAddress>(address));
        be_hostile(connection, script_of(static_cast<Hostility>(turn % hostilities)), stop);
        std::this_thread::sleep_for(between);
    }
}

} // namespace graniteseam::testbed::soak
