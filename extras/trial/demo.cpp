#include "trial/demo.h"

#include <atomic>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "cuminferry_caller/cuminferry_caller.h"
#include "stand_ins/backend/answer_text.h"
#include "trial/deployment.h"
#include "trial/journal_reader.h"

namespace cuminferry::trial {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kDomains = 2;
constexpr int kHttpOk = 200;
constexpr int kMicrosPerMilli = 1000;
constexpr int kExitStart = 4;
constexpr int kExitFailed = 5;
constexpr duration kEditTimeout = std::chrono::seconds(15);
constexpr char kRemovedRow[] = "map-history";
constexpr char kRemovedPath[] = "/map/history/2019";

double SecondsSince(instant started_at) { return ToSeconds(boot_clock::Now() - started_at); }

std::string Describe(const call_result& result) {
  if (const auto* completed = std::get_if<completed_call>(&result)) {
    return "completed, HTTP " + std::to_string(completed->http_status) + ", " +
           (completed->http_status == kHttpOk ? std::to_string(completed->body.size()) + " bytes"
                                              : completed->body);
  }
  if (const auto* refused = std::get_if<call_not_run>(&result)) {
    return "not run (CF" + std::to_string(static_cast<int>(refused->code)) + " " +
           std::string(DescribeResultCode(refused->code).name) + ")";
  }
  return "unknown";
}

bool IsSuccess(const call_result& result) {
  const auto* completed = std::get_if<completed_call>(&result);
  return completed != nullptr && completed->http_status == kHttpOk;
}

// Removes one row from the table and increments the version, as an operator would.
std::string WithoutRow(const std::string& table, const std::string& row, std::uint64_t& version) {
  json edited = json::parse(table, nullptr, true, true);
  version = edited.at("version").get<std::uint64_t>() + 1;
  edited["version"] = version;
  json remaining_rows = json::array();
  for (const json& one : edited.at("rows")) {
    if (one.at("name") != row) {
      remaining_rows.push_back(one);
    }
  }
  edited["rows"] = remaining_rows;
  return edited.dump(2);
}

// Shows requests and an edit of the table on a running deployment.
class demo_scenario {
 public:
  demo_scenario(deployment& running, const deployment_plan& plan)
      : running_(running),
        plan_(plan),
        caller_(*caller::builder()
                     .WithResolver(
                         [this](std::string_view service) { return running_.FrontsOf(service); })
                     .Build()) {}

  bool Run() {
    std::printf("\n2. A farmer files a permit: POST /permits at any node of \"permit\".\n");
    bool succeeded = CallAndPrint("permit", "POST", "/permits", "demo-permit", true);
    std::printf("\n3. A farmer reads the drought map: GET /map/week/7 at any node of \"map\".\n");
    succeeded = CallAndPrint("map", "GET", "/map/week/7", "demo-map", true) && succeeded;
    return EditTable() && succeeded;
  }

 private:
  call_result Call(const std::string& service, const std::string& method, const std::string& path,
                   const std::string& name) {
    call_request request{.service = service,
                         .method = method,
                         .path = path + "?" + stand_ins::kRequestParameter + "=" + name,
                         .headers = {},
                         .body = {},
                         .idempotent = method == "GET"};
    if (method != "GET") {
      request.headers.push_back({"Content-Type", "text/plain"});
      request.body = "parcel 7, 30 cubic metres";
    }
    return caller_.Call(request);
  }

  bool CallAndPrint(const std::string& service, const std::string& method, const std::string& path,
                    const std::string& name, bool show_runs) {
    const instant started_at = boot_clock::Now();
    const call_result result = Call(service, method, path, name);
    std::printf("   %s after %.2f s\n", Describe(result).c_str(), SecondsSince(started_at));
    if (show_runs) {
      PrintRuns(name);
    }
    return IsSuccess(result);
  }

  // Prints the runs of the request that the backend servers recorded in their journals.
  void PrintRuns(const std::string& name) {
    for (const service_plan& service : plan_.services) {
      for (const running_target* target : running_.TargetsOf(service.name)) {
        PrintRunsAt(*target, name);
      }
    }
  }

