#include "controller/core/update_pacer.hpp"

#include <algorithm>

namespace planktray::controller {

void UpdatePacer::on_sample(double idle_share) {
  if (idle_share < options_.short_of_time) {
    rate_ *= options_.decrease;
  } else if (idle_share > options_.has_time) {
    rate_ *= options_.increase;
  }
  rate_ = std::clamp(rate_, options_.lowest_rate, highest_rate_);
}

}  // namespace planktray::controller
