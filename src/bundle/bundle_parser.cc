/// @file
/// Parses bundles from TOML with toml++. This file holds every rule of the format. Each violation
/// adds a fault, and all faults are reported together.

#include <toml++/toml.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/bundle/bundle_store.h"

namespace graniteseam::bundle {
namespace {

constexpr std::size_t kNameMaximum = 63;
constexpr std::size_t kKeyPrefixMaximum = 256;
constexpr std::size_t kFaultsShown = 50;
/// Largest integer up to which JSON numbers are exact.
constexpr std::int64_t kVersionMaximum = std::int64_t{1} << 53;
constexpr std::int64_t kShardsMaximum = 1'000'000;
constexpr std::int64_t kDeadlineMaximumMs = std::int64_t{10} * 60 * 1000;
constexpr std::int64_t kLeaseMinimumMs = 100;
constexpr std::int64_t kLeaseMaximumMs = 60'000;
constexpr std::int64_t kBodyMaximum = 64 << 20;
constexpr std::int64_t kConcurrencyMaximum = 10'000;
constexpr std::int64_t kRetentionMinimumMs = 1'000;
constexpr std::int64_t kRetentionMaximumMs = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::int64_t kQueueMaximum = 100'000;
constexpr double kWeightMaximum = 1e6;

/// Collects faults as "file:line: key: message Remedy: remedy" in the order of their lines.
class FaultList {
 public:
  explicit FaultList(std::string file_name) : file_name_(std::move(file_name)) {}

  void Add(const toml::source_region& where, const std::string& key, const std::string& message,
           const std::string& remedy) {
    const auto line = std::max<std::uint32_t>(1, where.begin.line);
    faults_.insert({line, file_name_ + ":" + std::to_string(line) + ": " +
                              (key.empty() ? "" : key + ": ") + message + " Remedy: " + remedy});
  }

  bool empty() const { return faults_.empty(); }

  Error ToError() const {
    std::string message = file_name_ + " has " + std::to_string(faults_.size()) +
                          (faults_.size() == 1 ? " fault:" : " faults:");
    std::size_t shown = 0;
    for (const auto& [line, text] : faults_) {
      if (++shown > kFaultsShown) break;
      message += "\n" + text;
    }
    if (faults_.size() > kFaultsShown) message += "\nThe rest is not shown.";
    return {ErrorKind::kInvalidBundle, message,
            "Correct each line listed, then try again with `graniteseamctl bundle check`."};
  }

 private:
  std::string file_name_;
  std::multimap<std::uint32_t, std::string> faults_;
};

bool IsName(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !text.empty() && text.size() <= kNameMaximum && text.front() != '-' &&
         std::all_of(text.begin(), text.end(), allowed);
}

constexpr std::string_view kNameRemedy =
    "Use 1 to 63 lower-case letters, digits and hyphens, not beginning with a hyphen.";

/// Reads the keys of one table and records which were requested, so that all others are reported as
/// unknown.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, FaultList& faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}

  bool Has(std::string_view key) const { return table_.contains(key); }

  /// Reads a required string; nullopt when it is missing or invalid, which adds a fault.
  std::optional<std::string> Text(std::string_view key) {
    return Require<std::string>(key, "a string");
  }
  std::string Text(std::string_view key, const std::string& fallback) {
    return Read<std::string>(key, "a string", fallback);
  }
  bool Flag(std::string_view key) { return Require<bool>(key, "true or false").value_or(false); }
  bool Flag(std::string_view key, bool fallback) {
    return Read<bool>(key, "true or false", fallback);
  }

  std::int64_t Integer(std::string_view key, std::int64_t fallback, std::int64_t minimum,
                       std::int64_t maximum) {
    const auto value = Read<std::int64_t>(key, "an integer", fallback);
    if (value >= minimum && value <= maximum) return value;
    Fault(key, std::to_string(value) + " is out of range.",
          "Give " + std::to_string(minimum) + " to " + std::to_string(maximum) + ".");
    return fallback;
  }

