#include "src/event_http/pipeline.h"

#include <algorithm>

#include "src/event_http/byte_account.h"

namespace graniteseam::event_http {

bool Pipeline::MayParse() const {
  if (entries_.empty()) return true;
  const Entry& last = entries_.back();
  return last.beside && !last.ends_connection && entries_.size() < bounds_.requests_maximum &&
         waiting_answer_bytes_ < bounds_.answer_bytes_maximum;
}

std::size_t Pipeline::waiting_charged_bytes() const {
  std::size_t bytes = 0;
  for (const Entry& entry : entries_) {
    if (entry.response && entry.response->charge) bytes += entry.response->charge->bytes();
  }
  return bytes;
}

Pipeline::Ticket Pipeline::Add(bool beside, bool ends_connection) {
  Entry& entry = entries_.emplace_back();
  entry.ticket = ++last_ticket_;
  entry.beside = beside;
  entry.ends_connection = ends_connection;
  return entry.ticket;
}

Pipeline::Entry* Pipeline::FindOpen(Ticket ticket) {
  const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.ticket == ticket && !entry.response;
  });
  return found == entries_.end() ? nullptr : &*found;
}

bool Pipeline::IsOpen(Ticket ticket) const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [&](const Entry& entry) { return entry.ticket == ticket && !entry.response; });
}

void Pipeline::SetGoneHandler(Ticket ticket, std::function<void()> handler) {
  if (Entry* const entry = FindOpen(ticket)) entry->gone = std::move(handler);
}

bool Pipeline::Finish(Ticket ticket, Response response) {
  Entry* const entry = FindOpen(ticket);
  if (entry == nullptr) return false;
  entry->gone = nullptr;
  waiting_answer_bytes_ += response.body.size();
  entry->response = std::move(response);
  return true;
}

std::optional<Pipeline::Ready> Pipeline::TakeReady() {
  if (entries_.empty() || !entries_.front().response) return std::nullopt;
  Entry& first = entries_.front();
  Ready ready{*std::move(first.response), first.ends_connection, entries_.size() == 1};
  waiting_answer_bytes_ -= ready.response.body.size();
  entries_.pop_front();
  return ready;
}

void Pipeline::EndWithLast() {
  if (!entries_.empty()) entries_.back().ends_connection = true;
}

std::vector<std::function<void()>> Pipeline::Clear() {
  std::vector<std::function<void()>> gone;
  for (Entry& entry : entries_) {
    if (entry.gone) gone.push_back(std::move(entry.gone));
  }
  entries_.clear();
  waiting_answer_bytes_ = 0;
  return gone;
}

}  // namespace graniteseam::event_http
