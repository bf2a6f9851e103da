#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/logging.h"

namespace sassafrasbay {

/// An IPv4 or IPv6 address with a port, written "127.0.0.1:8080" or "[::1]:8080".
struct Endpoint {
  std::string host_;
  std::uint16_t port_ = 0;
};

std::string ToString(const Endpoint& endpoint);

/// Parses a numeric address with a port. Returns an endpoint with an empty host for other text.
Endpoint ParseEndpoint(std::string_view text);

/// Settings of one node, read from a TOML file.
struct NodeSettings {
  std::string name_;
  std::string data_centre_;
  std::string region_;
  Endpoint callers_;  ///< Listens for callers, upstream announcements and operators (HTTP).
  Endpoint traffic_;  ///< Listens for requests forwarded by other nodes (websocket).
  Endpoint control_;  ///< Listens for heartbeats of other nodes (websocket).
  Endpoint advertised_callers_;  ///< Announced to other nodes; the listening addresses by default.
  Endpoint advertised_traffic_;
  Endpoint advertised_control_;
  std::string log_url_;            ///< "http://127.0.0.1:9000".
  int checkpoint_records_ = 2000;  ///< A checkpoint is written after this many records.
  std::vector<Endpoint>
      seeds_;  ///< Control addresses of nodes asked for a snapshot in log outages.

  std::chrono::milliseconds lease_{1000};
  std::chrono::milliseconds heartbeat_{200};
  int drift_percent_ = 10;

  std::chrono::milliseconds drain_grace_{
      3000};  ///< Delay from drain until new requests are refused.
  std::chrono::milliseconds drain_limit_{30000};  ///< Timeout for requests in flight.
  std::chrono::seconds clock_allowance_{600};
  std::chrono::seconds request_table_retention_{3600};
  std::chrono::seconds suspect_refusal_{600};
  int retry_budget_percent_ = 10;
  int queue_length_ = 64;  ///< Requests waiting for a slot of the upstream.
  std::uint64_t max_body_bytes_ = 1U << 20U;

  double imbalance_threshold_ = 1.25;  ///< Ratio of maximum to mean load that triggers moves.
  int moves_per_minute_ = 10;          ///< Limit of the planner for each service.
  std::chrono::milliseconds planner_interval_{5000};

  LogLevel log_level_ = LogLevel::kInfo;
  int log_lines_per_second_ = 200;
};

struct NodeSettingsResult {
  NodeSettings settings_;
  std::vector<Fault> faults_;  ///< Unknown keys, wrong types, out-of-range and conflicting values.
};

NodeSettingsResult ParseNodeSettings(std::string_view file_name, std::string_view text);

}  // namespace sassafrasbay
