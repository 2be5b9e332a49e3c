#include "tests/http/scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace graniteseam::test {

namespace {

/// Reads one request; empty at the connection's end.
std::string ReadRequest(int descriptor) {
  std::string text;
  std::size_t wanted = 0;
  char buffer[4096];
  while (wanted == 0 || text.size() < wanted) {
    const ssize_t count = ::recv(descriptor, buffer, sizeof(buffer), 0);
    if (count <= 0) return {};
    text.append(buffer, static_cast<std::size_t>(count));
    const std::size_t head = text.find("\r\n\r\n");
    if (wanted != 0 || head == std::string::npos) continue;
    const std::string length = HeaderOf(text, "Content-Length");
    wanted = head + 4 + (length.empty() ? 0 : std::stoul(length));
  }
  return text;
}

}  // namespace

std::string Answer(int status, const std::string& body, const std::string& more_headers,
                   const std::string& attempt) {
  return "HTTP/1.1 " + std::to_string(status) +
         " x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nGraniteseam-Attempt: " + attempt + "\r\n" + more_headers + "\r\n" + body;
}

std::string HeaderOf(const std::string& request, const std::string& name) {
  const std::size_t at = request.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t start = at + name.size() + 4;
  return request.substr(start, request.find("\r\n", start) - start);
}

ScriptedServer::ScriptedServer(std::function<Script(const std::string&, int)> answer)
    : answer_(std::move(answer)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
  ::listen(listener_, 128);
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

ScriptedServer::~ScriptedServer() {
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int descriptor : descriptors_) ::shutdown(descriptor, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
  for (const int descriptor : descriptors_) ::close(descriptor);
}

void ScriptedServer::Accept() {
  for (;;) {
    const int descriptor = ::accept(listener_, nullptr, nullptr);
    if (descriptor < 0) return;
    ++connections_;
    const std::lock_guard lock(mutex_);
    descriptors_.push_back(descriptor);
    threads_.emplace_back([this, descriptor] { Serve(descriptor); });
  }
}

void ScriptedServer::Serve(int descriptor) {
  for (;;) {
    const std::string request = ReadRequest(descriptor);
    if (request.empty()) break;
    Script script = answer_(request, ++requests_);
    if (script.before) script.before();
    constexpr char kEcho[] = "{attempt}";
    const std::size_t echo = script.bytes.find(kEcho);
    if (echo != std::string::npos) {
      script.bytes.replace(echo, sizeof(kEcho) - 1, HeaderOf(request, "Graniteseam-Attempt"));
    }
    ::send(descriptor, script.bytes.data(), script.bytes.size(), MSG_NOSIGNAL);
    for (const std::string& bytes : script.later) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    if (script.close) break;
  }
  ::shutdown(descriptor, SHUT_RDWR);
}

}  // namespace graniteseam::test
