#include "stand_ins/backend/run_journal.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace cuminferry::stand_ins {
namespace {

constexpr std::array<std::string_view, 5> kOutcomeNames = {"done", "call_failed", "cancelled",
                                                           "expired", "unanswered"};
constexpr int kFileMode = 0600;

std::string LineOf(std::string_view what, const run_record& run) {
  return nlohmann::json{{"what", what},
                        {"request", run.request},
                        {"method", run.method},
                        {"path", run.path},
                        {"end", kOutcomeNames[static_cast<std::size_t>(run.outcome)]},
                        {"busy_us", run.busy.count()},
                        {"waited_us", run.waited.count()}}
             .dump() +
         "\n";
}

int OpenFile(const std::string& file) {
  return file.empty() ? -1
                      : ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
}

}  // namespace

run_journal::run_journal(std::size_t max_lines, const std::string& file)
    : max_lines_(max_lines), file_(OpenFile(file)) {}

run_journal::~run_journal() {
  if (file_ >= 0) {
    ::close(file_);
  }
}

void run_journal::AddEffect(const run_record& run) { Add(LineOf("effect", run)); }

void run_journal::AddOutcome(const run_record& run) { Add(LineOf("end", run)); }

void run_journal::Add(std::string line) {
  const std::lock_guard lock(mutex_);
  if (file_ >= 0) {
    // A short write leaves an unreadable line, which the reader of the file counts.
    static_cast<void>(!::write(file_, line.data(), line.size()));
  }
  lines_.push_back(std::move(line));
  if (lines_.size() > max_lines_) {
    lines_.pop_front();
    ++dropped_;
  }
}

std::string run_journal::Text() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const std::string& line : lines_) {
    text += line;
  }
  if (dropped_ > 0) {
    text += nlohmann::json{{"what", "dropped"}, {"count", dropped_}}.dump() + "\n";
  }
  return text;
}

void run_journal::Clear() {
  const std::lock_guard lock(mutex_);
  lines_.clear();
  dropped_ = 0;
}

}  // namespace cuminferry::stand_ins
