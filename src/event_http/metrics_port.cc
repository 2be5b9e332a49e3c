#include "src/event_http/metrics_port.h"

#include <utility>

#include "src/runtime/log.h"

namespace graniteseam::event_http {
namespace {

constexpr std::size_t kConnectionsMaximum = 8;

ServerOptions OptionsFor(runtime::SocketAddress address) {
  ServerOptions options;
  options.address = std::move(address);
  options.connections_maximum = kConnectionsMaximum;
  return options;
}

}  // namespace

MetricsPort::MetricsPort(boost::asio::io_context& context, runtime::SocketAddress address,
                         const runtime::MetricsRegistry& registry)
    : server_(context, OptionsFor(std::move(address)), [&registry](const auto& exchange) {
        Response response;
        if (exchange->request().Path() == "/metrics") {
          response.fields.Add("Content-Type", runtime::kMetricsContentType);
          response.body = registry.Text();
        } else {
          response.status = 404;
        }
        exchange->Respond(response);
      }) {}

std::unique_ptr<MetricsPort> OpenMetricsPort(boost::asio::io_context& context,
                                             const runtime::SocketAddress& address,
                                             const runtime::MetricsRegistry& registry) {
  if (address.ip.empty()) return nullptr;
  auto port = std::make_unique<MetricsPort>(context, address, registry);
  boost::leaf::try_handle_all([&] { return port->Start(); },
                              [&](const Error& error) {
                                runtime::Logger("metrics").Warning(error);
                                port.reset();
                              },
                              [&] { port.reset(); });
  return port;
}

}  // namespace graniteseam::event_http
