#include "src/http/traffic_json.h"

#include <openssl/sha.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "graniteseam/common/hex.h"
#include "src/runtime/secret_digest.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {
namespace {

using nlohmann::json;

constexpr char kRemedy[] = "Send what docs/interface/traffic.md describes.";
/// A parsed value takes up to 100 bytes, whatever its text: "[]" takes two.
constexpr std::size_t kJsonValuesMaximum = 400'000;
constexpr char kVersion[] = "version";
constexpr char kRoutes[] = "routes";
constexpr char kServices[] = "services";
constexpr char kLimits[] = "limits";
constexpr char kTenants[] = "tenants";
constexpr char kHeld[] = "keys_held";
constexpr char kReleased[] = "keys_released";

boost::leaf::error_id Wrong(const std::string& path, const std::string& wanted) {
  return Fail(ErrorKind::kMalformedMessage, "The value \"" + path + "\" is not " + wanted + ".",
              kRemedy);
}

/// Reads members of one JSON object, with the path of each for messages.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path) : object_(object), path_(std::move(path)) {}

  bool Has(const char* key) const {
    const auto found = object_.find(key);
    return found != object_.end() && !found->is_null();
  }

  Result<void> Text(const char* key, std::string& value) const {
    const auto found = object_.find(key);
    if (found == object_.end() || !found->is_string()) return Wrong(Path(key), "a text");
    value = found->get<std::string>();
    return {};
  }

  /// A whole number of 0 or more; also in the form 1500.0.
  Result<void> Whole(const char* key, std::int64_t& value) const {
    const auto found = object_.find(key);
    const bool number = found != object_.end() && found->is_number();
    if (!number) return Wrong(Path(key), "a number");
    const double real = found->get<double>();
    constexpr double kLargest = 9e15;
    if (real < 0 || real > kLargest) return Wrong(Path(key), "a number of 0 or more");
    value =
        found->is_number_integer() ? found->get<std::int64_t>() : static_cast<std::int64_t>(real);
    return {};
  }

  Result<void> OptionalWhole(const char* key, std::int64_t& value) const {
    return Has(key) ? Whole(key, value) : Result<void>();
  }

  Result<void> Number(const char* key, double& value) const {
    const auto found = object_.find(key);
    if (found == object_.end() || !found->is_number()) return Wrong(Path(key), "a number");
    value = found->get<double>();
    return {};
  }

  Result<void> OptionalFlag(const char* key, bool& value) const {
    if (!Has(key)) return {};
    const json& flag = object_[key];
    if (!flag.is_boolean()) return Wrong(Path(key), "true or false");
    value = flag.get<bool>();
    return {};
  }

  std::string Path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

 private:
  const json& object_;
  const std::string path_;
};

Result<traffic::WeightedService> ReadPart(const json& value, const std::string& path) {
  if (!value.is_object()) return Wrong(path, "an object");
  const ObjectReader reader(value, path);
  traffic::WeightedService part;
  BOOST_LEAF_CHECK(reader.Text("service", part.service.value));
  BOOST_LEAF_CHECK(reader.Number("weight", part.weight));
  return part;
}

Result<void> ReadSplit(const json& value, const ObjectReader& reader, traffic::Route& route) {
  constexpr double kOnlyPart = 100;
  if (!reader.Has("split")) {
    traffic::WeightedService whole;
    BOOST_LEAF_CHECK(reader.Text("service", whole.service.value));
    whole.weight = kOnlyPart;
    route.split.push_back(std::move(whole));
    return {};
  }
  const json& split = value["split"];
  if (!split.is_array() || split.empty()) return Wrong(reader.Path("split"), "a list of parts");
  for (const json& element : split) {
    BOOST_LEAF_AUTO(part, ReadPart(element, reader.Path("split")));
    route.split.push_back(std::move(part));
  }
  return {};
}

/// A kind that is not known is refused: it would be repeated where it must not, or not where it
/// may.
Result<traffic::RouteKind> ReadKind(const std::string& kind, const std::string& path) {
  if (kind == "safe") return traffic::RouteKind::kSafe;
  if (kind == "unsafe") return traffic::RouteKind::kUnsafe;
  if (kind == "download") return traffic::RouteKind::kDownload;
  return Wrong(path, "safe, unsafe or download");
}

