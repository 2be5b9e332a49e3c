#include "testbed/caller/traffic.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace graniteseam::testbed {

namespace {

constexpr double kMicrosPerSecond = 1e6;

Stream ReadStream(const toml::table& table) {
  Stream stream;
  stream.group = table["group"].value_or(std::string());
  stream.service = table["service"].value_or(std::string());
  stream.keyed = table["keyed"].value_or(stream.keyed);
  stream.key_prefix = table["key_prefix"].value_or(stream.key_prefix);
  stream.keys = table["keys"].value_or(stream.keys);
  stream.zipf_exponent = table["zipf_exponent"].value_or(stream.zipf_exponent);
  stream.repeatable = table["repeatable"].value_or(stream.repeatable);
  stream.rest = table["rest"].value_or(stream.rest);
  stream.share = table["share"].value_or(stream.share);
  stream.deadline_ms = table["deadline_ms"].value_or(stream.deadline_ms);
  stream.padding = table["padding"].value_or(stream.padding);
  stream.resend_fraction = table["resend_fraction"].value_or(stream.resend_fraction);
  return stream;
}

boost::leaf::error_id Invalid(const std::string& path, const std::string& what) {
  return Fail(ErrorKind::kInvalidSettings, path + ": " + what,
              "Compare it with the files in scenarios/traffic.");
}

/// Sums of the Zipf weights 1 / rank^exponent.
std::vector<double> ZipfSums(std::int64_t keys, double exponent) {
  std::vector<double> sums;
  sums.reserve(static_cast<std::size_t>(keys));
  double sum = 0.0;
  for (std::int64_t rank = 1; rank <= keys; ++rank) {
    sum += std::pow(static_cast<double>(rank), -exponent);
    sums.push_back(sum);
  }
  return sums;
}

std::vector<double> Shares(const std::vector<Stream>& streams) {
  std::vector<double> shares;
  shares.reserve(streams.size());
  for (const auto& stream : streams) shares.push_back(stream.share);
  return shares;
}

}  // namespace

Result<std::vector<Stream>> ReadTraffic(const std::string& path) {
  try {
    const auto file = toml::parse_file(path);
    const auto* list = file["stream"].as_array();
    if (list == nullptr) return Invalid(path, "there is no [[stream]].");
    std::vector<Stream> streams;
    for (const auto& item : *list) {
      const auto* table = item.as_table();
      if (table == nullptr) return Invalid(path, "a stream is no table.");
      streams.push_back(ReadStream(*table));
      const auto& stream = streams.back();
      if (stream.group.empty() || stream.service.empty() || stream.keys < 1) {
        return Invalid(path, "a stream lacks group, service or keys.");
      }
    }
    return streams;
  } catch (const toml::parse_error& error) {
    std::ostringstream what;
    what << "line " << error.source().begin.line << ": " << error.description();
    return Invalid(path, what.str());
  }
}

TrafficSource::TrafficSource(std::vector<Stream> streams, double requests_per_second,
                             std::uint64_t seed, Instant start)
    : streams_(std::move(streams)), random_(seed), gap_s_(requests_per_second), next_(start) {
  const auto shares = Shares(streams_);
  stream_choice_ = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
  for (const auto& stream : streams_) {
    key_weights_.push_back(ZipfSums(stream.keyed ? stream.keys : 1, stream.zipf_exponent));
  }
}

PlannedRequest TrafficSource::Next(std::int64_t wall_ms) {
  PlannedRequest request;
  request.stream = stream_choice_(random_);
  const auto& stream = streams_[request.stream];
  if (stream.keyed) request.key = DrawKey(request.stream);
  request.nonce = DrawUuid(wall_ms);
  if (!stream.repeatable) request.operation = request.nonce;
  request.resend_when_answered = std::bernoulli_distribution(stream.resend_fraction)(random_);
  next_ += Duration(static_cast<std::int64_t>(gap_s_(random_) * kMicrosPerSecond));
  request.due = next_;
  return request;
}

std::string TrafficSource::DrawKey(std::size_t stream) {
  const auto& sums = key_weights_[stream];
  const double drawn = std::uniform_real_distribution<double>(0.0, sums.back())(random_);
  const auto rank = std::lower_bound(sums.begin(), sums.end(), drawn) - sums.begin();
  return streams_[stream].key_prefix + std::to_string(rank);
}

std::string TrafficSource::DrawUuid(std::int64_t wall_ms) {
  // RFC 9562, section 5.7: 48 bits of time, version 7, then random bits around the variant.
  constexpr std::uint64_t kVersion = 0x7000;
  constexpr std::uint64_t kVariant = 0x8000'0000'0000'0000;
  constexpr std::uint64_t kVariantMask = 0x3fff'ffff'ffff'ffff;
  const auto time = static_cast<std::uint64_t>(wall_ms);
  const std::uint64_t high = (time << 16) | kVersion | (random_() & 0x0fff);
  const std::uint64_t low = kVariant | (random_() & kVariantMask);
  std::array<char, 37> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx",
                static_cast<unsigned>(high >> 32), static_cast<unsigned>((high >> 16) & 0xffff),
                static_cast<unsigned>(high & 0xffff), static_cast<unsigned>(low >> 48),
                static_cast<unsigned long long>(low & 0xffff'ffff'ffff));
  return text.data();
}

}  // namespace graniteseam::testbed
