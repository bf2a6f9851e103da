#pragma once

#include <memory>

#include "LibConfiguration/node_settings.h"
#include "LibCore/error.h"
#include "charts.h"
#include "control_loop.h"
#include "shared_state.h"
#include "traffic_loop.h"

namespace sassafrasbay {

/// One node of the fleet, which runs a control thread and a traffic thread.
class Node {
 public:
  /// Runs until the end of a drain that SIGTERM, SIGINT or the operator API (with `exit`) started.
  /// A second signal ends the drain immediately.
  Result<void> Run();

 private:
  friend class NodeBuilder;
  Node() = default;

  Charts charts_;
  SharedState shared_;
};

class NodeBuilder {
 public:
  NodeBuilder& Settings(NodeSettings settings);
  /// Errors: kMalformed when a compiled-in state chart is malformed.
  Result<std::unique_ptr<Node>> Build();

 private:
  NodeSettings settings_;
};

}  // namespace sassafrasbay