Result<traffic::Route> ReadRoute(const json& value, const std::string& path) {
  if (!value.is_object()) return Wrong(path, "an object");
  const ObjectReader reader(value, path);
  traffic::Route route;
  BOOST_LEAF_CHECK(reader.Text("name", route.name.value));
  BOOST_LEAF_CHECK(reader.Text("host", route.host));
  BOOST_LEAF_CHECK(reader.Text("path_prefix", route.path_prefix));
  std::string kind;
  BOOST_LEAF_CHECK(reader.Text("kind", kind));
  BOOST_LEAF_ASSIGN(route.kind, ReadKind(kind, reader.Path("kind")));
  BOOST_LEAF_CHECK(reader.Whole("timeout_ms", route.timeout_ms));
  BOOST_LEAF_CHECK(reader.OptionalWhole("target_latency_ms", route.target_latency_ms));
  BOOST_LEAF_CHECK(reader.OptionalWhole("priority", route.priority));
  BOOST_LEAF_CHECK(reader.OptionalWhole("attempts_maximum", route.attempts_maximum));
  BOOST_LEAF_CHECK(ReadSplit(value, reader, route));
  route.source = value.dump();
  return route;
}

Result<traffic::Service> ReadService(const json& value, const std::string& path) {
  if (!value.is_object()) return Wrong(path, "an object");
  const ObjectReader reader(value, path);
  traffic::Service service;
  BOOST_LEAF_CHECK(reader.Text("name", service.name.value));
  if (reader.Has("health_path")) {
    BOOST_LEAF_CHECK(reader.Text("health_path", service.health_path));
  }
  BOOST_LEAF_CHECK(reader.OptionalWhole("connections_maximum", service.connections_maximum));
  BOOST_LEAF_CHECK(reader.OptionalFlag("keyed", service.keyed));
  if (reader.Has("grants")) {
    std::string form;
    BOOST_LEAF_CHECK(reader.Text("grants", form));
    if (form != "orders" && form != "heartbeat") {
      return Wrong(reader.Path("grants"), "orders or heartbeat");
    }
    service.lease_form =
        form == "heartbeat" ? traffic::LeaseForm::kHeartbeat : traffic::LeaseForm::kOrders;
  }
  service.source = value.dump();
  return service;
}

/// Keeps the digests of the keys. Messages name a key by its place, never by itself.
Result<traffic::Tenant> ReadTenant(const json& value, const std::string& path) {
  if (!value.is_object()) return Wrong(path, "an object");
  const ObjectReader reader(value, path);
  traffic::Tenant tenant;
  BOOST_LEAF_CHECK(reader.Text("name", tenant.name.value));
  if (reader.Has("api_keys")) {
    const json& keys = value["api_keys"];
    if (!keys.is_array()) return Wrong(reader.Path("api_keys"), "a list of keys");
    for (const json& key : keys) {
      const bool usable = key.is_string() && !key.get_ref<const std::string&>().empty();
      if (!usable) return Wrong(reader.Path("api_keys"), "a list of keys that are not empty");
      tenant.keys.push_back(runtime::SecretDigest(key.get_ref<const std::string&>()));
    }
  }
  if (reader.Has("priority")) BOOST_LEAF_CHECK(reader.Whole("priority", tenant.priority.emplace()));
  if (reader.Has("rate_per_s")) {
    BOOST_LEAF_CHECK(reader.Number("rate_per_s", tenant.quota.rate_per_second));
  }
  if (reader.Has("burst")) BOOST_LEAF_CHECK(reader.Number("burst", tenant.quota.burst));
  tenant.source = value.dump();
  return tenant;
}

Result<traffic::CallerLimits> ReadLimits(const json& value) {
  if (!value.is_object()) return Wrong(kLimits, "an object");
  const ObjectReader reader(value, kLimits);
  traffic::CallerLimits limits;
  BOOST_LEAF_CHECK(reader.OptionalWhole("header_bytes_maximum", limits.header_bytes_maximum));
  BOOST_LEAF_CHECK(reader.OptionalWhole("body_bytes_maximum", limits.body_bytes_maximum));
  BOOST_LEAF_CHECK(reader.OptionalWhole("header_timeout_ms", limits.header_timeout_ms));
  BOOST_LEAF_CHECK(reader.OptionalWhole("idle_timeout_ms", limits.idle_timeout_ms));
  limits.source = value.dump();
  return limits;
}

