#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibCore/http_message.h"

namespace sassafrasbay::stand_ins {

/// One class of requests. Its paths consist of prefix, key and suffix.
struct LoadClass {
  std::string name_;
  std::string method_ = "GET";
  std::string prefix_;
  std::string suffix_;
  bool binding_ = false;  ///< Not idempotent; sent with an Idempotency-Key.
  double share_ = 1;      ///< Weight relative to the other classes.
  std::uint64_t keys_ = 1000;
  double hot_share_ = 0;           ///< Fraction of the requests that go to the hot key.
  milliseconds hot_period_{5000};  ///< Interval at which the hot key changes.
  milliseconds deadline_{2000};    ///< Time for all attempts together.
  std::uint64_t body_bytes_ = 64;  ///< For methods other than GET.
  HeaderList headers_;  ///< Sent with each request, for example Stand-In, which controls the
                        ///< upstream stand-in.
};

struct LoadPlan {
  std::vector<std::string> nodes_;  ///< "host:port".
  std::vector<LoadClass> classes_;
  double requests_per_second_ = 100;
  milliseconds duration_{10000};
  int max_attempts_ = 5;
  milliseconds retry_delay_{50};
  std::uint64_t seed_ =
      1;  ///< For the choice of classes, keys and nodes. Request ids differ in each run.
};

/// Reads a plan from JSON. Errors: kMalformed.
Result<LoadPlan> ParseLoadPlan(std::string_view text);

/// One request of a caller, as far as it stays the same over its attempts.
struct PlannedRequest {
  const LoadClass* class_ = nullptr;
  std::string key_;
  std::string id_;  ///< UUIDv7.
  HttpRequest request_;
  std::size_t node_ = 0;  ///< Index of the node that gets the first attempt.
};

/// Chooses class, key and node of the request that is sent `elapsed` after the start.
PlannedRequest PlanRequest(const LoadPlan& plan, std::mt19937_64& random, milliseconds elapsed);

/// Whether the body of an answer names the request and echoes its body.
bool IsOwnAnswer(const PlannedRequest& planned, std::string_view body);

/// Returns a new UUID of version 7 with the given time.
std::string MakeUuidV7(WallTime now);

}  // namespace sassafrasbay::stand_ins
