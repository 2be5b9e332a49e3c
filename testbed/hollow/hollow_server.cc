#include "testbed/hollow/hollow_server.h"

#include <sys/socket.h>

#include "src/runtime/clock.h"
#include "testbed/server/lease_messages.h"

namespace graniteseam::testbed {

namespace {

/// The control leader keeps one connection; a second one is for its successor.
constexpr std::size_t kConnections = 2;
/// Short, since a server that is killed waits for it: the port is used for renewals alone, which
/// come several times a second.
constexpr time_t kIdleSeconds = 1;
constexpr std::size_t kRequestsPerConnection = 1'000'000'000;
constexpr int kBadRequest = 400;
constexpr char kJson[] = "application/json";

std::uint64_t HeadBytes(const httplib::Headers& headers) {
  constexpr std::uint64_t kFirstLine = 48;
  constexpr std::uint64_t kPerHeader = 4;  // ": " and the line end.
  std::uint64_t bytes = kFirstLine;
  for (const auto& [name, value] : headers) bytes += name.size() + value.size() + kPerHeader;
  return bytes;
}

}  // namespace

HollowServer::HollowServer(ServerId id, EventLog& events) : id_(std::move(id)), events_(events) {}

HollowServer::~HollowServer() { Kill(); }

Result<void> HollowServer::Start() {
  {
    const std::lock_guard lock(mutex_);
    owner_ = std::make_unique<lease::FencedOwner>(id_, Incarnation{runtime::RandomBits() >> 1U});
  }
  server_ = std::make_unique<httplib::Server>();
  server_->new_task_queue = [] { return new httplib::ThreadPool(kConnections); };
  server_->set_keep_alive_max_count(kRequestsPerConnection);
  server_->set_keep_alive_timeout(kIdleSeconds);
  server_->set_tcp_nodelay(true);
  server_->set_socket_options([](socket_t descriptor) {
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
  server_->Post("/graniteseam/v1/lease",
                [this](const httplib::Request& request, httplib::Response& response) {
                  Answer(request, response);
                });
  bool bound = false;
  if (address_.port == 0) {
    const int port = server_->bind_to_any_port(address_.ip);
    bound = port > 0;
    if (bound) address_.port = static_cast<std::uint16_t>(port);
  } else {
    bound = server_->bind_to_port(address_.ip, address_.port);
  }
  if (!bound) {
    return Fail(ErrorKind::kUnavailable, "Can't listen on " + runtime::ToString(address_) + ".",
                "Run fewer hollow servers, or free the port.");
  }
  thread_ = std::thread([server = server_.get()] { server->listen_after_bind(); });
  while (!server_->is_running()) std::this_thread::yield();
  return {};
}

std::vector<lease::ShardGrant> HollowServer::Kill() {
  std::vector<lease::ShardGrant> held;
  {
    const std::lock_guard lock(mutex_);
    if (owner_) held = owner_->Held();
    owner_.reset();
  }
  if (!thread_.joinable()) return held;
  server_->stop();
  thread_.join();
  server_.reset();
  return held;
}

HollowServerStats HollowServer::Stats() const {
  const std::lock_guard lock(mutex_);
  HollowServerStats stats = stats_;
  stats.shards = owner_ ? owner_->Held().size() : 0;
  return stats;
}

void HollowServer::Answer(const httplib::Request& request, httplib::Response& response) {
  const auto parsed = Attempt([&] { return ParseLeaseRequest(request.body); });
  const std::lock_guard lock(mutex_);
  if (ErrorOf(parsed) != nullptr || !owner_) {
    response.status = kBadRequest;
    return;
  }
  response.set_content(FormatLeaseAnswer(Take(std::get<lease::LeaseRequest>(parsed))), kJson);
  ++stats_.exchanges;
  stats_.bytes += HeadBytes(request.headers) + request.body.size() + HeadBytes(response.headers) +
                  response.body.size();
}

lease::LeaseAnswer HollowServer::Take(const lease::LeaseRequest& request) {
  const Instant now = runtime::BootTimeNow();
  if (owner_->lease_end() != Instant{} && !owner_->LeaseValid(now)) ++stats_.lapses;
  lease::LeaseAnswer answer = owner_->Take(request, now);
  if (!answer.accepted) return answer;
  if (request.order.term != last_term_) {
    last_term_ = request.order.term;
    events_.Add({{"kind", "term"}, {"at_us", ToMicros(now)}, {"term", last_term_.value}});
  }
  if (!request.grants.empty()) {
    nlohmann::json shards = nlohmann::json::array();
    for (const auto& grant : request.grants) shards.push_back(grant.shard.index);
    events_.Add({{"kind", "grant"},
                 {"at_us", ToMicros(now)},
                 {"server", id_.value},
                 {"shards", std::move(shards)}});
  }
  return answer;
}

}  // namespace graniteseam::testbed
