#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "router/control_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

/// Number of nodes that follow the store. Calls of the store are paid for, and the long poll of
/// each node would be answered for each record, so a few readers follow it for all nodes. They
/// confirm to the others that their tables are the newest, which grants depend on, and report the
/// version of the configuration; writers pass on what they append. Other nodes read rarely, and
/// when a report shows that they lack something.
constexpr std::size_t kReaderCount = 3;

/// The long poll limits the time until a hung read is detected, together with the store client's
/// margin. The delay combines the records of a busy period into one read; writers pass them on
/// anyway.
constexpr ReadSchedule kReaderSchedule{milliseconds(900), milliseconds(250)};

/// The long poll, two report intervals and the network delays together stay below the age at which
/// the other nodes read the configuration themselves.
constexpr ReadSchedule kReaderConfigurationSchedule{milliseconds(600), milliseconds(0)};

/// Delay between two reads of the tables by a node that isn't a reader: kNonReaderDelayPerNode for
/// each node of the system, but at least kMinNonReaderDelay. With reads every 5 s, 100 nodes made
/// 800 calls in a test day of 40 s.
constexpr milliseconds kMinNonReaderDelay{5000};
constexpr milliseconds kNonReaderDelayPerNode{100};

/// Reads of the configuration by a node that isn't a reader. They are rare, since the readers'
/// reports show a new configuration; see also ControlThread::VerifyConfiguration.
constexpr ReadSchedule kNonReaderConfigurationSchedule{milliseconds(0), milliseconds(20000)};

/// A node without a report for this long is removed from the list. Its promises are then no longer
/// needed, and no node connects to it.
constexpr milliseconds kNodeRemovalTimeout{8000};

/// Nodes without a report count as readers for this long after this node's registration.
constexpr milliseconds kFirstReportTimeout{2000};

}  // namespace

// The nodes that removed this one no longer ask for its promises, so it registers again.
void ControlThread::OnNodeRemoved(const std::string& address) {
  members_.erase(address);
  received_promises_.erase(address);
  if (address == shared_.self_) {
    registered_at_.reset();
  }
}

// An earlier process of this node may have sent appends whose results it never learnt. They are
// conditional on the end of the topic, which the registration moves: once it has been read back,
// none of them can take effect.
void ControlThread::Register() {
  const bool awaits_own_record = registered_up_to_ && fleet_topic_.End() < *registered_up_to_;
  if (registered_at_ || registration_pending_ || awaits_own_record ||
      !fleet_topic_.IsOfNewestEra() || !fleet_topic_.IsStoreReachable()) {
    return;
  }
  registration_pending_ = true;
  AppendOwnRecord(begins_history_, [this](const Result<TopicPosition>& position) {
    registration_pending_ = false;
    if (position) {
      registered_up_to_ = {position.value().era_, position.value().offset_ + 1};
      begins_history_ = false;
      // Registrations of other nodes may precede this record.
      fleet_topic_.ReadNow();
      return;
    }
    LogWarning(kPart, "registration not written reason=\"" + ToString(position.error()) + "\".");
  });
}

void ControlThread::AppendOwnRecord(bool with_history,
                                    std::function<void(const Result<TopicPosition>&)> done) {
  std::vector<KeyedRecord> records{
      {0, std::string(kNodePrefix) + shared_.self_, EncodeNodeRecord(OwnRecord())}};
  if (with_history) {
    records.push_back({0, HistoryKey(fleet_topic_.End().era_), shared_.self_});
  }
  store_.Append(kFleetTopic, records, std::nullopt,
                [this, records, done = std::move(done)](const Result<TopicPosition>& position) {
                  for (std::size_t i = 0; position && i < records.size(); ++i) {
                    OnWritten({position.value().offset_ + i, records[i].key_, records[i].value_},
                              position.value().era_);
                  }
                  done(position);
                });
}

// What an earlier process has recorded of a leaving upstream is kept, as a heartbeat from before
// the leave may still arrive.
NodeRecord ControlThread::OwnRecord() const {
  const std::optional<LeavingUpstream> leaving = FindLeaving(registry_);
  return {shared_.environment_.data_centre_, shared_.incarnation_id_,
          leaving ? leaving : recorded_leaving_};
}

