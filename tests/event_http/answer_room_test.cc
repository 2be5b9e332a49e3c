// Bodies of servers' answers share an account: what has no room waits, and nothing is lost for it.
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/event_http/stepped_pool.h"

using namespace graniteseam;
using namespace graniteseam::event_http;

namespace {

/// Room for one large body, and not for two.
constexpr std::size_t kLargeBody = std::size_t{4} << 20;
constexpr std::size_t kRoom = kLargeBody + kLargeBody / 2;
constexpr std::chrono::seconds kAmple{30};

/// A server's side of one connection, which sends as much as the pool takes.
struct Sender {
  Tcp::socket connection;
  std::string text;
  std::size_t sent = 0;

  void Send() {
    boost::system::error_code error;
    connection.non_blocking(true, error);
    while (!error && sent < text.size()) {
      sent += connection.write_some(asio::buffer(text.data() + sent, text.size() - sent), error);
    }
  }
};

ClientPoolOptions OptionsOf(std::shared_ptr<ByteAccount> account) {
  ClientPoolOptions options;
  options.account = std::move(account);
  return options;
}

struct AccountedPool {
  std::shared_ptr<ByteAccount> account =
      std::make_shared<ByteAccount>(kRoom + ByteAccount::kReservedBytes);
  SteppedPool stepped{OptionsOf(account)};
  std::vector<Sender> senders;

  CallNumber Ask(const std::string& answer, Duration limit = kAmple, bool head = false) {
    Call call;
    call.limit = limit;
    call.head = head;
    call.needs_new_connection = true;
    const CallNumber number = stepped.Start(std::move(call));
    Tcp::socket connection = stepped.Accept();
    stepped.TakeRequest(connection);
    senders.push_back({std::move(connection), answer});
    return number;
  }

  bool TurnUntil(const std::function<bool()>& condition) {
    return stepped.TurnUntil([&] {
      for (Sender& sender : senders) sender.Send();
      cr_assert(account->held() <= account->limit());
      return condition();
    });
  }
  bool AwaitResults(std::size_t count) {
    return TurnUntil([&] { return stepped.results.size() >= count; });
  }
  bool AwaitWaiting(std::uint64_t count) {
    return TurnUntil([&] { return stepped.pool.counts().calls_that_awaited_room == count; });
  }
};

/// A body without a stated length.
std::string InChunks(const std::string& body) {
  constexpr std::size_t kChunk = 10'000;
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); at += kChunk) {
    const std::string chunk = body.substr(at, kChunk);
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
    text += size + chunk + "\r\n";
  }
  return text + "0\r\n\r\n";
}

struct SlowingHolder : ByteHolder {
  explicit SlowingHolder(ByteAccount& account) : charge(account) {}

  std::size_t evictable_bytes() const override { return charge.bytes(); }
  double bytes_per_second(Instant /*now*/) const override { return rate; }
  void Evict() override { charge.Set(0, ChargeSize::kLarge); }

  ByteCharge charge;
  double rate = 2 * ByteAccount::kRateMinimum;
};

}  // namespace

Test(answer_room, a_small_answer_is_charged_until_it_is_released) {
  AccountedPool pool;
  pool.Ask(AnswerOf("hello"));
  cr_assert(pool.AwaitResults(1));
  cr_assert(pool.stepped.results[0].response.body == "hello");
  cr_assert_eq(pool.account->held(), std::size_t{5});
  pool.stepped.results.clear();
  cr_assert_eq(pool.account->held(), std::size_t{0});
}

Test(answer_room, two_large_answers_arrive_one_after_the_other) {
  AccountedPool pool;
  const std::string first(kLargeBody, 'a');
  const std::string second(kLargeBody, 'b');
  pool.Ask(AnswerOf(first));
  pool.Ask(AnswerOf(second));
  cr_assert(pool.AwaitResults(1));
  cr_assert(pool.AwaitWaiting(1));
  cr_assert_eq(pool.stepped.results.size(), std::size_t{1});
  const bool first_came = pool.stepped.results[0].response.body == first;
  cr_assert(first_came || pool.stepped.results[0].response.body == second);
  pool.stepped.results[0].response = {};
  cr_assert(pool.AwaitResults(2));
  cr_assert(pool.stepped.results[1].end == CallEnd::kAnswered);
  cr_assert(pool.stepped.results[1].response.body == (first_came ? second : first));
}

Test(answer_room, an_answer_in_chunks_waits_in_its_midst) {
  AccountedPool pool;
  const std::string body(kLargeBody, 'x');
  pool.Ask(AnswerOf(body));
  cr_assert(pool.AwaitResults(1));
  pool.Ask(InChunks(body));
  cr_assert(pool.AwaitWaiting(1));
  cr_assert_eq(pool.stepped.results.size(), std::size_t{1});
  pool.stepped.results[0].response = {};
  cr_assert(pool.AwaitResults(2));
  cr_assert(pool.stepped.results[1].response.body == body);
}

// Guards against large answers that leave no room for others.
Test(answer_room, a_small_answer_arrives_while_a_large_one_waits) {
  AccountedPool pool;
  const std::string body(kLargeBody, 'x');
  pool.Ask(AnswerOf(body));
  cr_assert(pool.AwaitResults(1));
  pool.Ask(AnswerOf(body));
  cr_assert(pool.AwaitWaiting(1));
  pool.Ask(AnswerOf("small"));
  cr_assert(pool.AwaitResults(2));
  cr_assert(pool.stepped.results[1].response.body == "small");
}

