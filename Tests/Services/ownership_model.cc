#include "ownership_model.h"

#include <algorithm>
#include <iostream>

#include "LibOwnership/key_table_codec.h"

namespace sassafrasbay {
namespace {

constexpr int kNodes = 4;
constexpr milliseconds kTimeStep{20};
constexpr milliseconds kHeartbeatInterval{870};
constexpr ShardKey kKeyStep = 1024;
constexpr std::int64_t kUnixOffsetMs = 1'700'000'000'000;

milliseconds SinceBoot(BootTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

}  // namespace

void ModelStore::Append(std::string_view, std::span<const KeyedRecord> records,
                        std::optional<std::uint64_t> at,
                        std::function<void(Result<TopicPosition>)> callback) {
  const KeyedRecord& record = records.front();
  const auto answer = [this, callback](milliseconds delay, const Result<TopicPosition>& result) {
    events_.push_back({now_ + delay, [callback, result] { callback(result); }});
  };
  const Error lost = MakeError(Errc::kTimedOut, "append record", "store", {});
  const auto draw = random_() % 100;
  if (is_down_) {
    answer(milliseconds(40), MakeError(Errc::kUnavailable, "append record", "store", {}));
  } else if (draw < 70) {
    const std::uint64_t offset = records_.size();
    if (TakeEffect(record, at)) {
      answer(milliseconds(20), TopicPosition{0, offset});
    } else {
      answer(milliseconds(20), MakeError(Errc::kConflict, "append record", "store", {}));
    }
  } else if (draw < 80) {
    TakeEffect(record, at);
    answer(milliseconds(1500), lost);
  } else if (draw < 95) {
    events_.push_back({now_ + milliseconds(1000 + static_cast<int>(random_() % 8000)),
                       [this, record, at] { TakeEffect(record, at); }});
    answer(milliseconds(1500), lost);
  } else {
    answer(milliseconds(1500), lost);
  }
}

bool ModelStore::TakeEffect(const KeyedRecord& record, std::optional<std::uint64_t> at) {
  if (at && *at != records_.size()) {
    return false;
  }
  records_.push_back(record);
  records_.back().offset_ = records_.size() - 1;
  return true;
}

void ModelStore::Advance(BootTime now) {
  now_ = now;
  std::vector<Event> due;
  std::erase_if(events_, [&](const Event& event) {
    if (event.due_ > now) {
      return false;
    }
    due.push_back(event);
    return true;
  });
  for (const Event& event : due) {
    event.run_();
  }
}

OwnershipModel::OwnershipModel(std::uint64_t seed, bool trace)
    : trace_(trace), random_(seed), now_(std::chrono::minutes(10)), store_(random_) {
  max_token_.resize(kLastShardKey / kKeyStep + 1);
  last_holder_.resize(max_token_.size());
  nodes_.resize(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    ModelNode& node = nodes_[static_cast<std::size_t>(i)];
    node.address_ = "node-" + std::to_string(i);
    node.upstream_.started_at_ = now_;
    node.upstream_.next_heartbeat_ = now_ + RandomDuration(0, 870);
    Restart(node);
  }
}

bool OwnershipModel::RandomChance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

milliseconds OwnershipModel::RandomDuration(int from, int to) {
  return milliseconds(std::uniform_int_distribution<int>(from, to)(random_));
}

// A new process has no state. It registers, and decides nothing before it has read its
// registration.
void OwnershipModel::Restart(ModelNode& node) {
  node.running_ = true;
  node.started_ = now_;
  node.read_to_ = 0;
  node.registration_offset_ = 0;
  node.table_ = KeyTable{"lookup", 0, {}};
  node.confirmed_ = {};
  node.registry_ = UpstreamRegistry{};
  node.registry_.self_ = node.address_;
  node.promises_ = std::make_unique<SharedPromises>();
  node.registered_.reset();
  node.received_promises_.clear();
  node.key_table_writer_ = std::make_unique<KeyTableWriter>(
      store_, *node.promises_, [](const KeyedRecord&, std::uint64_t) {});
}

std::string OwnershipModel::Run(milliseconds duration) {
  const BootTime end = now_ + duration;
  while (now_ < end && violation_.empty()) {
    now_ += kTimeStep;
    store_.Advance(now_);
    if (RandomChance(0.012)) {
      InjectFault();
    }
    for (ModelNode& node : nodes_) {
      StepNode(node);
      StepUpstream(node);
    }
    CheckInvariants();
  }
  return violation_;
}

void OwnershipModel::Trace(const ModelNode& node, const std::string& text) const {
  if (trace_) {
    std::cout << SinceBoot(now_).count() - 600'000 << " " << node.address_ << " " << text << "\n";
  }
}

void OwnershipModel::InjectFault() {
  ModelNode& node = nodes_[random_() % nodes_.size()];
  const auto kind = random_() % 8;
  Trace(node, "fault " + std::to_string(kind));
  switch (kind) {
    case 0:
      // Appends of the ended process may still take effect, but nobody gets their answers. Its
      // KeyTableWriter is kept, since the store's pending callbacks refer to it.
      node.running_ = false;
      node.answers_in_transit_.clear();
      node.restart_at_ = now_ + RandomDuration(300, 5000);
      break;
    case 1:
      node.frozen_until_ = now_ + RandomDuration(500, 9000);
      break;
    case 2:
      node.no_store_until_ = now_ + RandomDuration(500, 12000);
      break;
    case 3:
      node.no_peers_until_ = now_ + RandomDuration(500, 12000);
      break;
    case 4:
      node.no_store_until_ = node.no_peers_until_ = now_ + RandomDuration(500, 14000);
      break;
    case 5:
      node.upstream_.started_at_.reset();
      node.upstream_.next_heartbeat_ = now_ + RandomDuration(200, 4000);
      break;
    case 6:
      node.upstream_.heartbeat_.draining_ = true;
      break;
    default:
      store_.is_down_ = !store_.is_down_ && RandomChance(0.5);
  }
}

void OwnershipModel::ReadStore(ModelNode& node) {
  if (store_.is_down_ || now_ < node.no_store_until_ || RandomChance(0.3)) {
    return;
  }
  // An answer states what was true when the store made it, some time before it arrives.
  const bool slow = RandomChance(0.3);
  const BootTime requested_at = now_ - (slow ? RandomDuration(20, 900) : milliseconds(20));
  for (; node.read_to_ < store_.records_.size(); ++node.read_to_) {
    const KeyedRecord& record = store_.records_[node.read_to_];
    if (!record.key_.starts_with(kTablePrefix)) {
      continue;
    }
    KeyTable table = DecodeKeyTable(record.value_).value();
    if (table.version_ > node.table_.version_) {
      Trace(node, "reads " + EncodeKeyTable(table));
      node.key_table_writer_->OnTableChanged(node.table_, table, now_);
      node.table_ = std::move(table);
    }
  }
  node.confirmed_ = std::max(node.confirmed_, requested_at);
  if (node.registration_offset_ == 0) {
    store_.records_.push_back({store_.records_.size(), std::string(kNodePrefix), "{}"});
    node.registration_offset_ = store_.records_.size();
  }
}

bool OwnershipModel::Reaches(const ModelNode& left, const ModelNode& right) const {
  const auto is_up = [&](const ModelNode& node) {
    return node.running_ && now_ >= node.frozen_until_ && now_ >= node.no_peers_until_;
  };
  return is_up(left) && is_up(right);
}

// Delivers a report of `other` to `node`. It echoes a clock of up to some hundred milliseconds ago.
void OwnershipModel::DeliverReport(ModelNode& node, ModelNode& other) {
  const BootTime echoed = now_ - RandomDuration(20, 400);
  if (other.read_to_ == node.read_to_) {
    node.confirmed_ = std::max(node.confirmed_, other.confirmed_ - (now_ - echoed));
  }
  const bool promises = other.registered_ && other.promises_->Give(node.address_, now_);
  if (promises) {
    node.received_promises_[other.address_] = {echoed, {0, other.read_to_}};
  }
}

OwnershipView OwnershipModel::MakeView(const ModelNode& node) const {
  OwnershipView view;
  view.self_ = node.address_;
  view.now_ = now_;
  view.started_ = node.started_;
  view.local_upstream_ = node.registry_.local_upstream_;
  view.registered_ = node.registered_;
  view.newest_born_ms_ = ConfirmedBornMs(node.registry_);
  view.reaches_store_ = now_ >= node.no_store_until_ && !store_.is_down_ &&
                        now_ - node.confirmed_ < milliseconds(2000);
  view.known_nodes_ = nodes_.size();
  for (const ModelNode& other : nodes_) {
    if (other.address_ == node.address_ || !Reaches(node, other)) {
      continue;
    }
    NodeView peer;
    peer.address_ = other.address_;
    peer.last_seen_ = now_;
    peer.reaches_store_ = now_ >= other.no_store_until_;
    const LocalUpstream& own = other.registry_.local_upstream_;
    if (own.holder_ && !own.draining_ && !own.has_left_ && !own.has_exited_) {
      peer.upstream_ = Candidate{*own.holder_, own.slots_};
    }
    view.nodes_.push_back(std::move(peer));
    ++view.reachable_nodes_;
  }
  return view;
}

void OwnershipModel::StepNode(ModelNode& node) {
  if (!node.running_) {
    if (now_ < node.restart_at_) {
      return;
    }
    // Pending appends of the ended process refer to its KeyTableWriter.
    ended_processes_.emplace_back(std::move(node.promises_), std::move(node.key_table_writer_));
    Restart(node);
  }
  if (now_ < node.frozen_until_) {
    return;
  }
  ReadStore(node);
  for (ModelNode& other : nodes_) {
    if (&other != &node && Reaches(node, other) && RandomChance(0.1)) {
      DeliverReport(node, other);
    }
  }
  if (!node.registered_ && node.registration_offset_ > 0 &&
      node.read_to_ >= node.registration_offset_) {
    node.registered_ = now_;
  }
  node.promises_->Resolve({0, node.read_to_});
  if (now_ < node.next_decision_ || node.registration_offset_ == 0 ||
      node.read_to_ < node.registration_offset_) {
    return;
  }
  node.next_decision_ = now_ + milliseconds(100);
  node.key_table_writer_->Decide(node.table_, {0, node.read_to_}, MakeView(node));
}

void OwnershipModel::SendHeartbeat(ModelNode& node) {
  ModelUpstream& upstream = node.upstream_;
  ++upstream.heartbeat_.sequence_;
  upstream.next_heartbeat_ = now_ + kHeartbeatInterval;
  if (!node.running_ || now_ < node.frozen_until_) {
    return;
  }
  UpstreamHeartbeat heartbeat = upstream.heartbeat_;
  if (now_ >= upstream.held_until_) {
    heartbeat.held_.clear();
  }
  heartbeat.released_ = upstream.released_;
  const HeartbeatEffect effect = RecordHeartbeat(node.registry_, heartbeat, now_);
  if (effect == HeartbeatEffect::kOutdated || effect == HeartbeatEffect::kUnconfirmed) {
    return;
  }
  HeartbeatAnswer answer;
  std::vector<std::string> others;
  for (const ModelNode& other : nodes_) {
    if (&other != &node) {
      others.push_back(other.address_);
    }
  }
  answer = DecideHeartbeatAnswer(
      node.table_, MakeView(node),
      GrantReferenceTime(node.confirmed_, {0, node.read_to_}, node.received_promises_, others),
      milliseconds(10'000));
  RecordGrant(node.registry_, answer, now_);
  node.answers_in_transit_.push_back(
      {now_ + (RandomChance(0.1) ? RandomDuration(0, 900) : milliseconds(0)), now_,
       heartbeat.born_ms_, answer});
}

void OwnershipModel::ApplyAnswer(ModelNode& node, const ModelAnswer& answer) {
  ModelUpstream& upstream = node.upstream_;
  if (!upstream.started_at_ || answer.born_ms_ != upstream.heartbeat_.born_ms_) {
    return;
  }
  upstream.released_.clear();
  if (!answer.heartbeat_answer_.grant_duration_) {
    return;
  }
  const std::vector<HeldRange> before =
      now_ < upstream.held_until_ ? upstream.heartbeat_.held_ : std::vector<HeldRange>{};
  bool released_any = false;
  for (const HeldRange& held : before) {
    for (const KeySpan& released : KeysNotHeld(held.keys_, answer.heartbeat_answer_.ranges_)) {
      upstream.released_.push_back({released, "handover"});
      released_any = true;
    }
  }
  upstream.heartbeat_.held_ = answer.heartbeat_answer_.ranges_;
  std::string ranges;
  for (const HeldRange& range : answer.heartbeat_answer_.ranges_) {
    ranges += " " + std::to_string(range.keys_.first_) + "-" + std::to_string(range.keys_.last_) +
              ":" + std::to_string(range.token_);
  }
  Trace(node, "grants for " + std::to_string(answer.heartbeat_answer_.grant_duration_->count()) +
                  " ms from " +
                  std::to_string(SinceBoot(answer.heartbeat_sent_at_).count() - 600'000) + ranges);
  // The upstream's clock runs 2% slow, so the grant lasts longer in real time.
  upstream.held_until_ =
      answer.heartbeat_sent_at_ +
      milliseconds(answer.heartbeat_answer_.grant_duration_->count() * 102 / 100);
  if (released_any) {
    upstream.next_heartbeat_ = std::min(upstream.next_heartbeat_, now_ + milliseconds(100));
  }
}

void OwnershipModel::StepUpstream(ModelNode& node) {
  ModelUpstream& upstream = node.upstream_;
  if (!upstream.started_at_) {
    if (now_ < upstream.next_heartbeat_) {
      return;
    }
    upstream = ModelUpstream{};
    node.answers_in_transit_.clear();
    upstream.started_at_ = now_;
  }
  if (upstream.heartbeat_.born_ms_ == 0) {
    upstream.heartbeat_.born_ms_ = kUnixOffsetMs + SinceBoot(now_).count();
    upstream.heartbeat_.instance_ =
        node.address_ + "-" + std::to_string(upstream.heartbeat_.born_ms_);
    upstream.heartbeat_.slots_ = 18;
    upstream.heartbeat_.service_ = "lookup";
  }
  for (const ModelAnswer& answer : node.answers_in_transit_) {
    if (answer.arrives_ <= now_) {
      ApplyAnswer(node, answer);
    }
  }
  std::erase_if(node.answers_in_transit_,
                [&](const ModelAnswer& answer) { return answer.arrives_ <= now_; });
  // Heartbeats are sent one at a time: the next one waits for the answer.
  if (now_ >= upstream.next_heartbeat_ && node.answers_in_transit_.empty()) {
    SendHeartbeat(node);
  }
}

void OwnershipModel::CheckInvariants() {
  for (std::size_t i = 0; i < max_token_.size(); ++i) {
    const auto key = static_cast<ShardKey>(i * kKeyStep);
    std::string holder;
    std::uint64_t token = 0;
    for (const ModelNode& node : nodes_) {
      if (!node.upstream_.started_at_ || now_ >= node.upstream_.held_until_) {
        continue;
      }
      for (const HeldRange& held : node.upstream_.heartbeat_.held_) {
        if (key < held.keys_.first_ || key > held.keys_.last_) {
          continue;
        }
        if (!holder.empty()) {
          violation_ = "key " + std::to_string(key) + " is held by " + holder + " and " +
                       node.upstream_.heartbeat_.instance_;
        }
        holder = node.upstream_.heartbeat_.instance_;
        token = held.token_;
      }
    }
    ++samples_;
    if (holder.empty()) {
      continue;
    }
    ++held_samples_;
    const bool same = holder == last_holder_[i];
    if (token < max_token_[i] || (!same && token == max_token_[i])) {
      violation_ = "key " + std::to_string(key) + " was granted to " + holder + " with token " +
                   std::to_string(token) + ", expected a token above " +
                   std::to_string(max_token_[i]);
    }
    max_token_[i] = token;
    last_holder_[i] = holder;
  }
}

double OwnershipModel::HeldFraction() const {
  return static_cast<double>(held_samples_) /
         static_cast<double>(std::max<std::uint64_t>(1, samples_));
}

}  // namespace sassafrasbay