std::vector<std::string> ControlThread::OtherNodes() const {
  std::vector<std::string> others;
  for (const auto& [address, member] : members_) {
    if (address != shared_.self_) {
      others.push_back(address);
    }
  }
  return others;
}

// The readers are the nodes with the lowest addresses among those that reach the store.
void ControlThread::ChooseReaders() {
  const BootTime now = BootClock::now();
  std::set<std::string> readers;
  for (const auto& [address, member] : members_) {
    const auto peer = peers_.find(address);
    const bool awaits_first_report =
        peer == peers_.end() && registered_at_ && now - *registered_at_ < kFirstReportTimeout;
    const bool reaches_store = peer != peers_.end() && peer->second.report_.reaches_store_ &&
                               now - peer->second.received_at_ < NodeTimeout();
    if (address == shared_.self_ || awaits_first_report || reaches_store) {
      readers.insert(address);
    }
    if (readers.size() == kReaderCount) {
      break;
    }
  }
  const bool changed = readers != readers_;
  readers_ = std::move(readers);
  const bool is_reader = readers_.contains(shared_.self_);
  if (registered_at_) {
    const milliseconds delay =
        std::max(kMinNonReaderDelay,
                 kNonReaderDelayPerNode * static_cast<milliseconds::rep>(members_.size()));
    fleet_topic_.SetReadSchedule(is_reader ? kReaderSchedule
                                           : ReadSchedule{milliseconds(0), delay});
    operator_topic_.SetReadSchedule(is_reader ? kReaderConfigurationSchedule
                                              : kNonReaderConfigurationSchedule);
  }
  if (changed) {
    std::string names;
    for (const std::string& reader : readers_) {
      names += (names.empty() ? "" : ",") + reader;
    }
    LogInfo(kPart, "readers=" + names + " nodes=" + std::to_string(members_.size()) + ".");
    ScheduleUpdate();
  }
}

// Lost nodes are removed by the reachable node with the lowest address among those that reach the
// store.
void ControlThread::RemoveLostNode() {
  const BootTime now = BootClock::now();
  if (removal_pending_ || !registered_at_ || !fleet_topic_.IsStoreReachable() ||
      !fleet_topic_.IsOfNewestEra() || now - *registered_at_ < kNodeRemovalTimeout) {
    return;
  }
  std::string lost_node;
  std::size_t reachable = 1;
  for (const auto& [address, member] : members_) {
    if (address == shared_.self_) {
      continue;
    }
    const auto peer = peers_.find(address);
    const BootTime last_received =
        peer == peers_.end() ? *registered_at_ : peer->second.received_at_;
    if (now - last_received < NodeTimeout()) {
      ++reachable;
      if (address < shared_.self_ && peer->second.report_.reaches_store_) {
        return;
      }
    } else if (now - last_received > kNodeRemovalTimeout && !OwnsKeys(address)) {
      lost_node = address;
    }
  }
  if (lost_node.empty() || reachable * 2 < members_.size()) {
    return;
  }
  removal_pending_ = true;
  LogInfo(kPart, "node=" + lost_node +
                     " is removed from the node list; no report within the removal timeout.");
  const KeyedRecord record{0, std::string(kNodePrefix) + lost_node, {}};
  store_.Append(
      kFleetTopic, {&record, 1}, fleet_topic_.End().offset_,
      [this, record](const Result<TopicPosition>& position) {
        removal_pending_ = false;
        if (position) {
          OnWritten({position.value().offset_, record.key_, record.value_}, position.value().era_);
        }
      });
}

bool ControlThread::OwnsKeys(const std::string& address) const {
  return std::any_of(records_.tables_.begin(), records_.tables_.end(), [&](const auto& table) {
    return std::any_of(table.second->ranges_.begin(), table.second->ranges_.end(),
                       [&](const KeyRange& range) { return range.owner_.node_ == address; });
  });
}

}  // namespace sassafrasbay
