#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "LibControl/control_state.h"

// CBOR encoding of records and of the control state: the field lists of the encoded structs, and
// the writer and the reader that visit them. Both use the same list, so they can't disagree about
// the fields of a struct.

namespace sassafrasbay::cbor {

using Json = nlohmann::json;

/// Parses one CBOR item. Returns a discarded value when the bytes are malformed, are nested deeper
/// than any encoded value, or declare more elements than there are bytes. Doesn't throw.
Json Parse(std::string_view bytes);

/// Encodes a value as CBOR. Maps are sorted by key, so equal values give equal bytes.
std::string Serialize(const Json& value);

bool IsUtf8(std::string_view text);

/// `T` is `U` or `const U`: the writer visits const values, the reader mutable ones.
template <typename T, typename U>
concept MaybeConst = std::same_as<std::remove_const_t<T>, U>;

void VisitFields(auto& visit, MaybeConst<RoutingFile> auto& value) {
  visit("name", value.name_);
  visit("text", value.text_);
}

void VisitFields(auto& visit, MaybeConst<UnitId> auto& value) {
  visit("service", value.service_);
  visit("unit", value.unit_);
}

void VisitFields(auto& visit, MaybeConst<ConfigurationPublished> auto& value) {
  visit("base_version", value.base_version_);
  visit("publisher", value.publisher_);
  visit("files", value.files_);
}

void VisitFields(auto& visit, MaybeConst<SessionJoined> auto& value) {
  visit("session", value.session_);
  visit("based_on", value.based_on_);
  visit("node", value.node_);
  visit("callers_address", value.callers_address_);
  visit("traffic_address", value.traffic_address_);
  visit("control_address", value.control_address_);
  visit("data_centre", value.data_centre_);
  visit("region", value.region_);
  visit("service", value.service_);
  visit("checks_grants", value.checks_grants_);
  visit("slots", value.slots_);
  visit("connections", value.connections_);
  visit("lease_ms", value.lease_ms_);
}

void VisitFields(auto& visit, MaybeConst<SessionRenewed> auto& value) {
  visit("session", value.session_);
  visit("epoch", value.epoch_);
}

void VisitFields(auto& visit, MaybeConst<LapseAttested> auto& value) {
  visit("session", value.session_);
  visit("epoch", value.epoch_);
  visit("grantor", value.grantor_);
}

void VisitFields(auto& visit, MaybeConst<SessionDraining> auto& value) {
  visit("session", value.session_);
}

void VisitFields(auto& visit, MaybeConst<SessionEnded> auto& value) {
  visit("session", value.session_);
}

void VisitFields(auto& visit, MaybeConst<Move> auto& value) {
  visit("unit", value.unit_);
  visit("from", value.from_);
  visit("to", value.to_);
  visit("base_token", value.base_token_);
}

void VisitFields(auto& visit, MaybeConst<MovesStarted> auto& value) {
  visit("moves", value.moves_);
  visit("reason", value.reason_);
}

void VisitFields(auto& visit, MaybeConst<CompletedMove> auto& value) {
  visit("unit", value.unit_);
  visit("token", value.token_);
}

void VisitFields(auto& visit, MaybeConst<MovesCompleted> auto& value) {
  visit("session", value.session_);
  visit("moves", value.moves_);
}

void VisitFields(auto& visit, MaybeConst<KeySplit> auto& value) {
  visit("service", value.service_);
  visit("key_hash", value.key_hash_);
  visit("base_token", value.base_token_);
}

void VisitFields(auto& visit, MaybeConst<KeyMerged> auto& value) {
  visit("service", value.service_);
  visit("key_hash", value.key_hash_);
  visit("base_token", value.base_token_);
}

void VisitFields(auto& visit, MaybeConst<Checkpoint> auto& value) {
  visit("through_offset", value.through_offset_);
  visit.Bytes("state", value.state_);
}

void VisitFields(auto& visit, MaybeConst<GrantorAssignment> auto& value) {
  visit("grantor", value.grantor_);
  visit("since", value.since_);
  visit("attested", value.attested_);
}

void VisitFields(auto& visit, MaybeConst<Session> auto& value) {
  visit("join", value.join_);
  visit("joined_at", value.joined_at_);
  visit("epoch", value.epoch_);
  visit("epoch_since", value.epoch_since_);
  visit("draining", value.draining_);
  visit("grantors", value.grantors_);
  visit("grantors_changed_at", value.grantors_changed_at_);
}

void VisitFields(auto& visit, MaybeConst<EndedSession> auto& value) {
  visit("ended_at", value.ended_at_);
  visit("grantors", value.grantors_);
  visit("grantors_changed_at", value.grantors_changed_at_);
}

void VisitFields(auto& visit, MaybeConst<PendingMove> auto& value) {
  visit("to", value.to_);
  visit("token", value.token_);
}

void VisitFields(auto& visit, MaybeConst<FormerHolder> auto& value) {
  visit("session", value.session_);
  visit("token", value.token_);
}

void VisitFields(auto& visit, MaybeConst<Unit> auto& value) {
  visit("owner", value.owner_);
  visit("token", value.token_);
  visit("move", value.move_);
  visit("inherited_from", value.inherited_from_);
  visit("inherited_token", value.inherited_token_);
  visit("earlier_holders", value.earlier_holders_);
}

void VisitFields(auto& visit, MaybeConst<Override> auto& value) {
  visit("unit", value.unit_);
  visit("ownership", value.ownership_);
}

void VisitFields(auto& visit, MaybeConst<ServiceState> auto& value) {
  visit("shards", value.shards_);
  visit("overrides", value.overrides_);
  visit("next_override_unit", value.next_override_unit_);
}

// The parsed configuration isn't encoded: DecodeState() parses the files again.
void VisitFields(auto& visit, MaybeConst<ControlState> auto& value) {
  visit("next_offset", value.next_offset_);
  visit("configuration_version", value.configuration_version_);
  visit("configuration_since", value.configuration_since_);
  visit("files", value.files_);
  visit("sessions", value.sessions_);
  visit("ended", value.ended_);
  visit("services", value.services_);
}

/// Builds a CBOR map from the fields of a struct.
class Writer {
 public:
  void operator()(const char* name, const auto& value) { map_[name] = Encode(value); }

