#include "LibCore/clock.h"

#include <ctime>

namespace sassafrasbay {

BootClock::time_point BootClock::now() noexcept {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

WallTime WallNow() {
  return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

std::int64_t ToBootMilliseconds(BootTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

}  // namespace sassafrasbay
