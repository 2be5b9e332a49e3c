// What hostile clients send, as a server meets it.
#include "testbed/soak/hostile_clients.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

struct Listener {
    int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    std::string address;

    Listener()
    {
        sockaddr_in bound {};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(bound);
        cr_assert(::bind(descriptor, reinterpret_cast<sockaddr*>(&bound), size) == 0);
        cr_assert(::listen(descriptor, 16) == 0);
        cr_assert(::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size) == 0);
        address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }
    ~Listener() { ::close(descriptor); }
};

/// What one client sends on its first connection, until there are so many bytes.
auto sent_by(soak::Hostility hostility, std::size_t bytes) -> std::string
{
    Listener const listener;
    std::jthread const client([&](std::stop_token const& stop) {
        soak::run_hostile_client({listener.address}, static_cast<std::uint64_t>(hostility), stop);
    });
    auto const connection = ::accept(listener.descriptor, nullptr, nullptr);
    std::string all;
    char buffer[4096];
    while (all.size() < bytes) {
        auto const taken = ::recv(connection, buffer, sizeof(buffer), 0);
        cr_assert(taken > 0, "It ended after %zu bytes.", all.size());
        all.append(buffer, static_cast<std::size_t>(taken));
    }
    ::close(connection);
    return all;
}

} // namespace

Test(hostile_clients, send_more_than_any_limit_outside_of_a_body, .timeout = 60)
{
    constexpr std::size_t bytes = 500'000;
    auto const trailer = sent_by(soak::Hostility::EndlessTrailer, bytes);
    cr_assert(trailer.find("\r\n\r\n0\r\nField: value\r\nField: ") != std::string::npos);
    auto const extension = sent_by(soak::Hostility::EndlessExtension, bytes);
    cr_assert(extension.find("\r\n\r\n4;xxx") != std::string::npos);
    cr_assert(extension.find("x\r\n") == std::string::npos);
}

Test(hostile_clients, stop_just_short_of_a_body_and_ask_without_reading, .timeout = 60)
{
    constexpr std::size_t nearly_whole = 1'000'000;
    cr_assert(sent_by(soak::Hostility::ShortBody, nearly_whole).find("Content-Length: 1000000\r\n")
        != std::string::npos);
    auto const chunks = sent_by(soak::Hostility::ShortChunks, nearly_whole);
    cr_assert(chunks.find("4\r\nbody\r\n") != std::string::npos);
    cr_assert(chunks.find("\r\n0\r\n") == std::string::npos);
    auto const requests = sent_by(soak::Hostility::SlowReader, 16'384);
    cr_assert(requests.starts_with("GET ") && requests.find("GET ", 1) != std::string::npos);
}
