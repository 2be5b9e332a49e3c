#include "testbed/measurement/measurement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace graniteseam::testbed {

bool Bound::MetBy(double value) const {
  return relation == Relation::kAtMost ? value <= limit : value >= limit;
}

std::optional<double> Figure::RatioToBaseline() const {
  if (!baseline || *baseline == 0.0) return std::nullopt;
  return value / *baseline;
}

bool Figure::Met() const { return !bound || bound->MetBy(value); }

void Measurement::Add(std::string key, double value) {
  figures.push_back({std::move(key), value, std::nullopt, std::nullopt});
}

void Measurement::AddAtMost(std::string key, double value, double limit) {
  figures.push_back({std::move(key), value, Bound{Relation::kAtMost, limit}, std::nullopt});
}

void Measurement::AddAtLeast(std::string key, double value, double limit) {
  figures.push_back({std::move(key), value, Bound{Relation::kAtLeast, limit}, std::nullopt});
}

const Figure* Measurement::Find(std::string_view key) const {
  const auto found = std::find_if(figures.begin(), figures.end(),
                                  [&](const Figure& figure) { return figure.key == key; });
  return found == figures.end() ? nullptr : &*found;
}

double Percentile(std::vector<double> samples, double fraction) {
  if (samples.empty()) return 0.0;
  const double rank = std::ceil(fraction * static_cast<double>(samples.size()));
  const auto position = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  const std::size_t index = std::min(position, samples.size() - 1);
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

double Mean(const std::vector<double>& samples) {
  if (samples.empty()) return 0.0;
  return std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
}

}  // namespace graniteseam::testbed