template <class Item, class ReadItem>
Result<void> ReadItems(const json& object, const char* key, ReadItem read_item,
                       std::vector<Item>& items) {
  const auto found = object.find(key);
  if (found == object.end()) return {};
  if (!found->is_array()) return Wrong(key, "a list");
  for (const json& element : *found) {
    const std::string path = std::string(key) + "[" + std::to_string(items.size()) + "]";
    BOOST_LEAF_AUTO(item, read_item(element, path));
    items.push_back(std::move(item));
  }
  return {};
}

/// Reads the tenants, and which of the routes, that were read before, ask for no key.
Result<void> ReadTenancy(const json& object, traffic::ConfigurationChange& change) {
  for (std::size_t i = 0; i < change.routes.size(); ++i) {
    const ObjectReader reader(object[kRoutes][i],
                              std::string(kRoutes) + "[" + std::to_string(i) + "]");
    bool anonymous = false;
    BOOST_LEAF_CHECK(reader.OptionalFlag("anonymous", anonymous));
    if (anonymous) change.tenancy.anonymous_routes.push_back(change.routes[i].name);
  }
  const ObjectReader reader(object, "");
  if (!reader.Has(kTenants)) return {};
  change.tenancy.given = true;
  return ReadItems(object, kTenants, ReadTenant, change.tenancy.tenants);
}

Result<void> ReadAllItems(const json& object, traffic::ConfigurationChange& change) {
  BOOST_LEAF_CHECK(ReadItems(object, kRoutes, ReadRoute, change.routes));
  BOOST_LEAF_CHECK(ReadItems(object, kServices, ReadService, change.services));
  BOOST_LEAF_CHECK(ReadTenancy(object, change));
  if (const auto limits = object.find(kLimits); limits != object.end()) {
    BOOST_LEAF_ASSIGN(change.limits, ReadLimits(*limits));
  }
  return {};
}

/// A whole number of a row.
Result<std::uint64_t> ReadWhole(const json& value, const std::string& path) {
  if (!value.is_number_unsigned()) return Wrong(path, "a whole number of 0 or more");
  return value.get<std::uint64_t>();
}

/// The first and last key of a row, which has `columns` values.
Result<traffic::KeySpan> ReadSpan(const json& row, std::size_t columns, const std::string& path) {
  if (!row.is_array() || row.size() != columns) return Wrong(path, "a row of three values");
  BOOST_LEAF_AUTO(first, ReadWhole(row[0], path));
  BOOST_LEAF_AUTO(last, ReadWhole(row[1], path));
  if (first > last || last > traffic::kLastKey) return Wrong(path, "a span of keys");
  return traffic::KeySpan{static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last)};
}

Result<traffic::HeldSpan> ReadHeldSpan(const json& row, const std::string& path) {
  constexpr std::size_t kColumns = 3;
  traffic::HeldSpan held;
  BOOST_LEAF_ASSIGN(held.span, ReadSpan(row, kColumns, path));
  BOOST_LEAF_ASSIGN(held.fence.value, ReadWhole(row[2], path));
  return held;
}

Result<traffic::ReleasedSpan> ReadReleasedSpan(const json& row, const std::string& path) {
  constexpr std::size_t kColumns = 3;
  traffic::ReleasedSpan released;
  BOOST_LEAF_ASSIGN(released.span, ReadSpan(row, kColumns, path));
  if (!row[2].is_string()) return Wrong(path, "a row that ends in a text");
  released.handover = row[2].get<std::string>();
  return released;
}

template <class Name>
Result<void> ReadNames(const json& object, const char* key, std::vector<Name>& names) {
  const auto found = object.find(key);
  if (found == object.end()) return {};
  if (!found->is_array()) return Wrong(key, "a list of names");
  for (const json& element : *found) {
    if (!element.is_string()) return Wrong(key, "a list of names");
    names.push_back(Name{element.get<std::string>()});
  }
  return {};
}