Test(answer_room, an_answer_that_never_fits_ends_its_call_at_once) {
  for (const bool in_chunks : {false, true}) {
    AccountedPool pool;
    const std::string body(kRoom + 1, 'x');
    pool.Ask(in_chunks ? InChunks(body) : AnswerOf(body).substr(0, 50));
    cr_assert(pool.AwaitResults(1));
    cr_assert(pool.stepped.results[0].end == CallEnd::kMalformed);
    cr_assert(!pool.stepped.results[0].awaited_room);
    cr_assert_eq(pool.account->held(), std::size_t{0});
  }
}

// Guards against a call whose answer waits for room and that goes on, or turns the loop, for ever;
// and against one that looks like a call to a silent server.
Test(answer_room, a_call_that_waits_for_room_ends_at_its_limit) {
  AccountedPool pool;
  const std::string body(kLargeBody, 'x');
  pool.Ask(AnswerOf(body));
  cr_assert(pool.AwaitResults(1));
  pool.Ask(AnswerOf(body), std::chrono::seconds(1));
  cr_assert(pool.AwaitResults(2));
  cr_assert(pool.stepped.results[1].end == CallEnd::kLost);
  cr_assert(pool.stepped.results[1].fault == CallFault::kTimeout);
  cr_assert(pool.stepped.results[1].awaited_room);
  cr_assert_eq(pool.account->held(), kLargeBody);
}

Test(answer_room, a_call_that_is_given_up_returns_its_room) {
  AccountedPool pool;
  const std::string body(kLargeBody, 'x');
  const CallNumber number = pool.Ask(AnswerOf(body).substr(0, kLargeBody / 2));
  cr_assert(pool.TurnUntil([&] { return pool.account->held() == kLargeBody; }));
  pool.Ask(AnswerOf(body));
  cr_assert(pool.AwaitWaiting(1));
  pool.stepped.pool.Abandon(number);
  cr_assert(pool.AwaitResults(1));
  cr_assert(pool.stepped.results[0].response.body == body);
}

// Guards against an answer that waits for bytes to be returned, while a holder has become slow
// enough to be evicted for it.
Test(answer_room, a_holder_that_becomes_slow_is_evicted_for_an_answer_that_waits) {
  AccountedPool pool;
  SlowingHolder holder(*pool.account);
  cr_assert(holder.charge.Set(kLargeBody, ChargeSize::kLarge));
  pool.account->Add(holder);
  pool.Ask(AnswerOf(std::string(kLargeBody, 'x')));
  cr_assert(pool.AwaitWaiting(1));
  cr_assert(pool.stepped.results.empty());
  holder.rate = 0;
  cr_assert(pool.AwaitResults(1));
  cr_assert(pool.stepped.results[0].end == CallEnd::kAnswered);
  cr_assert_eq(pool.account->evictions(), std::uint64_t{1});
  pool.account->Remove(holder);
}

// Guards against an eviction that gives up the very call it makes room for.
Test(answer_room, a_call_that_its_own_eviction_gives_up_ends) {
  struct GivingUp : SlowingHolder {
    using SlowingHolder::SlowingHolder;
    void Evict() override {
      give_up();
      SlowingHolder::Evict();
    }
    std::function<void()> give_up;
  };
  AccountedPool pool;
  GivingUp holder(*pool.account);
  holder.rate = 0;
  cr_assert(holder.charge.Set(kLargeBody, ChargeSize::kLarge));
  pool.account->Add(holder);
  CallNumber number;
  holder.give_up = [&] { pool.stepped.pool.Abandon(number); };
  number = pool.Ask(AnswerOf(std::string(kLargeBody, 'x')));
  cr_assert(pool.TurnUntil([&] { return pool.account->evictions() == 1; }));
  cr_assert(pool.TurnUntil([&] { return pool.account->held() == 0; }));
  cr_assert(pool.stepped.results.empty());
  pool.account->Remove(holder);
}

Test(answer_room, an_answer_without_a_body_needs_no_room_for_its_stated_length) {
  AccountedPool pool;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n";
  pool.Ask(head, kAmple, true);
  cr_assert(pool.AwaitResults(1));
  cr_assert(pool.stepped.results[0].end == CallEnd::kAnswered);
  cr_assert(pool.stepped.results[0].response.head_only);
  cr_assert_eq(pool.account->held(), std::size_t{0});
}

// Guards against a charge that outlives its account, and an account that calls what is gone.
Test(answer_room, an_answer_outlives_its_pool_and_the_account) {
  std::vector<CallResult> results;
  {
    AccountedPool pool;
    const std::string body(kLargeBody, 'x');
    pool.Ask(AnswerOf(body));
    cr_assert(pool.AwaitResults(1));
    pool.Ask(AnswerOf(body));
    cr_assert(pool.AwaitWaiting(1));
    results = std::move(pool.stepped.results);
  }
  cr_assert_eq(results[0].response.body.size(), kLargeBody);
  results.clear();
}
