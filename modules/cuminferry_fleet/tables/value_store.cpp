#include "cuminferry_fleet/tables/value_store.h"

#include <functional>
#include <map>

namespace cuminferry {
namespace {

struct stored_value {
  value_version in_force;
  std::string text;
  value_version invalid;
};

// Parses a content into the result. Returns false and sets the status where it is invalid.
bool ParseContent(std::string_view name, std::string_view json, offer_result& result) {
  if (KindOf(name) == value_kind::kShard) {
    absl::StatusOr<table_shard> shard = ParseShard(json);
    if (!shard.ok()) {
      result.status = shard.status();
      return false;
    }
    result.version = {shard->service.name, shard->version, ShardDigest(*shard)};
    result.shard = *std::move(shard);
    return true;
  }
  absl::StatusOr<published_instances> list = published_instances::Parse(json);
  if (!list.ok()) {
    result.status = list.status();
    return false;
  }
  result.version = {InstancesName(list->service), list->version, DigestOf(list->ToJson())};
  result.instances = *std::move(list);
  return true;
}

}  // namespace

class value_store::state {
 public:
  void Follow(std::string_view name) { values_.try_emplace(std::string(name)); }

  stored_value* Find(std::string_view name) {
    const auto found = values_.find(name);
    return found == values_.end() ? nullptr : &found->second;
  }

  offer_result Offer(std::string_view name, std::string_view json, const value_version* announced) {
    offer_result result;
    stored_value* const stored = Find(name);
    if (stored == nullptr) {
      return result;
    }
    if (!ParseContent(name, json, result)) {
      ClassifyUnreadable(json, announced, *stored, result);
    } else if (result.version.name != name) {
      result.outcome = offer_outcome::kDamaged;
      result.status = MakeStatus(result_code::kPlatformBadValue,
                                 "the name of the value is not the requested one");
    } else {
      Classify(json, announced, *stored, result);
    }
    if (result.outcome == offer_outcome::kAccepted) {
      stored->in_force = result.version;
      stored->text = json;
    }
    return result;
  }

  const std::map<std::string, stored_value, std::less<>>& values() const { return values_; }

 private:
  // Every node gets the same result for the same text, so an invalid edit is rejected by the
  // whole fleet or by no node. Only a text with the announced digest is the edit itself.
  static void ClassifyUnreadable(std::string_view json, const value_version* announced,
                                 stored_value& stored, offer_result& result) {
    const std::uint64_t digest = DigestOf(json);
    const bool is_announced_text = announced != nullptr && announced->digest == digest;
    result.outcome = is_announced_text ? offer_outcome::kInvalid : offer_outcome::kDamaged;
    if (is_announced_text) {
      result.version = *announced;
      stored.invalid = *announced;
    }
  }

  static void Classify(std::string_view json, const value_version* announced,
                       const stored_value& stored, offer_result& result) {
    value_version& offered = result.version;
    // The digest may have been announced for a text that is not canonical JSON.
    if (announced != nullptr && announced->digest == DigestOf(json)) {
      offered.digest = announced->digest;
    }
    if (offered.version < stored.in_force.version || offered == stored.in_force) {
      result.outcome = offer_outcome::kNotNewer;
      return;
    }
    const bool other_than_announced = announced != nullptr &&
                                      announced->version == offered.version &&
                                      announced->digest != offered.digest;
    if (offered.version == stored.in_force.version || other_than_announced) {
      result.outcome = offer_outcome::kConflict;
      result.status = MakeStatus(result_code::kTableVersionConflict, offered.name);
      return;
    }
    result.outcome = offer_outcome::kAccepted;
  }

  std::map<std::string, stored_value, std::less<>> values_;
};

value_store::value_store() : state_(std::make_unique<state>()) {}

value_store::~value_store() = default;

void value_store::Follow(std::string_view name) { state_->Follow(name); }

bool value_store::Follows(std::string_view name) const { return state_->Find(name) != nullptr; }

offer_result value_store::Offer(std::string_view name, std::string_view json,
                                const value_version* announced) {
  return state_->Offer(name, json, announced);
}

std::uint64_t value_store::VersionOf(std::string_view name) const {
  const stored_value* const found = state_->Find(name);
  return found == nullptr ? 0 : found->in_force.version;
}

bool value_store::IsKnownInvalid(const value_version& version) const {
  const stored_value* const found = state_->Find(version.name);
  return found != nullptr && found->invalid == version;
}

std::string_view value_store::TextOf(std::string_view name) const {
  const stored_value* const found = state_->Find(name);
  return found == nullptr ? std::string_view() : found->text;
}

std::vector<value_version> value_store::InForce() const {
  std::vector<value_version> all;
  for (const auto& [name, value] : state_->values()) {
    if (value.in_force.version > 0) {
      all.push_back(value.in_force);
    }
  }
  return all;
}

}  // namespace cuminferry
