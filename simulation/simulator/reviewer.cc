#include "simulation/simulator/reviewer.h"

#include <cstdlib>

#include "graniteseam/bundle/signature.h"

namespace graniteseam::simulation {

namespace {

/// Fixed, so that each run is the same. It guards nothing.
const char* const kPrivateKey = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";

std::string Value(const Outcome<std::string>& outcome) {
  if (ErrorOf(outcome) != nullptr) std::abort();
  return std::get<std::string>(outcome);
}

}  // namespace

std::string ReviewerPublicKey() {
  return Value(Attempt([] { return bundle::PublicKeyOf(kPrivateKey); }));
}

std::string Sign(const bundle::Bundle& bundle, const std::string& digest) {
  return Value(Attempt([&] { return bundle::SignDigest(kPrivateKey, bundle.version, digest); }));
}

}  // namespace graniteseam::simulation