  /// A finite number from 0 to kWeightMaximum.
  double Weight(std::string_view key, double fallback) {
    const auto value = Read<double>(key, "a number", fallback);
    if (value >= 0 && value <= kWeightMaximum) return value;  // NaN fails both.
    Fault(key, "The number is out of range.", "Give 0 to 1000000.");
    return fallback;
  }

  std::vector<std::string> Texts(std::string_view key) {
    MarkRequested(key);
    std::vector<std::string> texts;
    const toml::array* array = table_[key].as_array();
    if (array == nullptr) {
      Fault(key, "An array of strings is needed here.", "Write for example [\"transcripts\"].");
      return texts;
    }
    for (const toml::node& element : *array) {
      if (const auto text = element.value_exact<std::string>()) {
        texts.push_back(*text);
      } else {
        Fault(key, "An element is not a string.", "Put each element in quotes.");
      }
    }
    return texts;
  }

  /// Calls `read(name, table)` for each table of a table of tables.
  template <class Function>
  void ForEachTable(std::string_view key, const Function& read) {
    MarkRequested(key);
    const toml::table* tables = table_[key].as_table();
    if (tables == nullptr || tables->empty()) {
      Fault(key, "At least one is needed.", "Add a table [" + Path(key) + ".NAME].");
      return;
    }
    for (const auto& [name, node] : *tables) {
      const std::string path = Path(key) + "." + std::string(name.str());
      if (!IsName(name.str())) {
        faults_.Add(name.source(), path, "The name is not allowed.", std::string(kNameRemedy));
      }
      if (const toml::table* table = node.as_table()) {
        read(std::string(name.str()), TableReader(*table, path, faults_));
      } else {
        faults_.Add(node.source(), path, "A table is needed here.", "Write [" + path + "].");
      }
    }
  }

  /// Returns a reader of a subtable, or of an empty table when the subtable is absent.
  TableReader Subtable(std::string_view key) {
    MarkRequested(key);
    static const toml::table empty_table;
    if (const toml::table* table = table_[key].as_table()) {
      return TableReader(*table, Path(key), faults_);
    }
    if (Has(key)) Fault(key, "A table is needed here.", "Write [" + Path(key) + "].");
    return TableReader(empty_table, Path(key), faults_);
  }

  void Fault(std::string_view key, const std::string& message, const std::string& remedy) {
    const toml::node* node = table_.get(key);
    faults_.Add(node != nullptr ? node->source() : table_.source(), Path(key), message, remedy);
  }

  /// Adds a fault for each key that was not requested. Called after all keys are read.
  void ReportUnknownKeys() {
    for (const auto& [key, node] : table_) {
      if (requested_keys_.contains(key.str())) continue;
      std::string known;
      for (const auto& name : requested_keys_) known += (known.empty() ? "" : ", ") + name;
      faults_.Add(key.source(), Path(key.str()), "The key is not known.",
                  "Use one of: " + known + ".");
    }
  }

 private:
  std::string Path(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }
  void MarkRequested(std::string_view key) { requested_keys_.emplace(key); }

  template <class T>
  std::optional<T> Require(std::string_view key, const std::string& what) {
    MarkRequested(key);
    if (Has(key)) return ReadGiven<T>(key, what);
    Fault(key, "The key is missing.", "Give it " + what + ".");
    return std::nullopt;
  }

  template <class T>
  T Read(std::string_view key, const std::string& what, const T& fallback) {
    MarkRequested(key);
    return Has(key) ? ReadGiven<T>(key, what).value_or(fallback) : fallback;
  }

  template <class T>
  std::optional<T> ReadGiven(std::string_view key, const std::string& what) {
    const toml::node& node = *table_.get(key);
    // An integer is accepted for a floating-point value; nothing else is converted.
    auto value =
        std::is_same_v<T, double> && node.is_integer() ? node.value<T>() : node.value_exact<T>();
    if (!value.has_value()) {
      Fault(key, "The value has the wrong type.", "Give it " + what + ".");
    }
    return value;
  }

