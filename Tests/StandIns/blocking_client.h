#pragma once

#include <string_view>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibCore/http_message.h"

namespace sassafrasbay::stand_ins {

/// Makes one HTTP call on a new connection and waits for the response. `base_url` is
/// "http://host:port". Errors: kTimedOut, kUnavailable (no connection), kConnectionLost (also for a
/// truncated body).
Result<HttpResponse> CallBlocking(std::string_view base_url, const HttpRequest& request,
                                  milliseconds timeout);

}  // namespace sassafrasbay::stand_ins
