#include "ownership_model.h"

#include <algorithm>
#include <iostream>

#include "LibOwnership/key_table_codec.h"

namespace sassafrasbay {
namespace {

constexpr int kNodes = 4;
constexpr milliseconds kTimeStep{20};
constexpr milliseconds kHeartbeatInterval{870};
constexpr milliseconds kForeignHeartbeatInterval{400};
constexpr ShardKey kKeyStep = 1024;
constexpr std::string_view kService = "lookup";

/// In each step: a restore every 25 s.
constexpr double kRestoreProbability = 0.0008;

/// In each step: another writer every 10 s.
constexpr double kForeignWriterProbability = 0.002;

/// Time after which a registration that isn't read back is written again.
constexpr milliseconds kRegistrationInterval{2000};

/// Age above which what a peer reported isn't used.
constexpr milliseconds kMaxReportAge{1500};

/// An upstream may be full, so that it doesn't answer its health check.
constexpr double kProbeAnswerProbability = 0.7;

constexpr std::int64_t kUnixOffsetMs = 1'700'000'000'000;

milliseconds SinceBoot(BootTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

}  // namespace

OwnershipModel::OwnershipModel(std::uint64_t seed, const ModelFaults& faults, bool trace)
    : faults_(faults),
      trace_(trace),
      random_(seed),
      now_(std::chrono::minutes(10)),
      store_(random_) {
  max_token_.resize(kLastShardKey / kKeyStep + 1);
  last_holder_.resize(max_token_.size());
  nodes_.resize(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    ModelNode& node = nodes_[static_cast<std::size_t>(i)];
    node.address_ = "node-" + std::to_string(i);
    node.upstream_.started_at_ = now_;
    node.upstream_.next_heartbeat_ = now_ + RandomDuration(0, 870);
    Restart(node);
    node.may_begin_ = true;
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
  node.incarnation_ = std::to_string(random_());
  node.end_ = {};
  node.is_current_ = node.may_begin_ = node.is_table_void_ = false;
  node.records_ = {};
  SetTable(node.records_, {std::string(kService), 0, {}});
  node.newest_era_ = 0;
  node.next_registration_ = {};
  node.peer_ends_.clear();
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
    if (faults_.restores_ && RandomChance(kRestoreProbability)) {
      RestoreStore();
    }
    if (faults_.foreign_writers_ && RandomChance(kForeignWriterProbability)) {
      StartForeignWriter(nodes_[random_() % nodes_.size()]);
    }
    for (ModelNode& node : nodes_) {
      StepNode(node);
      StepUpstream(node);
      SendForeignHeartbeat(node);
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
      EndProcess(node);
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

void OwnershipModel::RestoreStore() {
  // Most restores are of a copy of the last seconds, some of one from before everything.
  store_.Restore(now_ - RandomDuration(100, RandomChance(0.1) ? 100'000 : 12'000));
  store_.is_down_ = RandomChance(0.3);
  const double share = RandomChance(0.3) ? 1.0 : RandomChance(0.5) ? 0.5 : 0.0;
  for (ModelNode& node : nodes_) {
    if (node.running_ && RandomChance(share)) {
      EndProcess(node);
    }
  }
}

// Appends of the ended process may still take effect, but nobody gets their answers. Its
// KeyTableWriter is kept, since the store's pending callbacks refer to it.
void OwnershipModel::EndProcess(ModelNode& node) {
  node.running_ = false;
  node.answers_in_transit_.clear();
  node.restart_at_ = now_ + RandomDuration(300, 5000);
}

void OwnershipModel::ReadStore(ModelNode& node) {
  if (store_.is_down_ || now_ < node.no_store_until_ || RandomChance(0.3)) {
    return;
  }
  if (node.is_current_ && node.end_.era_ == store_.era_) {
    ReadNext(node);
  } else {
    ReadNewest(node);
  }
  Register(node);
}

void OwnershipModel::ReadNext(ModelNode& node) {
  // An answer states what was true when the store made it, some time before it arrives.
  const bool slow = RandomChance(0.3);
  const BootTime requested_at = now_ - (slow ? RandomDuration(20, 900) : milliseconds(20));
  for (; node.end_.offset_ < store_.records_.size(); ++node.end_.offset_) {
    const KeyedRecord& record = store_.records_[node.end_.offset_];
    if (record.key_ == std::string(kNodePrefix) + node.address_) {
      OnOwnRegistration(node, record.value_);
    }
    if (record.key_.starts_with(kNodePrefix)) {
      SetNodeRecord(node.records_, record.key_, record.value_);
    }
    if (!record.key_.starts_with(kTablePrefix)) {
      continue;
    }
    KeyTable table = DecodeKeyTable(record.value_).value();
    if (table.version_ <= FirstTableVersion(node.end_.era_)) {
      node.is_table_void_ = true;
    } else if (table.version_ > FindTable(node.records_, kService)->version_) {
      node.is_table_void_ = false;
      Trace(node, "reads " + EncodeKeyTable(table));
      SetModelTable(node, std::move(table));
    }
  }
  node.confirmed_ = std::max(node.confirmed_, requested_at);
}

void OwnershipModel::SetModelTable(ModelNode& node, KeyTable table) {
  node.key_table_writer_->OnTableChanged(*FindTable(node.records_, kService), table, now_);
  SetTable(node.records_, std::move(table));
}

void OwnershipModel::OnOwnRegistration(ModelNode& node, const std::string& value) {
  if (value != node.incarnation_) {
    node.registered_.reset();
  } else if (!node.registered_) {
    node.registered_ = now_;
  }
}

void OwnershipModel::Adopt(ModelNode& node, const FleetRecords& records, const TopicPosition& end) {
  const KeyTable* table = FindTable(records, kService);
  SetModelTable(node, table != nullptr
                          ? *table
                          : KeyTable{std::string(kService), FirstTableVersion(end.era_), {}});
  node.records_.node_records_ = records.node_records_;
  const auto own = records.node_records_->find(std::string(kNodePrefix) + node.address_);
  OnOwnRegistration(node, own == records.node_records_->end() ? "" : own->second);
  if (node.end_.era_ != end.era_) {
    node.confirmed_ = {};
  }
  node.end_ = end;
  node.is_current_ = true;
  node.is_table_void_ = false;
  Trace(node, "adopts " + ToString(end));
}

// As ControlThread::MayReplaceRecords and SettleHistory.
void OwnershipModel::ReadNewest(ModelNode& node) {
  const StoredRecords stored = store_.Newest();
  const TopicPosition end{store_.era_, store_.records_.size()};
  const bool begins = node.may_begin_ && store_.era_ == 1 && stored.empty();
  if (IsSettled(stored, store_.era_) || begins) {
    FleetRecords records;
    for (const auto& [key, value] : stored) {
      if (key.starts_with(kNodePrefix)) {
        SetNodeRecord(records, key, value);
      } else if (key.starts_with(kTablePrefix)) {
        SetTable(records, DecodeKeyTable(value).value());
      }
    }
    node.newest_era_ = store_.era_;
    Adopt(node, records, end);
    return;
  }
  if (node.newest_era_ != store_.era_) {
    node.newest_era_ = store_.era_;
    node.unsettled_since_ = now_;
  }
  Settle(node);
}

void OwnershipModel::Settle(ModelNode& node) {
  SettlementView view;
  view.self_ = node.address_;
  view.now_ = now_;
  view.seen_at_ = node.unsettled_since_;
  view.registered_ = node.registered_;
  view.tables_end_ = node.end_;
  for (const ModelNode& other : nodes_) {
    const auto reported = node.peer_ends_.find(other.address_);
    if (reported != node.peer_ends_.end() && now_ - reported->second.second < kMaxReportAge) {
      view.peers_.push_back(
          {other.address_, reported->second.first, true, IsKnownToOwners(other.registered_, now_)});
    }
  }
  view.is_isolated_ = (view.peers_.size() + 1) * 2 < nodes_.size();
  if (!ShouldSettle(view)) {
    return;
  }
  std::vector<KeyedRecord> records;
  for (auto& [key, value] : SettlementRecords(node.is_current_ ? &node.records_ : nullptr,
                                              store_.Newest(), store_.era_, node.address_)) {
    records.push_back({0, std::move(key), std::move(value)});
  }
  Trace(node, "settles era " + std::to_string(store_.era_) + " knowing " + ToString(node.end_));
  store_.Append(kFleetTopic, records, store_.records_.size(), [](const Result<TopicPosition>&) {});
}

void OwnershipModel::Register(ModelNode& node) {
  if (node.registered_ || !node.is_current_ || node.end_.era_ != store_.era_ ||
      now_ < node.next_registration_) {
    return;
  }
  node.next_registration_ = now_ + kRegistrationInterval;
  std::vector<KeyedRecord> records{
      {0, std::string(kNodePrefix) + node.address_, node.incarnation_}};
  if (std::exchange(node.may_begin_, false)) {
    records.push_back({0, HistoryKey(node.end_.era_), node.address_});
  }
  store_.Append(kFleetTopic, records, std::nullopt, [](const Result<TopicPosition>&) {});
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
  node.peer_ends_[other.address_] = {other.end_, now_};
  // Nodes send their state to those that know less.
  if (other.is_current_ && other.end_ > node.end_ && RandomChance(0.1)) {
    Adopt(node, other.records_, other.end_);
  }
  if (other.end_ == node.end_ && other.is_current_) {
    node.confirmed_ = std::max(node.confirmed_, other.confirmed_ - (now_ - echoed));
  }
  const bool may_promise =
      other.registered_ || (other.is_current_ && other.end_.era_ < other.newest_era_ &&
                            MayPromiseUnregistered(other.registry_, other.records_));
  const bool promises = may_promise && other.promises_->Give(node.address_, now_);
  if (promises) {
    node.received_promises_[other.address_] = {echoed, other.end_};
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
  view.is_overwritten_ = node.is_table_void_;
  view.reaches_store_ = node.registered_ && now_ >= node.no_store_until_ && !store_.is_down_ &&
                        node.newest_era_ <= node.end_.era_ &&
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
  node.promises_->Resolve(node.end_);
  if (now_ < node.next_decision_ || !node.registered_) {
    return;
  }
  node.next_decision_ = now_ + milliseconds(100);
  node.key_table_writer_->Decide(*FindTable(node.records_, kService), node.end_, MakeView(node));
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
  if (const auto answer = Receive(node, heartbeat)) {
    node.answers_in_transit_.push_back(
        {now_ + (RandomChance(0.1) ? RandomDuration(0, 900) : milliseconds(0)), now_,
         heartbeat.born_ms_, *answer});
  }
}

std::optional<HeartbeatAnswer> OwnershipModel::Receive(ModelNode& node,
                                                       const UpstreamHeartbeat& heartbeat) {
  HeartbeatEffect effect = RecordHeartbeat(node.registry_, heartbeat, now_, Arbiter::kPort);
  if ((CanPortDecide(node.registry_) || ConfirmedBornMs(node.registry_) == 0) &&
      RandomChance(kProbeAnswerProbability)) {
    const bool is_up = node.upstream_.started_at_.has_value();
    const HeartbeatEffect named = RecordPortAnswer(
        node.registry_, is_up ? node.upstream_.heartbeat_.instance_ : std::string(), now_);
    effect = named == HeartbeatEffect::kNewIncarnation ? named : effect;
  }
  if (effect == HeartbeatEffect::kOutdated || effect == HeartbeatEffect::kUnconfirmed ||
      node.registry_.newest_->instance_ != heartbeat.instance_) {
    return std::nullopt;
  }
  std::vector<std::string> others;
  for (const ModelNode& other : nodes_) {
    if (&other != &node) {
      others.push_back(other.address_);
    }
  }
  HeartbeatAnswer answer = DecideHeartbeatAnswer(
      *FindTable(node.records_, kService), MakeView(node),
      GrantReferenceTime(node.confirmed_, node.end_, node.received_promises_, others),
      milliseconds(10'000));
  RecordGrant(node.registry_, answer, now_);
  return answer;
}

void OwnershipModel::StartForeignWriter(ModelNode& node) {
  UpstreamHeartbeat& heartbeat = node.foreign_heartbeat_;
  heartbeat = UpstreamHeartbeat{};
  heartbeat.born_ms_ = kUnixOffsetMs + SinceBoot(now_ + RandomDuration(-20'000, 2000)).count();
  heartbeat.instance_ = "foreign-" + std::to_string(heartbeat.born_ms_);
  heartbeat.service_ = kService;
  node.foreign_until_ = now_ + RandomDuration(0, 6000);
  node.next_foreign_heartbeat_ = now_;
  Trace(node, "hears " + heartbeat.instance_);
}

// The other writer does nothing with the answers.
void OwnershipModel::SendForeignHeartbeat(ModelNode& node) {
  if (now_ >= node.foreign_until_ || now_ < node.next_foreign_heartbeat_ || !node.running_ ||
      now_ < node.frozen_until_) {
    return;
  }
  ++node.foreign_heartbeat_.sequence_;
  node.next_foreign_heartbeat_ = now_ + kForeignHeartbeatInterval;
  Receive(node, node.foreign_heartbeat_);
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
