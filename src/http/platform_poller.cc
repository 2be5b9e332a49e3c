#include "src/http/platform_poller.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "src/http/async_http_client.h"
#include "src/http/json_binding.h"
#include "src/runtime/log.h"

namespace graniteseam::http {
namespace {

constexpr char kMachinesPath[] = "/v1/machines";
constexpr int kStatusOk = 200;

struct WireMachine {
  ServerId server;
  ServiceName service;
  std::string address;
  ZoneName zone;
  bool leaving = false;
};
BOOST_DESCRIBE_STRUCT(WireMachine, (), (server, service, address, zone, leaving))

struct WireMachines {
  std::vector<WireMachine> machines;
};
BOOST_DESCRIBE_STRUCT(WireMachines, (), (machines))

}  // namespace

Result<control::PlatformList> ReadMachines(const std::string& json) {
  BOOST_LEAF_AUTO(wire, FromJsonText<WireMachines>(json, /*lenient=*/false));
  control::PlatformList list;
  for (WireMachine& machine : wire.machines) {
    BOOST_LEAF_CHECK(runtime::ParseSocketAddress(machine.address));
    list.machines.push_back(
        {machine.server, machine.service, machine.address, machine.zone, machine.leaving});
  }
  return list;
}

/// Runs on the event loop's thread.
class PlatformPoller::Impl : public std::enable_shared_from_this<PlatformPoller::Impl> {
 public:
  Impl(PlatformPollerOptions options, runtime::EventLoop& loop, runtime::MetricsRegistry& metrics,
       std::function<bool()> wanted, ListHandler on_list);

  void Begin();
  runtime::EventLoop& loop() { return loop_; }
  void HangUp() { sources_.clear(); }

 private:
  struct Source {
    std::unique_ptr<AsyncHttpClient> client;
    control::PlatformList list;  ///< What it said last.
    bool answers = true;
  };

  void Poll();
  void OnReply(std::size_t index, const Outcome<HttpReply>& reply);
  void NoteFailure(Source& source, const Error& error);
  control::PlatformList Union() const;

  PlatformPollerOptions options_;
  runtime::EventLoop& loop_;
  std::function<bool()> wanted_;
  ListHandler on_list_;
  runtime::CounterHandle answered_;
  runtime::CounterHandle failed_;
  std::vector<Source> sources_;
  boost::asio::steady_timer timer_;
  runtime::Logger log_{"control.platform"};
};

PlatformPoller::Impl::Impl(PlatformPollerOptions options, runtime::EventLoop& loop,
                           runtime::MetricsRegistry& metrics, std::function<bool()> wanted,
                           ListHandler on_list)
    : options_(std::move(options)),
      loop_(loop),
      wanted_(std::move(wanted)),
      on_list_(std::move(on_list)),
      answered_(metrics.Counter(runtime::Metric::kControlPlatformPolls, {{"result", "answered"}})),
      failed_(metrics.Counter(runtime::Metric::kControlPlatformPolls, {{"result", "failed"}})),
      timer_(loop.context()) {}

void PlatformPoller::Impl::Begin() {
  for (const runtime::SocketAddress& address : options_.addresses) {
    Source& source = sources_.emplace_back();
    source.client = std::make_unique<AsyncHttpClient>(loop_, address, options_.tls);
  }
  Poll();
}

void PlatformPoller::Impl::Poll() {
  for (std::size_t index = 0; index < sources_.size() && wanted_(); ++index) {
    if (sources_[index].client->busy()) continue;
    sources_[index].client->Start(
        {false, kMachinesPath, ""}, options_.call_limit,
        [this, index](const Outcome<HttpReply>& reply) { OnReply(index, reply); });
  }
  timer_.expires_after(options_.interval);
  timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) self->Poll();
  });
}

void PlatformPoller::Impl::OnReply(std::size_t index, const Outcome<HttpReply>& reply) {
  Source& source = sources_[index];
  if (const Error* error = ErrorOf(reply)) return NoteFailure(source, *error);
  const auto& answer = std::get<HttpReply>(reply);
  const auto list = Attempt([&]() -> Result<control::PlatformList> {
    if (answer.status != kStatusOk) {
      return Fail(ErrorKind::kUnavailable,
                  "The platform answered with status " + std::to_string(answer.status) + ".",
                  "Check the platform's list.");
    }
    return ReadMachines(answer.body);
  });
  if (const Error* error = ErrorOf(list)) return NoteFailure(source, *error);
  answered_.Increment();
  source.answers = true;
  source.list = std::get<control::PlatformList>(list);
  on_list_(Union());
}

/// Keeps the last list: the platform's silence is no news about the machines.
void PlatformPoller::Impl::NoteFailure(Source& source, const Error& error) {
  failed_.Increment();
  if (source.answers) log_.Warning(error);
  source.answers = false;
}

control::PlatformList PlatformPoller::Impl::Union() const {
  control::PlatformList all;
  for (const Source& source : sources_) {
    all.machines.insert(all.machines.end(), source.list.machines.begin(),
                        source.list.machines.end());
  }
  return all;
}

PlatformPoller::PlatformPoller(PlatformPollerOptions options, runtime::EventLoop& loop,
                               runtime::MetricsRegistry& metrics, std::function<bool()> wanted,
                               ListHandler on_list)
    : impl_(std::make_shared<Impl>(std::move(options), loop, metrics, std::move(wanted),
                                   std::move(on_list))) {
  boost::asio::post(loop.context(), [impl = impl_] { impl->Begin(); });
}

PlatformPoller::~PlatformPoller() { impl_->HangUp(); }

}  // namespace graniteseam::http
