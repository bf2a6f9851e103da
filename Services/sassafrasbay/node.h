#pragma once

#include <memory>

#include "LibConfiguration/node_settings.h"
#include "LibCore/error.h"
#include "charts.h"
#include "control_loop.h"
#include "shared_state.h"
#include "traffic_loop.h"

namespace sassafrasbay {

/// One node of the fleet: a control thread and a traffic thread.
class Node {
 public:
  /// Runs until SIGTERM or SIGINT and the drain that follows, or a drain with exit by the operator
  /// API. A second signal ends it at once.
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
  /// Errors: kMalformed when a compiled-in state chart is broken.
  Result<std::unique_ptr<Node>> Build();

 private:
  NodeSettings settings_;
};

}  // namespace sassafrasbay
