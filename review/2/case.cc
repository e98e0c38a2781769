// Long uploads in chunks, while one server of the service rejects long requests before they are
// in. What do the servers that run them get?
#include "stand_ins.hh"

namespace {

using namespace review;

constexpr std::size_t kUploadBytes = 360'000;
constexpr std::size_t kPieceBytes = 60'000;
constexpr int kPieceMillis = 50;
constexpr int kUploads = 20;
constexpr int kUploadGapMillis = 400;
// The rejecting server has read this much of a request when it answers.
constexpr std::size_t kReadBeforeRejection = 215'000;
// The dose of the disruption: its length, and the share of the server's answers.
constexpr int kRejectingMillis = 6'000;
constexpr double kRejectedShare = 0.4;
constexpr int kUploadWorkMillis = 110;
constexpr int kReadWorkMillis = 250;
constexpr int kSlots = 4;
constexpr int kReaders = 14;

// The slots of one server: a request waits for one, or is rejected if none is free in time.
class slots {
 public:
  explicit slots(int free) : free_(free) {}
  void Take() {
    std::unique_lock lock(mutex_);
    freed_.wait(lock, [this] { return free_ > 0; });
    --free_;
  }
  void Release() {
    const std::lock_guard lock(mutex_);
    ++free_;
    freed_.notify_one();
  }

 private:
  std::mutex mutex_;
  std::condition_variable freed_;
  int free_;
};

struct run {
  std::string server;
  std::size_t bytes;
  std::string hash;
};

// Whether a server rejects the next long request: for a time, and in a part of its answers.
class rejections {
 public:
  void Begin() { ends_ = steady::now() + milliseconds(kRejectingMillis); }
  void OnAnswer() { ++answers_; }
  bool TakeOne() {
    const std::lock_guard lock(mutex_);
    if (steady::now() >= ends_ || rejected_ + 1 > kRejectedShare * (answers_ + 1)) {
      return false;
    }
    ++rejected_;
    ++answers_;
    return true;
  }

 private:
  std::mutex mutex_;
  steady::time_point ends_{};
  int rejected_ = 0;
  std::atomic<int> answers_ = 0;
};

struct ledger {
  std::mutex mutex;
  std::map<std::string, std::string> sent;
  std::map<std::string, std::vector<run>> runs;
};

// Sends one upload in chunks at the pace of its uplink and waits for the answer.
int Upload(platform& fleet, std::size_t machine, const std::string& id, const std::string& body) {
  stream at(Connect(fleet.at(machine).ip, fleet.outbound_port));
  at.Send("POST /logs/" + id + " HTTP/1.1\r\nHost: review.example\r\nCuminferry-Request-Id: " + id +
          "\r\nCuminferry-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::thread sender([&] {
    for (std::size_t sent = 0; sent < body.size(); sent += kPieceBytes) {
      const std::string piece = body.substr(sent, kPieceBytes);
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
      if (!at.Send(size + piece + "\r\n")) {
        return;
      }
      Sleep(kPieceMillis);
    }
    at.Send("0\r\n\r\n");
  });
  const auto head = at.ReadHead(8'000);
  ::shutdown(at.fd(), SHUT_RDWR);
  sender.join();
  return head ? head->status() : 0;
}

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  record_file record(std::string(arguments[2]) + "/record.txt");
  const bool trouble = HasTrouble();
  platform fleet(folder, record);
  const std::size_t ingress = fleet.AddMachine("front", "north", 16);
  const std::size_t first = fleet.AddMachine("archive", "north", kSlots);
  const std::size_t second = fleet.AddMachine("archive", "south", kSlots);
  ledger seen;

