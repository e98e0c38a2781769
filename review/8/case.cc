// Clients leave while their requests, which can't be repeated, wait for a slot of the target on their
// own machine. The requests run all the same.
#include <memory>

#include "../stand_ins_2/stand_ins.hh"

using namespace review;

namespace {

constexpr int kSlots = 6;
constexpr double kWork = 0.3;
constexpr double kLeavesAfter = 0.15;
constexpr int kRounds = 10, kRequestsPerRound = 24;
// In each round, 6 of 24 clients (0.25) leave.
bool Leaves(int number) { return number % 10 % 3 == 2 && number < 22; }

}  // namespace

int main(int, char** arguments) {
  const string folder = arguments[1];  // temporary
  record out(arguments[2]);
  const string block = FreeBlock();
  const string store_ip = block + "8";
  store platform(store_ip, kStore);
  platform.Put("op/config",
               Config("00000001", {{"file", "/file/", "unsafe", "permits", 5000, 1500, 1}},
                      {"maps", "permits"},
                      "{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_ms\":3000,\"idle_ms\":15000}"));
  std::mutex mutex;
  std::map<string, double> left_at, reached_at;
  std::vector<std::unique_ptr<listener>> servers;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<node*> all;
  for (int i = 1; i <= 2; ++i) {
    const string ip = block + std::to_string(i), id = "i-" + std::to_string(i);
    const string service = i == 1 ? "permits" : "maps", zone = i % 2 ? "east" : "west";
    servers.push_back(std::make_unique<listener>(ip, kBackend, [&, id](connection& served) {
      message request;
      while (served.Read(request, Seconds() + 30)) {
        if (!IsToRun(served, request, id)) continue;
        const string request_id = request.Field("Cuminferry-Request-Id");
        {
          std::lock_guard lock(mutex);
          reached_at[request_id] = Seconds();
        }
        out.Line("%s begins to run %s", id.c_str(), request_id.c_str());
        Sleep(kWork);
        if (!served.Send(Success(request, "done"))) return;
      }
    }));
    platform.Put("servers/" + id, Entry(service, ip, zone, kSlots));
    nodes.push_back(std::make_unique<node>(
        node::options{folder, "side-" + std::to_string(i), service, zone, ip, store_ip, {}}, out));
    all.push_back(nodes.back().get());
  }
  if (!AwaitReady(all)) return 2;
  Sleep(4);  // all machines have been in touch for `contact_ms`
  const char* where = std::getenv("INGRESS");
  const node& ingress = *all[where == nullptr ? 0 : std::atoi(where)];
  std::vector<std::thread> clients;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kRequestsPerRound; ++i) {
      clients.emplace_back([&, leaves = HasTrouble() && Leaves(i),
                            id = "request-" + std::to_string(round) + "-" + std::to_string(i)] {
        const int fd = Connect(ingress.ip(), kOutbound);
        if (fd < 0) return;
        connection client(fd);
        client.Send(Request("POST", "/file/1", id, 5000, "permit"));
        message answer;
        if (client.Read(answer, Seconds() + (leaves ? kLeavesAfter : 5.0))) {
          out.Line("%s is answered with %d", id.c_str(), answer.status());
          return;
        }
        client.Close();
        std::lock_guard lock(mutex);
        left_at[id] = Seconds();
        out.Line("%s: the client closes its connection", id.c_str());
      });
    }
    // Two rounds within 5.5 s, then a pause.
    Sleep(round % 2 == 0 ? 2.5 : 7);
  }
  for (std::thread& each : clients) each.join();
  Sleep(3);
  std::lock_guard lock(mutex);
  int late = 0;
  for (const auto& [id, left] : left_at) {
    const auto reached = reached_at.find(id);
    if (reached == reached_at.end() || reached->second < left + 0.5) continue;
    ++late;
    out.Line("%s reached its target %.2f s after its client had left", id.c_str(),
             reached->second - left);
  }
  out.Line("clients that left: %zu; requests that reached a target over half a second later: %d",
           left_at.size(), late);
  nodes.clear();
  std::_Exit(late > 5 ? 1 : 0);
}
