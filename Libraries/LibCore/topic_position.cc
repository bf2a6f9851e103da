#include "LibCore/topic_position.h"

namespace sassafrasbay {

std::string ToString(const TopicPosition& position) {
  return std::to_string(position.era_) + ":" + std::to_string(position.offset_);
}

}  // namespace sassafrasbay
