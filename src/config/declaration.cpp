#include "config/declaration.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "common/json_text.hpp"

namespace planktray::config {
namespace {

using common::ErrorCode;
using nlohmann::json;

constexpr const char* kStep = "parse declaration";

/// Validation error. Thrown within this file only; the public functions convert it to an Error.
struct FieldError {
  std::string field;
  std::string reason;
};

/// Reads and validates the fields of one JSON object and rejects unknown fields.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object.is_object()) {
      throw FieldError{path_, "must be a table"};
    }
  }

  std::string field(const std::string& name) const {
    return path_.empty() ? name : path_ + "." + name;
  }
  bool has(const std::string& name) const { return object_.contains(name); }

  const json& get(const std::string& name) {
    seen_.insert(name);
    const auto found = object_.find(name);
    if (found == object_.end()) {
      throw FieldError{field(name), "is missing"};
    }
    return *found;
  }

  std::string read_name(const std::string& name) { return checked_name(get(name), field(name)); }

  std::uint64_t read_integer(const std::string& name, std::uint64_t low, std::uint64_t high) {
    return checked_integer(get(name), field(name), low, high);
  }
  template <typename T>
  void read_optional_integer(const std::string& name, std::uint64_t low, std::uint64_t high,
                             T& out) {
    if (has(name)) {
      out = static_cast<T>(read_integer(name, low, high));
    }
  }
  void read_optional_real(const std::string& name, double low, double high, double& out) {
    if (!has(name)) {
      return;
    }
    const json& value = get(name);
    if (!value.is_number() || value.get<double>() < low || value.get<double>() > high) {
      throw FieldError{field(name), "must be a number from " + common::json_text(json(low)) +
                                        " to " + common::json_text(json(high))};
    }
    out = value.get<double>();
  }
  bool read_boolean(const std::string& name) {
    const json& value = get(name);
    if (!value.is_boolean()) {
      throw FieldError{field(name), "must be true or false"};
    }
    return value.get<bool>();
  }

  /// Rejects fields that were not read.
  void reject_unknown_fields() const {
    for (const auto& item : object_.items()) {
      if (!seen_.contains(item.key())) {
        throw FieldError{field(item.key()), "is not a known field"};
      }
    }
  }

  static std::string checked_name(const json& value, const std::string& where) {
    if (!value.is_string() || !is_valid_name(value.get<std::string>())) {
      throw FieldError{where, "must consist of lower-case letters, digits and inner hyphens"};
    }
    return value.get<std::string>();
  }
  static std::uint64_t checked_integer(const json& value, const std::string& where,
                                       std::uint64_t low, std::uint64_t high) {
    const bool is_unsigned =
        value.is_number_integer() && (value.is_number_unsigned() || value.get<std::int64_t>() >= 0);
    if (!is_unsigned || value.get<std::uint64_t>() < low || value.get<std::uint64_t>() > high) {
      throw FieldError{
          where, "must be an integer from " + std::to_string(low) + " to " + std::to_string(high)};
    }
    return value.get<std::uint64_t>();
  }

 private:
  const json& object_;
  std::string path_;
  std::set<std::string> seen_;
};

