// Requests that may run once, while one server sheds a part of them and sends a second copy of
// some of its answers late. How often does each request run?
#include "stand_ins.hh"

namespace {

using namespace review;

constexpr int kSlots = 64;
constexpr int kClients = 60;
constexpr int kWorkMillis = 120;
constexpr int kTrafficMillis = 8'000;
// The doses of the two disruptions: their lengths, and the shares of the server's answers.
constexpr int kSheddingMillis = 6'500;
constexpr double kShedShare = 0.1;
constexpr int kDuplicatingMillis = 5'000;
constexpr double kDuplicatedShare = 0.03;

struct ledger {
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs;
  std::map<std::string, int> statuses;
};

// A disruption that strikes at most its share of the answers that it may strike, for a time.
class dose {
 public:
  dose(double share, int millis) : share_(share), millis_(millis) {}
  void Begin() { ends_ = steady::now() + milliseconds(millis_); }
  // @param may_strike  the answer is one that the disruption can strike
  bool Strikes(bool may_strike) {
    const std::lock_guard lock(mutex_);
    if (steady::now() >= ends_) {
      return false;
    }
    ++answers_;
    if (!may_strike || struck_ + 1 > share_ * answers_) {
      return false;
    }
    ++struck_;
    return true;
  }

 private:
  double share_;
  int millis_;
  std::mutex mutex_;
  steady::time_point ends_{};
  int answers_ = 0;
  int struck_ = 0;
};

int File(platform& fleet, std::size_t machine, const std::string& id) {
  stream at(Connect(fleet.at(machine).ip, fleet.outbound_port));
  const std::string body = Pattern(2'000, 1);
  at.Send("POST /permit/" + id + " HTTP/1.1\r\nHost: review.example\r\nCuminferry-Request-Id: " +
          id + "\r\nCuminferry-Deadline-Ms: 5000\r\nContent-Length: 2000\r\n\r\n" + body);
  const auto head = at.ReadHead(7'000);
  return head ? head->status() : 0;
}

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  record_file record(std::string(arguments[2]) + "/record.txt");
  const bool trouble = HasTrouble();
  platform fleet(folder, record);
  const std::size_t ingress = fleet.AddMachine("front", "north", kSlots);
  const std::size_t first = fleet.AddMachine("permits", "north", kSlots);
  const std::size_t second = fleet.AddMachine("permits", "south", kSlots);
  ledger seen;
  dose sheds(kShedShare, kSheddingMillis);
  dose duplicates(kDuplicatedShare, kDuplicatingMillis);

  const auto serve = [&](std::size_t number) {
    return [&, number](stream& at) {
      std::string duplicate;
      while (const auto head = at.ReadHead(60'000)) {
        if (AnswerCommon(at, *head, fleet.at(number).target_id)) {
          continue;
        }
        const std::string id = head->Field("Cuminferry-Request-Id");
        std::string body;
        if (!at.ReadBody(*head, body, 6'000)) {
          return;
        }
        if (!duplicate.empty()) {
          // The second copy comes late, where the next answer is expected.
          at.Send(duplicate);
          duplicate.clear();
        }
        const bool is_struck = number == first;
        const bool is_service = number != ingress;
        std::string answer;
        const bool is_shed = is_service && sheds.Strikes(true);
        if (is_shed) {
          answer =
              "HTTP/1.1 503 Service Unavailable\r\nCuminferry-Not-Executed: 1\r\n"
              "Cuminferry-Request-Id: " +
              id + "\r\nContent-Length: 0\r\n\r\n";
          record.Line("server " + fleet.at(number).ip + " sheds " + id);
        } else {
          {
            const std::lock_guard lock(seen.mutex);
            seen.runs[id].push_back(fleet.at(number).ip);
          }
          record.Line("server " + fleet.at(number).ip + " runs " + id);
          Sleep(kWorkMillis);
          answer = SignedHead(*head, "Content-Length: 2\r\n") + "ok";
        }
        if (!at.Send(answer)) {
          return;
        }
        if (is_struck && duplicates.Strikes(is_shed)) {
          duplicate = answer;
          record.Line("server " + fleet.at(number).ip + " will repeat its answer " +
                      answer.substr(9, 3) + " to " + id);
        }
      }
    };
  };
  listener first_server(fleet.at(first).ip, fleet.app_port, serve(first));
  listener second_server(fleet.at(second).ip, fleet.app_port, serve(second));
  listener front(fleet.at(ingress).ip, fleet.app_port, serve(ingress));

  fleet.store().Put("op/config", Config({{"permit", "unsafe", "permits", 5'000, 1'500, 0}},
                                        {"front", "permits"}));
  for (const std::size_t number : {ingress, first, second}) {
    fleet.Register(number);
    fleet.StartNode(number);
  }
  fleet.StartHeartbeats();
  if (!fleet.AwaitReady()) {
    record.Line("the nodes did not get ready");
    return 2;
  }
  Sleep(1'000);

  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (int number = 0; !stop; ++number) {
        const std::string id = "permit-" + std::to_string(client) + "-" + std::to_string(number);
        record.Line("client sends " + id);
        const int status = File(fleet, ingress, id);
        record.Line("client got status " + std::to_string(status) + " for " + id);
        {
          const std::lock_guard lock(seen.mutex);
          seen.statuses[id] = status;
        }
        Sleep(status == 200 ? 40 : 300);
      }
    });
  }
  Sleep(2'000);
  if (trouble) {
    sheds.Begin();
    duplicates.Begin();
    record.Line("server " + fleet.at(first).ip + " begins to shed, and to repeat answers late");
  }
  Sleep(kTrafficMillis - 2'000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(1'000);

  int broken = 0;
  int served = 0;
  const std::lock_guard lock(seen.mutex);
  for (const auto& [id, runs] : seen.runs) {
    if (runs.size() > 1) {
      ++broken;
      std::string where;
      for (const std::string& server : runs) {
        where += " " + server;
      }
      record.Line("TWICE: " + id + " ran " + std::to_string(runs.size()) + " times, at" + where +
                  "; its client got status " + std::to_string(seen.statuses[id]));
    }
  }
  for (const auto& [id, status] : seen.statuses) {
    served += status == 200 ? 1 : 0;
  }
  record.Line("TWICE: " + std::to_string(broken) + " of " + std::to_string(seen.statuses.size()) +
              " requests ran more than once; " + std::to_string(served) + " were answered 200");
  fleet.StopAll();
  std::fflush(nullptr);
  ::_exit(broken > 0 ? 1 : (served == 0 ? 2 : 0));
}
