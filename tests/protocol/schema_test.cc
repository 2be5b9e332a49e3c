// The committed schemas are what the processes speak.
#include "graniteseam/codec/schema.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "graniteseam/consensus/types.h"
#include "graniteseam/control/router_messages.h"
#include "src/coordination/slot_messages.h"
#include "src/protocol/hello.h"

namespace codec = graniteseam::codec;
namespace consensus = graniteseam::consensus;
namespace control = graniteseam::control;
namespace protocol = graniteseam::protocol;

namespace {

/// Compares; leaves the derived schema in the build folder, to be committed when it is meant.
template <class T>
void ExpectCommitted(const std::string& name) {
  const std::string derived = codec::SchemaText<T>() + "\n";
  const std::string folder = GRANITESEAM_BINARY_DIR "/schemas";
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/" + name) << derived;
  std::ifstream file(GRANITESEAM_SOURCE_DIR "/schemas/" + name);
  std::ostringstream committed;
  committed << file.rdbuf();
  cr_assert(committed.str() == derived,
            "schemas/%s is not what the code speaks. If the change is meant, raise the protocol "
            "version and copy %s/%s.",
            name.c_str(), folder.c_str(), name.c_str());
}

}  // namespace

Test(schemas, hello) { ExpectCommitted<protocol::Hello>("hello.avsc"); }

Test(schemas, refusal) { ExpectCommitted<protocol::Refusal>("refusal.avsc"); }

Test(schemas, peer_message) { ExpectCommitted<consensus::PeerMessage>("peer_message.avsc"); }

Test(schemas, router_to_control) {
  ExpectCommitted<control::RouterToControl>("router_to_control.avsc");
}

Test(schemas, control_to_router) {
  ExpectCommitted<control::ControlToRouter>("control_to_router.avsc");
}

Test(schemas, slot_batch) {
  ExpectCommitted<graniteseam::coordination::SlotBatch>("slot_batch.avsc");
}