/// Tells a change that was sent again from another one.
std::string DigestOf(const char* what, traffic::ConfigurationVersion base,
                     const std::string& text) {
  const std::string whole = what + std::to_string(base.value) + "\n" + text;
  unsigned char digest[SHA256_DIGEST_LENGTH] = {};
  ::SHA256(reinterpret_cast<const unsigned char*>(whole.data()), whole.size(), digest);
  return ToHex(digest, sizeof(digest));
}

/// What an instance may claim to have; more is a mistake of whoever wrote the heartbeat.
constexpr std::int64_t kSlotsMaximum = 1'000'000;

/// Everything of a heartbeat but the keys. Whatever can not be used by all that follows is refused
/// here: an instance that is known by half of its report would be sent requests that it never gets.
Result<void> ReadReport(const ObjectReader& reader, traffic::InstanceReport& report) {
  BOOST_LEAF_CHECK(reader.Text("service", report.service.value));
  if (report.service.Empty()) return Wrong("service", "a service's name");
  BOOST_LEAF_CHECK(reader.Text("address", report.address));
  const auto address = Attempt([&] { return runtime::ParseSocketAddress(report.address); });
  const auto* const parsed = std::get_if<runtime::SocketAddress>(&address);
  if (parsed == nullptr || parsed->port == 0) return Wrong("address", "an address, ip:port");
  if (reader.Has("zone")) BOOST_LEAF_CHECK(reader.Text("zone", report.zone.value));
  if (reader.Has("version")) BOOST_LEAF_CHECK(reader.Text("version", report.release));
  BOOST_LEAF_CHECK(reader.OptionalWhole("slots", report.slots));
  if (report.slots > kSlotsMaximum) return Wrong("slots", "a number of slots");
  BOOST_LEAF_CHECK(reader.Whole("sequence", report.sequence));
  BOOST_LEAF_CHECK(reader.OptionalWhole("warmup_left_ms", report.warmup_left_ms));
  std::string state = "ready";
  if (reader.Has("state")) BOOST_LEAF_CHECK(reader.Text("state", state));
  if (state != "ready" && state != "draining") return Wrong("state", "ready or draining");
  report.draining = state == "draining";
  return {};
}

/// The most values that a JSON text may hold: each but the first follows a bracket or a comma.
std::size_t CountValues(std::string_view text) {
  std::size_t values = 1;
  bool quoted = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (quoted && c == '\\') {
      ++at;
    } else if (c == '"') {
      quoted = !quoted;
    } else if (!quoted && (c == ',' || c == '[' || c == '{')) {
      ++values;
    }
  }
  return values;
}

Result<json> ReadObject(const std::string& text) {
  if (const std::size_t values = CountValues(text); values > kJsonValuesMaximum) {
    return Fail(ErrorKind::kTooLarge,
                "The body holds up to " + std::to_string(values) + " JSON values; " +
                    std::to_string(kJsonValuesMaximum) + " are read at most.",
                "Send it in several changes with PATCH.");
  }
  json object = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (object.is_discarded() || !object.is_object()) {
    return Fail(ErrorKind::kMalformedMessage, "The body is not one JSON object.", kRemedy);
  }
  return object;
}

Result<traffic::ConfigurationChange> BeginChange(const json& object,
                                                 traffic::ConfigurationVersion base) {
  traffic::ConfigurationChange change;
  change.base = base;
  std::int64_t version = 0;
  BOOST_LEAF_CHECK(ObjectReader(object, "").Whole(kVersion, version));
  change.version.value = static_cast<std::uint64_t>(version);
  return change;
}

/// Appends a member that lists the items as they were submitted. They are not parsed for it: that
/// takes many times the memory of their text.
template <class Item>
void AppendSources(std::string& object, const char* key, const std::vector<Item>& items) {
  object.append(",\"").append(key).append("\":[");
  for (const Item& item : items) {
    if (&item != items.data()) object += ',';
    object += item.source;
  }
  object += ']';
}

}  // namespace

