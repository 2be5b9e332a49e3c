#include "src/http/upstream_client.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "src/http/header_rules.h"
#include "src/runtime/clock.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

namespace {

using routing::AttemptEnd;

std::int64_t MillisLeft(const routing::AttemptSend& send, Instant now) {
  // Rounded up: a server refuses a request with 0 left.
  return (std::max(Duration{0}, send.give_up_at - now).count() + 999) / 1000;
}

httplib::Request BuildRequest(const routing::AttemptSend& send, const ForwardedRequest& forwarded,
                              Instant now) {
  httplib::Request request;
  request.method = forwarded.method;
  request.path = forwarded.target;
  request.body = forwarded.body;
  // The library's map compares names letter by letter without case, and most of ours begin alike:
  // given in the map's order, each is compared once.
  const auto add = [&request](const char* name, std::string value) {
    request.headers.emplace_hint(request.headers.end(), name, std::move(value));
  };
  add(kAttemptHeader, send.attempt_header);
  add(kDeadlineHeader, std::to_string(MillisLeft(send, now)));
  if (send.shard) add(kEpochHeader, std::to_string(send.epoch.value));
  for (const auto& [name, value] : forwarded.headers) {
    request.headers.emplace_hint(request.headers.end(), name, value);
  }
  if (send.shard) add(kShardHeader, std::to_string(*send.shard));
  return request;
}

/// What an answer's status and mark mean; an answer without the mark counts as "it ran".
AttemptEnd MeaningOf(const httplib::Response& response) {
  const std::string outcome = response.get_header_value(kOutcomeHeader);
  if (outcome == kUnknownMark) return AttemptEnd::kServerUnknown;
  if (outcome != kNotRunMark) return AttemptEnd::kAnswered;
  switch (response.status) {
    case 421:
      return AttemptEnd::kNotOwner;
    case 429:
      return AttemptEnd::kShed;
    case 503:
      return AttemptEnd::kNotReady;
    case 504:
      return AttemptEnd::kDeadlinePassed;
    default:
      return AttemptEnd::kAnswered;  // The mark is only valid with those.
  }
}

std::optional<Duration> RetryAfterOf(const httplib::Response& response) {
  const std::string text = response.get_header_value("Retry-After");
  std::uint32_t seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  constexpr std::uint32_t kSecondsMaximum = 3600;
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return {};
  return std::chrono::seconds(std::min(seconds, kSecondsMaximum));
}

}  // namespace

void UpstreamClient::Announce(routing::AttemptNumber attempt) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  shard.attempts.try_emplace(attempt);
}

void UpstreamClient::Cancel(routing::AttemptNumber attempt) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.attempts.find(attempt);
  if (found == shard.attempts.end()) return;
  found->second.cancelled = true;
  // Under the lock, so that the connection can not be given back and used by another meanwhile.
  if (found->second.connection != nullptr) found->second.connection->Cancel();
}

std::size_t UpstreamClient::attempts() {
  std::size_t count = 0;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    count += shard.attempts.size();
  }
  return count;
}

bool UpstreamClient::Attach(routing::AttemptNumber attempt, UpstreamConnection& connection) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  Attempt& entry = shard.attempts[attempt];
  entry.connection = &connection;
  return !entry.cancelled;
}

bool UpstreamClient::Detach(routing::AttemptNumber attempt) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.attempts.find(attempt);
  if (found == shard.attempts.end()) return false;
  const bool cancelled = found->second.cancelled;
  shard.attempts.erase(found);
  return cancelled;
}

std::unique_ptr<UpstreamConnection> UpstreamClient::Open(const routing::AttemptSend& send) const {
  const Outcome<runtime::SocketAddress> address =
      graniteseam::Attempt([&] { return runtime::ParseSocketAddress(send.address); });
  if (ErrorOf(address) != nullptr) return nullptr;
  return UpstreamConnection::Open(
      std::get<runtime::SocketAddress>(address),
      std::min(send.give_up_at, runtime::BootTimeNow() + options_.connect_maximum),
      options_.tls.get());
}

UpstreamAnswer UpstreamClient::Run(const routing::AttemptSend& send,
                                   const ForwardedRequest& request) {
  UpstreamAnswer answer;
  answer.result.request = send.request;
  answer.result.attempt = send.attempt;
  answer.result.end = AttemptEnd::kNotSent;
  std::unique_ptr<UpstreamConnection> kept = pool_.Take(send.address, runtime::BootTimeNow());
  // A kept connection that breaks before a byte of the request went out says nothing about the
  // server: a new one is tried.
  if (!kept || !Exchange(send, request, std::move(kept), answer)) {
    std::unique_ptr<UpstreamConnection> fresh = Open(send);
    if (fresh) Exchange(send, request, std::move(fresh), answer);
  }
  Detach(send.attempt);
  return answer;
}

bool UpstreamClient::Exchange(const routing::AttemptSend& send, const ForwardedRequest& request,
                              std::unique_ptr<UpstreamConnection> connection,
                              UpstreamAnswer& answer) {
  httplib::Request outgoing = BuildRequest(send, request, runtime::BootTimeNow());
  httplib::Response response;
  // Attached only while the connection is this attempt's: Cancel() can not reach it later.
  const bool wanted = Attach(send.attempt, *connection);
  const ExchangeEnd end = wanted ? connection->Exchange(outgoing, response, send.give_up_at,
                                                        options_.answer_bytes_maximum)
                                 : ExchangeEnd::kNotSent;
  if (end == ExchangeEnd::kNotSent) {
    Release(send.attempt);
    return false;
  }
  const bool cancelled = Detach(send.attempt);
  answer.result.end = AttemptEnd::kBroken;
  // A wrong or missing echo: this may be the answer to another request. Nobody gets it.
  if (end != ExchangeEnd::kWhole || response.get_header_value_count(kAttemptHeader) != 1 ||
      response.get_header_value(kAttemptHeader) != send.attempt_header) {
    return true;
  }
  answer.result.end = MeaningOf(response);
  answer.result.status = response.status;
  answer.result.retry_after = RetryAfterOf(response);
  for (const auto& [name, value] : response.headers) {
    if (GoesToCaller(name)) answer.headers.emplace_back(name, value);
  }
  answer.body = std::move(response.body);
  if (!cancelled && !connection->close_asked()) {
    pool_.Keep(send.address, std::move(connection), runtime::BootTimeNow());
  }
  return true;
}

void UpstreamClient::Release(routing::AttemptNumber attempt) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.attempts.find(attempt);
  if (found != shard.attempts.end()) found->second.connection = nullptr;
}

}  // namespace graniteseam::http
