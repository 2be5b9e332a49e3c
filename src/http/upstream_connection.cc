#include "src/http/upstream_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include "src/http/socket_connect.h"

namespace graniteseam::http {

namespace {

constexpr std::size_t kHeadBytesMaximum = 65536;
constexpr Duration kReadTick{100'000};

/// Without either the end of the body is the end of the connection, and a cut looks like an end.
bool EndOfBodyIsKnown(const httplib::Request& request, const httplib::Response& response) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (request.method == "HEAD" || response.status == kNoContent ||
      response.status == kNotModified) {
    return true;
  }
  return response.has_header("Content-Length") || response.has_header("Transfer-Encoding");
}

bool SaysClose(const httplib::Response& response) {
  return response.version != "HTTP/1.1" || response.get_header_value("Connection") == "close";
}

}  // namespace

std::unique_ptr<UpstreamConnection> UpstreamConnection::Open(const runtime::SocketAddress& address,
                                                             Instant deadline, TlsContext* tls) {
  if (tls == nullptr && !runtime::IsLoopback(address)) return nullptr;
  const int descriptor = ConnectWithin(address, deadline);
  if (descriptor < 0) return nullptr;
  auto connection =
      std::unique_ptr<UpstreamConnection>(new UpstreamConnection(address, descriptor));
  if (tls == nullptr) return connection;
  connection->stream_.Begin(deadline, kHeadBytesMaximum);
  if (!connection->stream_.StartTls(tls->NewSession(descriptor, address.ip))) return nullptr;
  return connection;
}

UpstreamConnection::UpstreamConnection(const runtime::SocketAddress& address, int descriptor)
    : httplib::ClientImpl(address.ip, address.port),
      descriptor_(descriptor),
      stream_(descriptor, kReadTick),
      answer_(stream_, kHeadBytesMaximum) {
  set_url_encode(false);  // The caller's path goes on byte for byte.
  set_decompress(false);
}

UpstreamConnection::~UpstreamConnection() { ::close(descriptor_); }

ExchangeEnd UpstreamConnection::Exchange(httplib::Request& request, httplib::Response& response,
                                         Instant deadline, std::size_t answer_bytes_maximum) {
  stream_.Begin(deadline, answer_bytes_maximum + kHeadBytesMaximum);
  answer_.Begin();
  httplib::Error error = httplib::Error::Success;
  const bool whole = process_request(answer_, request, response, false, error);
  if (!whole) return stream_.AnythingSent() ? ExchangeEnd::kBroken : ExchangeEnd::kNotSent;
  if (!EndOfBodyIsKnown(request, response)) return ExchangeEnd::kBroken;
  close_asked_ = SaysClose(response);
  return ExchangeEnd::kWhole;
}

bool UpstreamConnection::Reusable() { return stream_.Silent(); }

void UpstreamConnection::Cancel() { ::shutdown(descriptor_, SHUT_RDWR); }

}  // namespace graniteseam::http