Result<traffic::ConfigurationChange> ReadConfiguration(const std::string& text,
                                                       traffic::ConfigurationVersion base) {
  BOOST_LEAF_AUTO(object, ReadObject(text));
  BOOST_LEAF_AUTO(change, BeginChange(object, base));
  change.whole = true;
  if (!object.contains(kRoutes)) return Wrong(kRoutes, "given");
  if (!object.contains(kServices)) return Wrong(kServices, "given");
  BOOST_LEAF_CHECK(ReadAllItems(object, change));
  json further = object;
  for (const char* key : {kVersion, kRoutes, kServices, kLimits, kTenants}) further.erase(key);
  if (!further.empty()) change.further = further.dump();
  change.digest = DigestOf("whole", base, text);
  return change;
}

Result<traffic::ConfigurationChange> ReadConfigurationPatch(const std::string& text,
                                                            traffic::ConfigurationVersion base) {
  BOOST_LEAF_AUTO(object, ReadObject(text));
  BOOST_LEAF_AUTO(change, BeginChange(object, base));
  if (const auto set = object.find("set"); set != object.end()) {
    if (!set->is_object()) return Wrong("set", "an object");
    BOOST_LEAF_CHECK(ReadAllItems(*set, change));
  }
  if (const auto remove = object.find("remove"); remove != object.end()) {
    if (!remove->is_object()) return Wrong("remove", "an object");
    BOOST_LEAF_CHECK(ReadNames(*remove, kRoutes, change.removed_routes));
    BOOST_LEAF_CHECK(ReadNames(*remove, kServices, change.removed_services));
    BOOST_LEAF_CHECK(ReadNames(*remove, kTenants, change.tenancy.removed_tenants));
  }
  change.digest = DigestOf("patch", base, text);
  return change;
}

namespace {

/// The text of the object, without its closing brace.
std::string OpenObjectOf(const traffic::Configuration& configuration) {
  std::string object = "{";
  if (!configuration.further.empty()) {
    const std::string_view members(configuration.further);
    object.append(members.substr(1, members.size() - 2)).append(",");
  }
  object.append("\"").append(kVersion).append("\":");
  object += std::to_string(configuration.version.value);
  AppendSources(object, kRoutes, configuration.routes);
  AppendSources(object, kServices, configuration.services);
  if (!configuration.limits.source.empty()) {
    object.append(",\"").append(kLimits).append("\":").append(configuration.limits.source);
  }
  return object;
}

}  // namespace

std::string ToJson(const traffic::Configuration& configuration) {
  return OpenObjectOf(configuration) + "}";
}

std::string ToJson(const control::ConfigurationView& view) {
  std::string object = OpenObjectOf(view.configuration);
  if (view.speaks_of_tenants) AppendSources(object, kTenants, view.tenants);
  return object + "}";
}

Result<control::ReportInstance> ReadHeartbeat(const std::string& text,
                                              const traffic::InstanceId& id) {
  BOOST_LEAF_AUTO(object, ReadObject(text));
  const ObjectReader reader(object, "");
  control::ReportInstance heartbeat;
  BOOST_LEAF_CHECK(ReadItems(object, kHeld, ReadHeldSpan, heartbeat.keys.held));
  BOOST_LEAF_CHECK(ReadItems(object, kReleased, ReadReleasedSpan, heartbeat.keys.released));
  if (id.value.find(traffic::kStartTimeSeparator) != std::string::npos) {
    return Wrong("id", std::string("a name without ") + traffic::kStartTimeSeparator);
  }
  std::int64_t born_ms = 0;
  BOOST_LEAF_CHECK(reader.OptionalWhole("born", born_ms));
  heartbeat.report.id = traffic::MakeInstanceId(id.value, born_ms);
  BOOST_LEAF_CHECK(ReadReport(reader, heartbeat.report));
  return heartbeat;
}

std::string HeartbeatAnswerJson(const traffic::KeyLeases* leases, const std::string& next_address) {
  json answer = json::object();
  if (!next_address.empty()) answer["next_address"] = next_address;
  if (leases != nullptr) {
    json& held = answer[kHeld] = json::array();
    for (const traffic::LeasedSpan& leased : leases->spans) {
      held.push_back({leased.span.first, leased.span.last, leased.fence.value, leased.handover});
    }
    answer["hold_ms"] = leases->length_ms;
  }
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace graniteseam::http