  rejections early;
  const auto serve = [&](std::size_t number, slots& own_slots, bool rejects_early) {
    return [&, number, rejects_early](stream& at) {
      while (const auto head = at.ReadHead(60'000)) {
        if (AnswerCommon(at, *head, fleet.at(number).target_id)) {
          continue;
        }
        const std::string id = head->Field("Cuminferry-Request-Id");
        std::string body;
        bool is_decided = false;
        bool is_rejected = false;
        const bool is_whole = at.ReadBody(*head, body, 6'000, [&](const std::string& so_far) {
          if (rejects_early && !is_decided && so_far.size() >= kReadBeforeRejection) {
            is_decided = true;
            is_rejected = early.TakeOne();
          }
          return !is_rejected;
        });
        if (is_rejected) {
          record.Line("server " + fleet.at(number).ip + " rejects " + id + " after " +
                      std::to_string(body.size()) + " bytes");
          at.Send(
              "HTTP/1.1 503 Service Unavailable\r\nCuminferry-Not-Executed: 1\r\n"
              "Cuminferry-Request-Id: " +
              id + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
          // Reads on until the node closes, so that the answer isn't lost in a reset.
          std::string rest;
          while (at.ReadBytes(rest, 65'536, 2'000)) {
            rest.clear();
          }
          return;
        }
        if (!is_whole) {
          return;
        }
        const bool is_upload = head->Word(0) == "POST";
        own_slots.Take();
        if (is_upload) {
          const std::lock_guard lock(seen.mutex);
          seen.runs[id].push_back({fleet.at(number).ip, body.size(), Hash(body)});
          record.Line("server " + fleet.at(number).ip + " runs " + id + " with " +
                      std::to_string(body.size()) + " bytes, hash " + Hash(body));
        }
        Sleep(is_upload ? kUploadWorkMillis : kReadWorkMillis);
        own_slots.Release();
        if (rejects_early) {
          early.OnAnswer();
        }
        at.Send(SignedHead(*head, "Content-Length: 2\r\n") + "ok");
      }
    };
  };
  slots first_slots(kSlots);
  slots second_slots(kSlots);
  listener first_server(fleet.at(first).ip, fleet.app_port, serve(first, first_slots, trouble));
  listener second_server(fleet.at(second).ip, fleet.app_port, serve(second, second_slots, false));
  slots front_slots(16);
  listener front(fleet.at(ingress).ip, fleet.app_port, serve(ingress, front_slots, false));

  fleet.store().Put("op/config", Config({{"logs", "upload", "archive", 1'500, 400, 1},
                                         {"list", "safe", "archive", 5'000, 1'200, 1}},
                                        {"front", "archive"}));
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
  std::atomic<int> reads = 0;
  std::vector<std::thread> clients;
  for (int reader = 0; reader < kReaders; ++reader) {
    clients.emplace_back([&, reader] {
      for (int number = 0; !stop; ++number) {
        const std::string id = "read-" + std::to_string(reader) + "-" + std::to_string(number);
        stream at(Connect(fleet.at(ingress).ip, fleet.outbound_port));
        at.Send("GET /list/a HTTP/1.1\r\nHost: review.example\r\nCuminferry-Request-Id: " + id +
                "\r\nCuminferry-Deadline-Ms: 5000\r\n\r\n");
        const auto head = at.ReadHead(6'000);
        ++reads;
        if (!head || head->status() != 200) {
          Sleep(200);
        }
      }
    });
  }
  Sleep(1'500);
  if (trouble) {
    early.Begin();
    record.Line("server " + fleet.at(first).ip + " begins to reject long requests early");
  }
  std::vector<std::thread> uploads;
  for (int number = 0; number < kUploads; ++number) {
    uploads.emplace_back([&, number] {
      const std::string id = "upload-" + std::to_string(number);
      const std::string body = Pattern(kUploadBytes, static_cast<unsigned>(number) + 1);
      {
        const std::lock_guard lock(seen.mutex);
        seen.sent[id] = Hash(body);
      }
      record.Line("client sends " + id + " with " + std::to_string(body.size()) + " bytes, hash " +
                  Hash(body));
      const int status = Upload(fleet, ingress, id, body);
      record.Line("client got status " + std::to_string(status) + " for " + id);
    });
    Sleep(kUploadGapMillis);
  }
  for (std::thread& upload : uploads) {
    upload.join();
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(500);

  int broken = 0;
  int sound = 0;
  const std::lock_guard lock(seen.mutex);
  for (const auto& [id, runs] : seen.runs) {
    for (const run& of : runs) {
      broken += of.hash != seen.sent[id] ? 1 : 0;
      sound += of.hash == seen.sent[id] ? 1 : 0;
    }
  }
  record.Line("UNASKED: " + std::to_string(broken) + " uploads ran with another body, " +
              std::to_string(sound) + " as they were sent; " + std::to_string(reads.load()) +
              " reads beside them");
  fleet.StopAll();
  std::fflush(nullptr);
  ::_exit(broken > 0 ? 1 : (sound == 0 ? 2 : 0));
}
