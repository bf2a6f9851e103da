#include "shared_state.h"

namespace sassafrasbay {

BootTime LeaseEnd(const LeaseView& view) {
  return view.cell_ == nullptr ? BootTime{} : LeaseEnd(*view.cell_);
}

}  // namespace sassafrasbay
