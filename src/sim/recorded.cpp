#include "sim/recorded.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>

namespace planktray::sim {
namespace {

using nlohmann::json;

using LineReader = std::function<void(const json& line, std::vector<HistoryEvent>& events)>;

TimePoint time_of(const json& line, const char* field) {
  return common::from_microseconds(line.at(field).get<std::int64_t>());
}

void read_execution(const json& line, std::vector<HistoryEvent>& events) {
  Executed executed;
  executed.request = line.at("request_id").get<std::string>();
  executed.machine = line.at("machine").get<std::string>();
  executed.incarnation = line.at("incarnation").get<std::string>();
  if (line.at("keyed").get<bool>()) {
    executed.shard = line.at("tenant").get<std::string>() + "/" +
                     line.at("service").get<std::string>() + "/" +
                     std::to_string(line.at("shard").get<std::uint32_t>());
    executed.epoch = line.at("epoch").get<std::uint64_t>();
  }
  const TimePoint time = time_of(line, "at_us");
  executed.accepted = time;
  events.push_back({time, executed});
}

void read_call(const json& line, std::vector<HistoryEvent>& events) {
  const auto request = line.at("request_id").get<std::string>();
  events.push_back(
      {time_of(line, "asked_us"), RequestSent{request, line.at("repeatable").get<bool>()}});
  const auto outcome = line.at("outcome").get<std::string>();
  RequestTold told{request, routing::Outcome::kUnknown, "", true};
  if (outcome == routing::to_string(routing::Outcome::kAnswered)) {
    told.outcome = routing::Outcome::kAnswered;
    told.answer_to = line.at("answer_id").get<std::string>();
  } else if (outcome == routing::to_string(routing::Outcome::kNotRun)) {
    told.outcome = routing::Outcome::kNotRun;
  }
  events.push_back({time_of(line, "told_us"), told});
}

/// {"kind": "change"|"read", "name", "change", "replaces", "revision", "status", "asked_us",
/// "told_us"}; status is that of HTTP, 0 where no answer came.
void read_change(const json& line, std::vector<HistoryEvent>& events) {
  constexpr int kAccepted = 200;
  constexpr int kConflict = 409;
  const auto name = line.at("name").get<std::string>();
  const auto change = line.at("change").get<std::string>();
  const auto revision = line.at("revision").get<std::uint64_t>();
  const int status = line.at("status").get<int>();
  const TimePoint asked = time_of(line, "asked_us");
  const TimePoint told = time_of(line, "told_us");
  if (line.at("kind") == "read") {
    if (status == kAccepted) {
      events.push_back({told, DeclarationRead{name, asked, revision, change}});
    }
    return;
  }
  events.push_back({asked, ChangeSent{change, name, line.at("replaces").get<std::uint64_t>()}});
  if (status == kAccepted) {
    events.push_back({told, ChangeTold{change, name, ChangeVerdict::kAccepted, revision}});
  } else if (status == kConflict) {
    events.push_back({told, ChangeTold{change, name, ChangeVerdict::kConflict, revision}});
  }
}

common::Result<void> read_file(const std::string& file, const LineReader& reader,
                               std::vector<HistoryEvent>& events) {
  std::ifstream input(file);
  if (!input) {
    return common::fail(common::ErrorCode::kIo, "read record", file, "cannot be read");
  }
  std::string text;
  std::size_t number = 0;
  while (std::getline(input, text)) {
    ++number;
    try {
      reader(json::parse(text), events);
    } catch (const json::exception& error) {
      if (input.peek() == EOF) {
        break;  // a killed process may have torn its last line: that effect was not made durable
      }
      return common::fail(common::ErrorCode::kCorrupt, "read record",
                          file + ":" + std::to_string(number), error.what());
    }
  }
  return {};
}

}  // namespace

common::Result<History> read_recorded(const RecordedFiles& files) {
  std::vector<HistoryEvent> events;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(files.ledger_folder, error)) {
    if (auto read = read_file(entry.path().string(), read_execution, events); !read) {
      return tl::unexpected(read.error());
    }
  }
  if (error) {
    return common::fail(common::ErrorCode::kIo, "read record", files.ledger_folder,
                        error.message());
  }
  if (auto read = read_file(files.calls, read_call, events); !read) {
    return tl::unexpected(read.error());
  }
  if (!files.changes.empty()) {
    if (auto read = read_file(files.changes, read_change, events); !read) {
      return tl::unexpected(read.error());
    }
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const HistoryEvent& left, const HistoryEvent& right) { return left.time < right.time; });
  History history;
  for (HistoryEvent& event : events) {
    history.add(event.time, std::move(event.what));
  }
  return history;
}

}  // namespace planktray::sim