BalancePolicy read_balance(const json& value, const std::string& path) {
  ObjectReader reader(value, path);
  BalancePolicy policy;
  reader.read_optional_real("max_imbalance", 1.0, 100.0, policy.max_imbalance);
  reader.read_optional_real("minimum_gain", 0.0, 10.0, policy.minimum_gain);
  reader.read_optional_integer("moves_per_minute", 0, 100'000, policy.moves_per_minute);
  reader.read_optional_integer("minimum_stay_ms", 0, 86'400'000, policy.minimum_stay_ms);
  reader.reject_unknown_fields();
  return policy;
}

std::vector<std::string> read_methods(const json& value, const std::string& path) {
  static const std::set<std::string> kMethods = {"GET",   "HEAD",   "PUT",    "POST",
                                                 "PATCH", "DELETE", "OPTIONS"};
  if (!value.is_array()) {
    throw FieldError{path, "must be a list of HTTP methods"};
  }
  std::vector<std::string> methods;
  for (const json& item : value) {
    if (!item.is_string() || !kMethods.contains(item.get<std::string>())) {
      throw FieldError{path, "contains an item that is not a supported HTTP method"};
    }
    methods.push_back(item.get<std::string>());
  }
  return methods;
}

ServiceTemplate read_service(const json& value, const std::string& path) {
  ObjectReader reader(value, path);
  ServiceTemplate service;
  service.name.value = reader.read_name("name");
  service.pool.value = reader.read_name("pool");
  service.keyed = reader.read_boolean("keyed");
  if (service.keyed) {
    service.shards =
        static_cast<std::uint32_t>(reader.read_integer("shards", 1, kMaxShardsPerService));
    reader.read_optional_integer("hash_seed", 0, UINT64_MAX, service.hash_seed);
  }
  reader.read_optional_integer("minimum_targets", 1, kMaxTargets, service.minimum_targets);
  reader.read_optional_integer("maximum_targets", 1, kMaxTargets, service.maximum_targets);
  if (service.maximum_targets < service.minimum_targets) {
    throw FieldError{reader.field("maximum_targets"), "must not be below minimum_targets"};
  }
  service.slots = static_cast<std::uint32_t>(reader.read_integer("slots", 1, 100'000));
  service.connections =
      static_cast<std::uint32_t>(reader.read_integer("connections", 1, 1'000'000));
  if (reader.has("repeatable_methods")) {
    service.repeatable_methods =
        read_methods(reader.get("repeatable_methods"), reader.field("repeatable_methods"));
  }
  reader.read_optional_integer("default_timeout_ms", 1, kMaxTimeoutMs, service.default_timeout_ms);
  reader.read_optional_integer("queue_limit", 0, 1'000'000, service.queue_limit);
  if (reader.has("balance")) {
    service.balance = read_balance(reader.get("balance"), reader.field("balance"));
  }
  reader.reject_unknown_fields();
  return service;
}

Template read_template(const json& value) {
  ObjectReader reader(value, "");
  Template declaration;
  declaration.name.value = reader.read_name("template");
  const json& services = reader.get("service");
  if (!services.is_array() || services.empty()) {
    throw FieldError{"service", "must be a list of at least one service"};
  }
  std::set<std::string> names;
  for (std::size_t i = 0; i < services.size(); ++i) {
    const std::string path = "service[" + std::to_string(i) + "]";
    declaration.services.push_back(read_service(services[i], path));
    if (!names.insert(declaration.services.back().name.value).second) {
      throw FieldError{path + ".name", "is used by an earlier service"};
    }
  }
  reader.reject_unknown_fields();
  return declaration;
}

Tenant read_tenant(const json& value) {
  ObjectReader reader(value, "");
  Tenant tenant;
  tenant.name.value = reader.read_name("tenant");
  tenant.template_name.value = reader.read_name("template");
  if (reader.has("zones")) {
    const json& zones = reader.get("zones");
    if (!zones.is_array()) {
      throw FieldError{"zones", "must be a list of names"};
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
      tenant.zones.emplace_back(
          ObjectReader::checked_name(zones[i], "zones[" + std::to_string(i) + "]"));
    }
  }
  const json& targets = reader.get("targets");
  if (!targets.is_object() || targets.empty()) {
    throw FieldError{"targets", "must be a table of at least one service"};
  }
  for (const auto& item : targets.items()) {
    const std::string path = "targets." + item.key();
    const auto count = ObjectReader::checked_integer(item.value(), path, 1, kMaxTargets);
    tenant.targets[common::ServiceName(ObjectReader::checked_name(json(item.key()), path))] =
        static_cast<std::uint32_t>(count);
  }
  reader.reject_unknown_fields();
  return tenant;
}

template <typename T>
common::Result<T> parse_with(const std::string& text, T (*read)(const json&)) {
  const json value = json::parse(text, nullptr, false);
  if (value.is_discarded()) {
    return common::fail(ErrorCode::kInvalid, kStep, "", "not valid JSON");
  }
  try {
    return read(value);
  } catch (const FieldError& error) {
    return common::fail(ErrorCode::kInvalid, kStep, "", error.field + " " + error.reason);
  }
}

json balance_to_json(const BalancePolicy& policy) {
  return {{"max_imbalance", policy.max_imbalance},
          {"minimum_gain", policy.minimum_gain},
          {"moves_per_minute", policy.moves_per_minute},
          {"minimum_stay_ms", policy.minimum_stay_ms}};
}

json service_to_json(const ServiceTemplate& service) {
  json value = {{"name", service.name.value},
                {"pool", service.pool.value},
                {"keyed", service.keyed},
                {"minimum_targets", service.minimum_targets},
                {"maximum_targets", service.maximum_targets},
                {"slots", service.slots},
                {"connections", service.connections},
                {"repeatable_methods", service.repeatable_methods},
                {"default_timeout_ms", service.default_timeout_ms},
                {"queue_limit", service.queue_limit},
                {"balance", balance_to_json(service.balance)}};
  if (service.keyed) {
    value["shards"] = service.shards;
    value["hash_seed"] = service.hash_seed;
  }
  return value;
}

}  // namespace

bool is_valid_name(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength || name.front() == '-' || name.back() == '-') {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-';
  });
}

common::Result<Template> parse_template(const std::string& json) {
  return parse_with<Template>(json, read_template);
}

common::Result<Tenant> parse_tenant(const std::string& json) {
  return parse_with<Tenant>(json, read_tenant);
}

std::string to_json(const Template& declaration) {
  json services = json::array();
  for (const ServiceTemplate& service : declaration.services) {
    services.push_back(service_to_json(service));
  }
  return common::json_text(json{{"template", declaration.name.value}, {"service", services}});
}

std::string to_json(const Tenant& declaration) {
  json targets = json::object();
  for (const auto& [service, count] : declaration.targets) {
    targets[service.value] = count;
  }
  json zones = json::array();
  for (const common::ZoneName& zone : declaration.zones) {
    zones.push_back(zone.value);
  }
  return common::json_text(json{{"tenant", declaration.name.value},
                                {"template", declaration.template_name.value},
                                {"zones", zones},
                                {"targets", targets}});
}

common::Result<std::vector<ServiceConfig>> expand(const Template& declaration,
                                                  const Tenant& tenant) {
  std::vector<ServiceConfig> services;
  for (const auto& [name, count] : tenant.targets) {
    const common::ServiceName& service_name = name;
    const auto found =
        std::find_if(declaration.services.begin(), declaration.services.end(),
                     [&](const auto& service) { return service.name == service_name; });
    if (found == declaration.services.end()) {
      return common::fail(
          ErrorCode::kInvalid, "expand tenant", "",
          "targets." + name.value + " is not a service of template " + declaration.name.value);
    }
    if (count < found->minimum_targets || count > found->maximum_targets) {
      return common::fail(ErrorCode::kInvalid, "expand tenant", "",
                          "targets." + name.value + " must be from " +
                              std::to_string(found->minimum_targets) + " to " +
                              std::to_string(found->maximum_targets));
    }
    services.push_back({{tenant.name, name}, *found, tenant.zones, count});
  }
  return services;
}

}  // namespace planktray::config