  void Bytes(const char* name, const std::string& value) {
    map_[name] = Json::binary({value.begin(), value.end()});
  }

  template <typename T>
  static Json Encode(const T& value) {
    if constexpr (std::integral<T> || std::same_as<T, std::string>) {
      return value;
    } else {
      Writer writer;
      VisitFields(writer, value);
      return std::move(writer.map_);
    }
  }

  template <typename T>
  static Json Encode(const std::optional<T>& value) {
    return value ? Encode(*value) : Json();
  }

  template <typename T>
  static Json Encode(const std::vector<T>& values) {
    Json list = Json::array();
    for (const T& value : values) {
      list.push_back(Encode(value));
    }
    return list;
  }

  // Encodes a map as an array of pairs, since the library supports only text keys in CBOR maps.
  template <typename K, typename V, typename C>
  static Json Encode(const std::map<K, V, C>& values) {
    Json list = Json::array();
    for (const auto& [key, value] : values) {
      list.push_back(Json::array({Encode(key), Encode(value)}));
    }
    return list;
  }

 private:
  Json map_ = Json::object();
};

/// Fills the fields of a struct from a CBOR map. Unknown fields are ignored. Decoding fails on a
/// missing field, a wrong type, a number out of range or text that isn't UTF-8.
class Reader {
 public:
  explicit Reader(const Json& map) : map_(map), valid_(map.is_object()) {}

  void operator()(const char* name, auto& value) {
    const Json* field = FindField(name);
    valid_ = field != nullptr && Decode(*field, value);
  }

  void Bytes(const char* name, std::string& value) {
    const Json* field = FindField(name);
    valid_ = field != nullptr && field->is_binary();
    if (valid_) {
      const auto& bytes = field->get_binary();
      value.assign(bytes.begin(), bytes.end());
    }
  }

  bool IsValid() const { return valid_; }

  template <typename T>
  static bool Decode(const Json& json, T& value) {
    if constexpr (std::same_as<T, bool>) {
      return json.is_boolean() && (value = json.get<bool>(), true);
    } else if constexpr (std::unsigned_integral<T>) {
      return json.is_number_unsigned() && std::in_range<T>(json.get<std::uint64_t>()) &&
             (value = json.get<T>(), true);
    } else if constexpr (std::same_as<T, std::string>) {
      return json.is_string() && IsUtf8(json.get_ref<const std::string&>()) &&
             (value = json.get_ref<const std::string&>(), true);
    } else {
      Reader reader(json);
      VisitFields(reader, value);
      return reader.valid_;
    }
  }

  template <typename T>
  static bool Decode(const Json& json, std::optional<T>& value) {
    value.reset();
    return json.is_null() || Decode(json, value.emplace());
  }

  template <typename T>
  static bool Decode(const Json& json, std::vector<T>& values) {
    values.clear();
    bool valid = json.is_array();
    for (std::size_t i = 0; valid && i < json.size(); ++i) {
      valid = Decode(json[i], values.emplace_back());
    }
    return valid;
  }

  template <typename K, typename V, typename C>
  static bool Decode(const Json& json, std::map<K, V, C>& values) {
    values.clear();
    bool valid = json.is_array();
    for (std::size_t i = 0; valid && i < json.size(); ++i) {
      K key{};
      valid = json[i].is_array() && json[i].size() == 2 && Decode(json[i][0], key) &&
              !values.contains(key) && Decode(json[i][1], values[key]);
    }
    return valid;
  }

 private:
  const Json* FindField(const char* name) const {
    if (!valid_) {
      return nullptr;
    }
    const auto field = map_.find(name);
    return field == map_.end() ? nullptr : &*field;
  }

  const Json& map_;
  bool valid_;
};

}  // namespace sassafrasbay::cbor
