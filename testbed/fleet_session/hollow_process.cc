#include "testbed/fleet_session/hollow_process.h"

#include <httplib.h>

#include "testbed/fleet/await.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kStartLimit{60'000'000};
constexpr time_t kCallSeconds = 20;
constexpr int kOk = 200;

}  // namespace

Result<HollowProcess> HollowProcess::Start(const std::string& program_folder,
                                           const std::string& log,
                                           const std::vector<std::string>& flags) {
  BOOST_LEAF_AUTO(port, ReservedPort::Reserve("127.0.0.1", ""));
  Command command;
  command.words = {program_folder + "/graniteseam-hollow-nodes", "--admin-address",
                   runtime::ToString(port.address())};
  command.words.insert(command.words.end(), flags.begin(), flags.end());
  command.log = log;
  BOOST_LEAF_AUTO(process, ChildProcess::Start(command));
  HollowProcess hollow(std::move(port), std::move(process));
  BOOST_LEAF_CHECK(Await("hollow nodes", kStartLimit, [&]() -> Missing {
    const auto answer = Attempt([&] { return hollow.Call("/stats"); });
    const Error* error = ErrorOf(answer);
    return error == nullptr ? "" : error->message;
  }));
  return hollow;
}

Result<std::string> HollowProcess::CallText(const std::string& path) const {
  httplib::Client client(port_.address().ip, port_.address().port);
  client.set_read_timeout(kCallSeconds);
  const auto response = client.Get(path);
  if (!response || response->status != kOk) {
    return Fail(ErrorKind::kUnavailable, "The hollow nodes do not answer " + path + ".",
                "Look at their log.");
  }
  return response->body;
}

Result<nlohmann::json> HollowProcess::Call(const std::string& path) const {
  BOOST_LEAF_AUTO(text, CallText(path));
  auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_discarded()) return json;
  return Fail(ErrorKind::kMalformedMessage, "The hollow nodes' answer to " + path + " is no JSON.",
              "Report this.");
}

}  // namespace graniteseam::testbed