  void PrintRunsAt(const running_target& target, const std::string& name) const {
    journal_contents journal;
    ReadJournal(running_.JournalFileOf(target), target.service, journal);
    for (const journal_entry& entry : journal.entries) {
      if (entry.request == name && !entry.is_effect) {
        std::printf("     worked on by %-26s for %3lld ms\n", target.instance.c_str(),
                    static_cast<long long>(entry.busy.count() / kMicrosPerMilli));
      }
    }
  }

  bool EditTable() {
    std::printf(
        "\n4. An operator edits the table: the row \"%s\" goes, so that old maps are closed.\n",
        kRemovedRow);
    std::printf("   before the edit, GET %s: ", kRemovedPath);
    bool succeeded = IsSuccess(PrintOutcome(Call("map", "GET", kRemovedPath, "demo-old")));
    std::uint64_t version = 0;
    const std::string edited = WithoutRow(plan_.table_text, kRemovedRow, version);
    std::atomic<bool> done = false;
    std::atomic<int> filed = 0;
    std::atomic<int> lost = 0;
    std::thread farmers([&] { FilePermitsUntil(done, filed, lost); });
    const instant started_at = boot_clock::Now();
    const absl::Status published = running_.PublishTable(edited);
    const bool in_force = published.ok() && running_.WaitForTable(version, kEditTimeout);
    const double seconds = SecondsSince(started_at);
    done = true;
    farmers.join();
    if (!in_force) {
      std::printf("   version %llu did not come into force: %s\n",
                  static_cast<unsigned long long>(version),
                  std::string(published.message()).c_str());
      return false;
    }
    std::printf(
        "   version %llu in force on all %zu nodes after %.2f s; meanwhile %d permits "
        "filed, %d lost\n",
        static_cast<unsigned long long>(version), running_.targets().size(), seconds, filed.load(),
        lost.load());
    std::printf("   after the edit, GET %s: ", kRemovedPath);
    const call_result closed = PrintOutcome(Call("map", "GET", kRemovedPath, "demo-old-again"));
    succeeded = succeeded && lost == 0 && std::holds_alternative<call_not_run>(closed);
    std::printf("   and the drought map goes on as before:\n");
    return CallAndPrint("map", "GET", "/map/week/7", "demo-map-again", false) && succeeded;
  }

  static call_result PrintOutcome(call_result result) {
    std::printf("%s\n", Describe(result).c_str());
    return result;
  }

  // Files permits until `done` is set, so that load continues while the edit propagates.
  void FilePermitsUntil(const std::atomic<bool>& done, std::atomic<int>& filed,
                        std::atomic<int>& lost) {
    int number = 0;
    do {
      const std::string name = "demo-meanwhile-" + std::to_string(number++);
      IsSuccess(Call("permit", "POST", "/permits", name)) ? ++filed : ++lost;
    } while (!done);
  }

  deployment& running_;
  const deployment_plan& plan_;
  caller caller_;
};

}  // namespace

int RunDemo(const deployment_plan& plan, const std::string& program_folder) {
  std::printf(
      "1. Starting %s on this machine: %zu failure domains, and in each a backend server\n"
      "   with its node for every service. Real processes, loopback addresses.\n",
      plan.name.c_str(), kDomains);
  std::fflush(stdout);
  const instant started_at = boot_clock::Now();
  auto started = deployment::Start(
      plan, {.program_folder = program_folder, .domain_count = kDomains, .keep_files = false});
  if (!started.ok()) {
    std::printf("   failed: %s\n", std::string(started.status().message()).c_str());
    return kExitStart;
  }
  std::printf("   %zu nodes serve with table version %llu after %.1f s\n",
              (*started)->targets().size(), static_cast<unsigned long long>(plan.table.version()),
              SecondsSince(started_at));
  const bool succeeded = demo_scenario(**started, plan).Run();
  std::printf("\n5. %s All processes end now.\n",
              succeeded ? "Everything went as it should." : "Something went wrong; see above.");
  return succeeded ? 0 : kExitFailed;
}

}  // namespace cuminferry::trial
