// A slow target is emptied and taken away: it reports `draining` while requests wait in the queue of the
// node beside it. They are sent to it all the same, later than `drain_ms`.
#include <memory>

#include "../stand_ins_2/stand_ins.hh"

using namespace review;

namespace {

constexpr int kSlots = 6;
constexpr double kDrain = 2.0;  // drain_ms
constexpr double kExit = 2.6;   // the target exits "a little longer" after that
constexpr double kSlowFactor = 12;
constexpr double kConfirmWork = 0.2, kStatusWork = 0.015;
constexpr int kConfirms = 26, kReads = 80;
const string kLeaving = "i-2";

}  // namespace

int main(int, char** arguments) {
  const string folder = arguments[1];  // temporary
  record out(arguments[2]);
  const string block = FreeBlock();
  const string store_ip = block + "8";
  store platform(store_ip, kStore);
  platform.Put("op/config",
               Config("00000001", {{"read", "/read/", "safe", "calendar", 5000, 1500, 2},
                                   {"confirm", "/confirm/", "unsafe", "bookings", 5000, 1500, 1},
                                   {"status", "/status/", "safe", "bookings", 2500, 1000, 2}},
                      {"calendar", "bookings"},
                      "{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_ms\":3000,\"idle_ms\":15000}"));
  std::mutex mutex;
  std::vector<std::pair<double, string>> arrivals;  // at the target that leaves
  std::atomic<bool> has_exited{false};
  std::vector<std::unique_ptr<listener>> servers;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<node*> all;
  // One target of `calendar`, whose runs make calls, and four of `bookings`, of which one is slow.
  for (int i = 1; i <= 5; ++i) {
    const string ip = block + std::to_string(i), id = "i-" + std::to_string(i);
    const string service = i == 1 ? "calendar" : "bookings", zone = i % 2 ? "east" : "west";
    const double factor = HasTrouble() && id == kLeaving ? kSlowFactor : 1;
    servers.push_back(std::make_unique<listener>(ip, kBackend, [&, id, ip, factor](connection& served) {
      message request;
      while (served.Read(request, Seconds() + 30)) {
        if (!IsToRun(served, request, id)) continue;
        const string request_id = request.Field("Cuminferry-Request-Id");
        out.Line("%s begins to run %s", id.c_str(), request_id.c_str());
        if (id == kLeaving) {
          std::lock_guard lock(mutex);
          arrivals.emplace_back(Seconds(), request_id);
        }
        if (request.target().rfind("/read/", 0) == 0) {
          connection call(Connect(ip, kOutbound));
          message answer;
          call.Send(Request("GET", "/status/1", request_id + ".call", 2500));
          call.Read(answer, Seconds() + 3);
        } else {
          Sleep(factor * (request.target().rfind("/confirm/", 0) == 0 ? kConfirmWork : kStatusWork));
        }
        if (id == kLeaving && has_exited) {
          out.Line("%s has exited: no answer to %s", id.c_str(), request_id.c_str());
          return;
        }
        if (!served.Send(Success(request, "done"))) return;
      }
    }));
    platform.Put("servers/" + id, Entry(service, ip, zone, i == 1 ? 100 : kSlots));
    nodes.push_back(std::make_unique<node>(
        node::options{folder, "side-" + std::to_string(i), service, zone, ip, store_ip, {}}, out));
    all.push_back(nodes.back().get());
  }
  if (!AwaitReady(all)) return 2;
  Sleep(4);  // all machines have been in touch for `contact_ms`
  std::vector<std::thread> clients;
  std::atomic<int> answered{0}, failed{0};
  const auto send = [&](const string& method, const string& path, const string& id) {
    clients.emplace_back([&, method, path, id] {
      connection client(Connect(all[0]->ip(), kOutbound));
      message answer;
      client.Send(Request(method, path, id, 5000, method == "POST" ? "booking" : ""));
      if (!client.Read(answer, Seconds() + 6)) return;
      ++answered;
      failed += answer.status() == 502 || answer.status() == 504 ? 1 : 0;
      out.Line("%s is answered with %d", id.c_str(), answer.status());
    });
  };
  for (int i = 0; i < kConfirms; ++i) send("POST", "/confirm/1", "confirm-" + std::to_string(i));
  Sleep(0.1);
  for (int i = 0; i < kReads; ++i) send("GET", "/read/1", "read-" + std::to_string(i));
  Sleep(0.05);
  string entry = Entry("bookings", block + "2", "west", kSlots);
  entry.replace(entry.find("ready"), 5, "draining");
  platform.Put("servers/" + kLeaving, entry);
  const double acknowledged_at = Seconds();
  out.Line("the store accepts that %s is draining", kLeaving.c_str());
  Sleep(acknowledged_at + kExit - Seconds());
  has_exited = true;
  for (std::thread& each : clients) each.join();
  int late = 0;
  std::lock_guard lock(mutex);
  for (const auto& [at, id] : arrivals) {
    if (at <= acknowledged_at + kDrain) continue;
    ++late;
    out.Line("%s reached %s %.2f s after that; drain_ms is 2,000", id.c_str(), kLeaving.c_str(),
             at - acknowledged_at);
  }
  out.Line("requests answered: %d of %d, with 502 or 504: %d; at the leaving target: %zu, of these too "
           "late: %d", answered.load(), kConfirms + kReads, failed.load(), arrivals.size(), late);
  nodes.clear();
  std::_Exit(answered == 0 ? 2 : late > 0 ? 1 : 0);
}
