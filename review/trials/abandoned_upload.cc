// A trial for the report, no case: clients that leave 150 ms after they sent an upload, while all
// slots of the server are taken. Arguments: folder for settings and logs, folder for record.txt,
// bytes of an upload.
#include "stand_ins.hh"

namespace {

using namespace review;

constexpr int kSlots = 4;
constexpr int kReaders = 12;
constexpr int kWorkMillis = 400;
constexpr int kUploads = 60;
constexpr int kUploadGapMillis = 120;
constexpr int kPatienceMillis = 150;
constexpr long kLateMillis = 500;

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  const std::string body(static_cast<std::size_t>(std::atoi(arguments[3])), 'x');
  record_file record(std::string(arguments[2]) + "/record.txt");
  platform fleet(folder, record);
  const std::size_t ingress = fleet.AddMachine("front", "north", 16);
  const std::size_t other = fleet.AddMachine("archive", "south", kSlots);
  std::mutex mutex;
  std::condition_variable freed;
  int free_slots = kSlots;
  std::map<std::string, long> left_at;
  int late = 0;

  listener archive(fleet.at(other).ip, fleet.app_port, [&](stream& at) {
    while (const auto head = at.ReadHead(60'000)) {
      if (AnswerCommon(at, *head, fleet.at(other).target_id)) {
        continue;
      }
      const long arrived = record.Millis();
      const std::string id = head->Field("Cuminferry-Request-Id");
      std::string received;
      const bool is_whole = at.ReadBody(*head, received, 5'000);
      {
        std::unique_lock lock(mutex);
        const auto left = left_at.find(id);
        if (left != left_at.end() && arrived - left->second > kLateMillis) {
          ++late;
          record.Line(id + " reaches the server " + std::to_string(arrived - left->second) +
                      " ms after its client left" + (is_whole ? ", and is run" : ""));
        }
        if (!is_whole) {
          return;
        }
        freed.wait(lock, [&] { return free_slots > 0; });
        --free_slots;
      }
      Sleep(kWorkMillis);
      {
        const std::lock_guard lock(mutex);
        ++free_slots;
        freed.notify_one();
      }
      at.Send(SignedHead(*head, "Content-Length: 2\r\n") + "ok");
    }
  });
  listener front(fleet.at(ingress).ip, fleet.app_port, [&](stream& at) {
    while (const auto head = at.ReadHead(60'000)) {
      AnswerCommon(at, *head, fleet.at(ingress).target_id);
    }
  });
  fleet.store().Put("op/config", Config({{"logs", "upload", "archive", 5'000, 1'500, 1},
                                         {"list", "safe", "archive", 5'000, 1'500, 1}},
                                        {"front", "archive"}));
  for (const std::size_t number : {ingress, other}) {
    fleet.Register(number);
    fleet.StartNode(number);
  }
  fleet.StartHeartbeats();
  if (!fleet.AwaitReady()) {
    return 2;
  }
  Sleep(1'000);

  const auto send = [&](stream& at, const std::string& method, const std::string& path,
                        const std::string& id, const std::string& content) {
    at.Send(
        method + " " + path + " HTTP/1.1\r\nHost: review.example\r\nCuminferry-Request-Id: " + id +
        "\r\nCuminferry-Deadline-Ms: 5000\r\nContent-Length: " + std::to_string(content.size()) +
        "\r\n\r\n" + content);
  };
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int reader = 0; reader < kReaders; ++reader) {
    clients.emplace_back([&, reader] {
      for (int number = 0; !stop; ++number) {
        stream at(Connect(fleet.at(ingress).ip, fleet.outbound_port));
        send(at, "GET", "/list/a", "read-" + std::to_string(reader) + "-" + std::to_string(number),
             "");
        const auto head = at.ReadHead(6'000);
        if (!head || head->status() != 200) {
          Sleep(100);
        }
      }
    });
  }
  Sleep(1'500);
  for (int number = 0; number < kUploads; ++number) {
    clients.emplace_back([&, number] {
      Sleep(number * kUploadGapMillis);
      const std::string id = "upload-" + std::to_string(number);
      stream at(Connect(fleet.at(ingress).ip, fleet.outbound_port));
      send(at, "POST", "/logs/a", id, body);
      std::string answer;
      if (ReadSome(at.fd(), answer, kPatienceMillis) == -2) {
        const std::lock_guard lock(mutex);
        left_at[id] = record.Millis();
      }
      at.Close();
    });
  }
  Sleep(10'000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line(std::to_string(late) + " of " + std::to_string(left_at.size()) +
              " abandoned uploads reached the server over 500 ms after their client had left");
  fleet.StopAll();
  std::fflush(nullptr);
  ::_exit(late > 3 ? 1 : 0);
}
