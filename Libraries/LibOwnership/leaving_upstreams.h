#pragma once

#include <map>
#include <string>
#include <string_view>

#include "LibCore/clock.h"
#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// What a node remembers of the upstreams that drain or leave. The process beside such an upstream
/// may be restarted and no longer know of it. Does no I/O.
struct LeavingUpstreams {
  struct Entry {
    Holder holder_;
    BootTime since_{};  ///< When this node first heard that the upstream leaves.
  };
  std::map<std::string, Entry, std::less<>> by_node_;  ///< By peer address.
};

/// Takes over what the node beside an upstream reports of it. An upstream that was known to leave
/// counts as leaving until another incarnation is reported, whatever is said of it later.
void RecordReport(LeavingUpstreams& upstreams, const Holder& holder, bool leaving, BootTime now);

/// The upstream beside that node if it is known to leave, otherwise null.
const LeavingUpstreams::Entry* FindLeaving(const LeavingUpstreams& upstreams,
                                           std::string_view node);

/// Whether the upstream began to leave longer than `limit` ago.
bool HasDrained(const LeavingUpstreams& upstreams, const Holder& holder, milliseconds limit,
                BootTime now);

}  // namespace sassafrasbay
