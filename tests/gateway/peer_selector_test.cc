// Which gateway takes a forwarded request.
#include "src/gateway/peer_selector.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace graniteseam;
using namespace graniteseam::gateway;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);

traffic::GatewayPeer Peer(const std::string& id, const std::string& zone, double weight = 1) {
  return {{id}, id + ":7001", {zone}, weight, id + ":80"};
}

PeerSelector::Peers Peers(const std::vector<traffic::GatewayPeer>& listed) {
  PeerSelector::Peers peers;
  for (const traffic::GatewayPeer& peer : listed) peers[peer.id] = peer;
  return peers;
}

/// Requests in flight by peer after so many were sent and none has ended.
std::map<std::string, int> Send(PeerSelector& selector, const PeerSelector::Peers& peers,
                                int requests) {
  std::map<std::string, int> sent;
  for (int i = 0; i < requests; ++i) {
    const auto* const peer = selector.choose(peers, {}, kStart);
    cr_assert(peer != nullptr);
    selector.note_sent(peer->id);
    ++sent[peer->id.value];
  }
  return sent;
}

}  // namespace

Test(peer_selector, peers_of_the_own_zone_come_first_until_they_are_busy) {
  PeerSelector selector({"g-1"}, {"near"}, 1);
  const auto peers = Peers({Peer("g-1", "near"), Peer("g-2", "near"), Peer("g-3", "near"),
                            Peer("g-4", "far"), Peer("g-5", "far")});
  auto sent = Send(selector, peers, 40);
  cr_assert_eq(sent["g-2"] + sent["g-3"], 40);
  sent = Send(selector, peers, 100);
  cr_assert(sent["g-4"] > 20 && sent["g-5"] > 20);
  cr_assert_eq(sent.count("g-1"), 0, "it sends to itself");
}

Test(peer_selector, requests_are_spread_by_weight) {
  PeerSelector selector({"g-1"}, {"near"}, 1);
  const auto peers = Peers({Peer("g-2", "far", 3), Peer("g-3", "far", 1)});
  auto sent = Send(selector, peers, 200);
  cr_assert(sent["g-2"] > 120 && sent["g-3"] > 20);
}

Test(peer_selector, peer_that_declined_is_avoided_for_a_while) {
  PeerSelector selector({"g-1"}, {"near"}, 1);
  const auto peers = Peers({Peer("g-2", "near"), Peer("g-3", "far")});
  selector.avoid({"g-2"}, kStart);
  for (int ms = 0; ms < 1'000; ms += 10) {
    const auto* const peer = selector.choose(peers, {}, kStart + std::chrono::milliseconds(ms));
    cr_assert(peer != nullptr && peer->id.value == "g-3");
  }
  const auto* const later = selector.choose(peers, {}, kStart + std::chrono::milliseconds(1'100));
  cr_assert(later != nullptr && later->id.value == "g-2");
  cr_assert(selector.choose(peers, {{"g-2"}, {"g-3"}}, kStart) == nullptr);
}

/// Guards against requests that are refused for a second after some peer reaches servers again.
Test(peer_selector, peers_are_tried_again_soon_while_all_of_them_are_avoided) {
  PeerSelector selector({"g-1"}, {"near"}, 1);
  const auto peers = Peers({Peer("g-2", "near"), Peer("g-3", "far")});
  selector.avoid({"g-2"}, kStart);
  selector.avoid({"g-3"}, kStart);
  cr_assert(selector.choose(peers, {}, kStart + std::chrono::milliseconds(100)) == nullptr);
  cr_assert(selector.choose(peers, {}, kStart + std::chrono::milliseconds(300)) != nullptr);
}

Test(peer_selector, peers_without_a_caller_address_take_nothing) {
  PeerSelector selector({"g-1"}, {"near"}, 1);
  auto peer = Peer("g-2", "near");
  peer.caller_address.clear();
  cr_assert(selector.choose(Peers({peer}), {}, kStart) == nullptr);
}