  const toml::table& table_;
  std::string path_;
  FaultList& faults_;
  std::set<std::string, std::less<>> requested_keys_;
};

PlacementWeights ReadWeights(TableReader reader) {
  PlacementWeights weights;
  weights.unavailability = reader.Weight("unavailability", weights.unavailability);
  weights.churn = reader.Weight("churn", weights.churn);
  weights.imbalance = reader.Weight("imbalance", weights.imbalance);
  if (weights.unavailability + weights.churn + weights.imbalance <= 0) {
    reader.Fault("unavailability", "All weights are 0.", "Give at least one a weight above 0.");
  }
  reader.ReportUnknownKeys();
  return weights;
}

void ReadShardCount(TableReader& reader, Service& service) {
  const std::int64_t count = reader.Integer("shard_count", 1, 1, kShardsMaximum);
  if (service.kind == ServiceKind::kPooled) {
    if (reader.Has("shard_count")) {
      reader.Fault("shard_count", "A pooled service has no shards.", "Remove the key.");
    }
    return;
  }
  if (!reader.Has("shard_count")) {
    reader.Fault("shard_count", "A keyed service needs its shard count.",
                 "Give about 100 shards a server; it can't change later.");
  }
  service.shard_count = static_cast<std::uint32_t>(count);
}

void ReadKind(TableReader& reader, Service& service) {
  const std::optional<std::string> kind = reader.Text("kind");
  if (kind == "keyed") {
    service.kind = ServiceKind::kKeyed;
  } else if (kind != "pooled") {
    // Without a valid kind its other rules are not checked.
    if (kind.has_value()) {
      reader.Fault("kind", "The kind is not known.", "Give \"keyed\" or \"pooled\".");
    }
    reader.Integer("shard_count", 1, 1, kShardsMaximum);
    return;
  }
  ReadShardCount(reader, service);
}

void ReadRepeatable(TableReader& reader, Service& service) {
  service.repeatable = reader.Flag("repeatable");
  service.hedging = reader.Flag("hedging", service.hedging);
  if (service.hedging && !service.repeatable) {
    reader.Fault("hedging", "Hedging sends a request twice, and this service is not repeatable.",
                 "Set hedging to false.");
  }
  if (service.repeatable && reader.Has("operation_retention_ms")) {
    reader.Fault("operation_retention_ms", "A repeatable service has no operation journal.",
                 "Remove the key.");
  }
  service.operation_retention_ms =
      reader.Integer("operation_retention_ms", service.operation_retention_ms, kRetentionMinimumMs,
                     kRetentionMaximumMs);
}

void ReadLimits(TableReader& reader, Service& service) {
  service.deadline_maximum_ms =
      reader.Integer("deadline_maximum_ms", service.deadline_maximum_ms, 1, kDeadlineMaximumMs);
  service.deadline_ms =
      reader.Integer("deadline_ms", std::min(service.deadline_ms, service.deadline_maximum_ms), 1,
                     kDeadlineMaximumMs);
  if (service.deadline_ms > service.deadline_maximum_ms) {
    reader.Fault("deadline_ms", "It is above deadline_maximum_ms.",
                 "Give at most " + std::to_string(service.deadline_maximum_ms) + ".");
  }
  service.lease_ms = reader.Integer("lease_ms", service.lease_ms, kLeaseMinimumMs, kLeaseMaximumMs);
  service.body_bytes_maximum =
      reader.Integer("body_bytes_maximum", service.body_bytes_maximum, 1, kBodyMaximum);
  service.concurrency_per_server = static_cast<std::uint32_t>(reader.Integer(
      "concurrency_per_server", service.concurrency_per_server, 1, kConcurrencyMaximum));
}

Service ReadService(const std::string& name, TableReader reader) {
  Service service;
  service.name.value = name;
  ReadKind(reader, service);
  ReadLimits(reader, service);
  ReadRepeatable(reader, service);
  // Otherwise the record of an operation could expire before a resend within the request's
  // deadline.
  if (!service.repeatable && service.operation_retention_ms <= service.deadline_maximum_ms) {
    reader.Fault("operation_retention_ms", "It is not above deadline_maximum_ms.",
                 "Give more than " + std::to_string(service.deadline_maximum_ms) + ".");
  }
  service.weights = ReadWeights(reader.Subtable("weights"));
  reader.ReportUnknownKeys();
  return service;
}

void ReadGroupServices(TableReader& reader, const Bundle& bundle, Group& group) {
  for (const std::string& name : reader.Texts("services")) {
    const ServiceName service{name};
    if (bundle.FindService(service) == nullptr) {
      reader.Fault("services", "The bundle has no service \"" + name + "\".",
                   "Name a service of this bundle.");
    } else if (std::find(group.services.begin(), group.services.end(), service) !=
               group.services.end()) {
      reader.Fault("services", "Service \"" + name + "\" is named twice.", "Name it once.");
    } else {
      group.services.push_back(service);
    }
  }
  std::sort(group.services.begin(), group.services.end());
}

Group ReadGroup(const std::string& name, TableReader reader, const Bundle& bundle) {
  Group group;
  group.name.value = name;
  ReadGroupServices(reader, bundle, group);
  group.key_prefix = reader.Text("key_prefix", "");
  if (group.key_prefix.size() > kKeyPrefixMaximum) {
    reader.Fault("key_prefix", "The prefix is too long.", "Give at most 256 bytes.");
  }
  group.share = reader.Weight("share", group.share);
  if (group.share <= 0) reader.Fault("share", "The share must be above 0.", "Give more than 0.");
  group.queue_maximum = static_cast<std::uint32_t>(
      reader.Integer("queue_maximum", group.queue_maximum, 0, kQueueMaximum));
  reader.ReportUnknownKeys();
  return group;
}

Bundle ReadBundle(const toml::table& table, FaultList& faults) {
  TableReader reader(table, "", faults);
  Bundle bundle;
  if (!reader.Has("version")) {
    reader.Fault("version", "The key is missing.", "Give an integer above all earlier versions.");
  }
  bundle.version.value =
      static_cast<std::uint64_t>(reader.Integer("version", 1, 1, kVersionMaximum));
  const std::optional<std::string> author = reader.Text("author");
  bundle.author = author.value_or("");
  if (author.has_value() && !IsName(bundle.author)) {
    reader.Fault("author", "The author's name is not allowed.", std::string(kNameRemedy));
  }
  reader.ForEachTable("services", [&](const std::string& name, const TableReader& service) {
    bundle.services.push_back(ReadService(name, service));
  });
  reader.ForEachTable("groups", [&](const std::string& name, const TableReader& group) {
    bundle.groups.push_back(ReadGroup(name, group, bundle));
  });
  reader.ReportUnknownKeys();
  return bundle;
}

}  // namespace

Result<Bundle> ParseBundle(const std::string& toml_text, const std::string& file_name) {
  if (toml_text.size() > BundleStoreLimits{}.source_bytes_maximum) {
    return Fail(ErrorKind::kTooLarge, file_name + " is larger than 1 MiB.",
                "Shorten the bundle; every control process stores it.");
  }
  FaultList faults(file_name);
  Bundle bundle;
  try {
    bundle = ReadBundle(toml::parse(std::string_view(toml_text)), faults);
  } catch (const toml::parse_error& error) {
    faults.Add(error.source(), "", std::string(error.description()) + ".",
               "Correct the TOML syntax of this line.");
  }
  if (!faults.empty()) return Fail(faults.ToError());
  return bundle;
}

}  // namespace graniteseam::bundle
