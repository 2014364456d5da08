// A read that finds no records is kept as a waiter and repeated after each
// append to any stream; there are at most MaxStreams streams and MaxWaiters
// waiters.

#include "LogService.h"
#include "Replies.h"
#include "heathersaddle/base/Json.h"
#include <algorithm>
#include <charconv>
#include <chrono>
#include <memory>

namespace heathersaddle::standin {

namespace json = boost::json;
using base::ErrorCode;

namespace {

constexpr std::size_t MaxWaiters = 4'096;
constexpr std::int64_t MaxWaitMs = 120'000;
// Keeps an answer, after JSON escaping, below the response limit of net's
// client.
constexpr std::size_t MaxPageBytes = 2UL * 1024 * 1024;

base::WallMs wallNow() {
  return std::chrono::duration_cast<base::Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

base::Expected<std::uint64_t> number(const net::Request &R, const char *Name,
                                     std::uint64_t Default) {
  auto Found = R.Query.find(Name);
  if (Found == R.Query.end())
    return Default;
  const std::string &Text = Found->second;
  std::uint64_t Value = 0;
  auto [End, Ec] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Ec != std::errc() || End != Text.data() + Text.size())
    return base::makeError(ErrorCode::InvalidArgument, "read",
                           "must be a number that is not negative", {}, Name);
  return Value;
}

base::Expected<std::vector<std::string>> readRecords(const std::string &Body) {
  auto Value = base::parseJson(Body, "append");
  if (!Value)
    return tl::unexpected(Value.error());
  base::JsonReader R(*Value, "append");
  const json::array *Items = R.array("records", true, MaxBatchRecords);
  std::vector<std::string> Texts;
  if (Items)
    for (const json::value &Item : *Items) {
      if (!Item.is_string())
        R.fail("records", "must hold strings");
      else
        Texts.emplace_back(Item.as_string());
    }
  if (R.error())
    return tl::unexpected(*R.error());
  return Texts;
}

} // namespace

void LogService::handle(std::string_view Rest, const net::Request &R,
                        net::Respond Reply) {
  auto Slash = Rest.find('/');
  std::string_view Stream = Rest.substr(0, Slash);
  std::string_view Verb =
      Slash == std::string_view::npos ? "" : Rest.substr(Slash + 1);
  if (Verb == "append" && R.Method == "POST")
    return append(Stream, R, std::move(Reply));
  if (Verb == "records" && R.Method == "GET")
    return read(Stream, R, std::move(Reply));
  Reply(notFound());
}

void LogService::append(std::string_view Stream, const net::Request &R,
                        net::Respond Reply) {
  auto Texts = readRecords(R.Body);
  if (!Texts)
    return answer(std::move(Reply), errorReply(Texts.error()));
  Log.faults().LoseAnswers = AnswersToLose > 0;
  auto First = Log.append(Stream, *Texts, wallNow());
  bool Lost = !First && First.error().Code == ErrorCode::Unresolved;
  if (Lost)
    --AnswersToLose;
  if (First || Lost) {
    ++Appends;
    Records += Texts->size();
    for (const std::string &T : *Texts)
      Bytes += T.size();
  }
  answer(std::move(Reply), First ? jsonReply(200, {{"first", *First}})
                                 : errorReply(First.error()));
  answerWaiters(false);
}

void LogService::read(std::string_view Stream, const net::Request &R,
                      net::Respond Reply) {
  auto From = number(R, "from", 0);
  auto Max = number(R, "max", MaxReadRecords);
  auto Wait = number(R, "wait_ms", 0);
  for (const auto *Number : {&From, &Max, &Wait})
    if (!*Number)
      return answer(std::move(Reply), errorReply(Number->error()));
  Waiter W{std::string(Stream), *From, std::max<std::size_t>(*Max, 1),
           std::move(Reply), boost::asio::steady_timer(Io)};
  bool Empty = false;
  net::Response Response = readPage(W, Empty);
  if (!Empty || *Wait == 0 || Waiters.size() >= MaxWaiters)
    return answer(std::move(W.Reply), std::move(Response));
  addWaiter(std::move(W),
            base::Millis(std::min<std::uint64_t>(*Wait, MaxWaitMs)));
}

net::Response LogService::readPage(const Waiter &W, bool &Empty) const {
  auto Page = Log.read(W.Stream, W.From, W.Max);
  if (!Page)
    return errorReply(Page.error());
  json::object Body{{"oldest", Page->Oldest}, {"next", Page->Next}};
  if (Page->Trimmed)
    return jsonReply(410, Body);
  json::array Texts;
  std::size_t Size = 0;
  for (std::string &T : Page->Records) {
    Size += T.size();
    if (!Texts.empty() && Size > MaxPageBytes)
      break;
    Texts.emplace_back(std::move(T));
  }
  Empty = Texts.empty();
  Body["records"] = std::move(Texts);
  return jsonReply(200, Body);
}

void LogService::addWaiter(Waiter W, base::Millis Wait) {
  Waiters.push_back(std::move(W));
  auto It = std::prev(Waiters.end());
  It->Timer.expires_after(Wait);
  It->Timer.async_wait([this, It](const boost::system::error_code &Ec) {
    if (Ec)
      return;
    bool Empty = false;
    net::Response Response = readPage(*It, Empty);
    net::Respond Reply = std::move(It->Reply);
    Waiters.erase(It);
    answer(std::move(Reply), std::move(Response));
  });
}

void LogService::answerWaiters(bool All) {
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    bool Empty = false;
    net::Response Response = readPage(*It, Empty);
    // An expired timer's handler is already queued and refers to the waiter.
    if ((Empty && !All) || It->Timer.cancel() == 0) {
      ++It;
      continue;
    }
    net::Respond Reply = std::move(It->Reply);
    It = Waiters.erase(It);
    answer(std::move(Reply), std::move(Response));
  }
}

void LogService::answer(net::Respond Reply, net::Response Response) {
  Response.ContentType.clear();
  base::Millis Delay = Log.faults().AnswerDelay;
  if (Delay.count() == 0)
    return Reply(std::move(Response));
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, Delay);
  Timer->async_wait(
      [Timer, Reply = std::move(Reply), Response = std::move(Response)](
          const boost::system::error_code &) { Reply(Response); });
}

void LogService::setDown(bool Down) {
  Log.faults().Down = Down;
  if (Down)
    answerWaiters(true);
}

void LogService::trim(std::string_view Stream, std::uint64_t Before) {
  Log.trimBefore(Stream, Before);
  answerWaiters(false);
}

json::object LogService::statistics() const {
  return {{"appends", Appends}, {"records", Records}, {"bytes", Bytes}};
}

} // namespace heathersaddle::standin
