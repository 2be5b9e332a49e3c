// What a client makes of answers whose chunk lines or trailers do not end, whose status is none, or
// that are interim.
#include "src/http/async_http_client.h"

#include <criterion/criterion.h>

#include <boost/asio/post.hpp>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "src/runtime/event_loop.h"
#include "tests/http/scripted_server.h"

using namespace graniteseam;

namespace {

/// What a call is told whose server sends `bytes`, each piece in a packet of its own, and then
/// nothing.
Outcome<http::HttpReply> ReplyTo(const std::string& bytes,
                                 const std::vector<std::string>& later = {}) {
  test::ScriptedServer server([&](const std::string& /*request*/, int /*number*/) {
    return test::Script{bytes, false, {}, later};
  });
  const auto address = std::get<runtime::SocketAddress>(
      Attempt([&] { return runtime::ParseSocketAddress(server.address()); }));
  runtime::EventLoop loop;
  std::promise<Outcome<http::HttpReply>> told;
  std::optional<http::AsyncHttpClient> client;
  boost::asio::post(loop.context(), [&] {
    client.emplace(loop, address);
    client->Start({false, "/", {}}, std::chrono::seconds(10),
                  [&](const Outcome<http::HttpReply>& reply) { told.set_value(reply); });
  });
  Outcome<http::HttpReply> reply = told.get_future().get();
  std::promise<void> gone;
  boost::asio::post(loop.context(), [&] {
    client.reset();
    gone.set_value();
  });
  gone.get_future().wait();
  return reply;
}

constexpr char kChunkedHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t kMuch = std::size_t{1} << 20;

void ExpectTooLarge(const std::string& bytes) {
  const auto reply = ReplyTo(bytes);
  const Error* const error = ErrorOf(reply);
  cr_assert(error != nullptr);
  cr_assert(error->kind == ErrorKind::kTooLarge, "%s", error->message.c_str());
}

}  // namespace

Test(async_http_client, chunk_extension_without_end_is_refused) {
  ExpectTooLarge(kChunkedHead + std::string("5;") + std::string(kMuch, 'x'));
}

Test(async_http_client, trailer_without_end_is_refused) {
  std::string trailer;
  while (trailer.size() < kMuch) trailer += "X-Trailer: " + std::string(1'000, 'x') + "\r\n";
  ExpectTooLarge(kChunkedHead + std::string("5\r\nhello\r\n0\r\n") + trailer);
}

// The parser asserts that the end of an empty body in chunks comes in one piece.
Test(async_http_client, split_end_of_an_empty_body_is_taken) {
  const auto reply = ReplyTo(kChunkedHead + std::string("0\r\n"), {"\r", "\n"});
  cr_assert(ErrorOf(reply) == nullptr);
  cr_assert(std::get<http::HttpReply>(reply).body.empty());
}

// Guards against a limit on lines that refuses bodies.
Test(async_http_client, long_body_in_chunks_is_taken) {
  const auto reply = ReplyTo(kChunkedHead + std::string("100000\r\n") + std::string(kMuch, 'x') +
                             "\r\n0\r\nX-Trailer: value\r\n\r\n");
  cr_assert(ErrorOf(reply) == nullptr);
  cr_assert_eq(std::get<http::HttpReply>(reply).body.size(), kMuch);
}

// Guards against a status beyond 100 to 599 that is told to the caller.
Test(async_http_client, status_that_is_none_is_refused) {
  for (const std::string status :
       {"000 No", "010 No", "099 No", "101 Switching Protocols", "600 No", "999 No", "20 No"}) {
    const auto reply = ReplyTo("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}");
    const Error* const error = ErrorOf(reply);
    cr_assert(error != nullptr, "%s", status.c_str());
    cr_assert(error->kind == ErrorKind::kMalformedMessage, "%s", error->message.c_str());
  }
}

// Guards against an interim answer that is taken for the final one, which then lies in the
// connection and is taken for the answer to the next call.
Test(async_http_client, interim_answers_are_skipped) {
  for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints", "199 x"}) {
    const auto reply = ReplyTo("HTTP/1.1 " + status + "\r\nLink: a\r\n\r\n",
                               {"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nab"});
    cr_assert(ErrorOf(reply) == nullptr, "%s", status.c_str());
    cr_assert_eq(std::get<http::HttpReply>(reply).status, 201, "%s", status.c_str());
    cr_assert(std::get<http::HttpReply>(reply).body == "ab");
  }
}

// Guards against a server that keeps a call open by interim answers.
Test(async_http_client, interim_answers_are_bounded) {
  std::string many;
  for (int i = 0; i < 17; ++i) many += "HTTP/1.1 103 Early Hints\r\n\r\n";
  const auto reply = ReplyTo(many + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  const Error* const error = ErrorOf(reply);
  cr_assert(error != nullptr);
  cr_assert(error->kind == ErrorKind::kMalformedMessage, "%s", error->message.c_str());
}

// Guards against a surplus answer, in the same packet or in a later one, that is taken for the
// answer to the next call over the kept connection.
Test(async_http_client, surplus_answer_is_not_taken_for_the_next_calls) {
  const auto answer = [](const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body;
  };
  const test::Script scripts[] = {{answer("first") + answer("extra"), false, {}},
                                  {answer("first"), false, {}, {answer("extra")}}};
  for (const test::Script& script : scripts) {
    test::ScriptedServer server([&](const std::string& /*request*/, int number) {
      return number == 1 ? script : test::Script{answer("other"), false, {}};
    });
    const auto address = std::get<runtime::SocketAddress>(
        Attempt([&] { return runtime::ParseSocketAddress(server.address()); }));
    runtime::EventLoop loop;
    std::optional<http::AsyncHttpClient> client;
    const auto call = [&] {
      std::promise<Outcome<http::HttpReply>> told;
      boost::asio::post(loop.context(), [&] {
        if (!client) client.emplace(loop, address);
        client->Start({false, "/", {}}, std::chrono::seconds(10),
                      [&](const Outcome<http::HttpReply>& reply) { told.set_value(reply); });
      });
      return std::get<http::HttpReply>(told.get_future().get()).body;
    };
    cr_assert(call() == "first");
    // The server sends the later packet after 50 ms.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    cr_assert(call() == "other");
    loop.Stop();
  }
}
