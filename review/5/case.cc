// An entry of another writer, whose `zone` is a deeply nested list, ends the nodes that read it.
#include <memory>

#include "../stand_ins_2/stand_ins.hh"

using namespace review;

int main(int, char** arguments) {
  const string folder = arguments[1];  // temporary
  record out(arguments[2]);
  const string block = FreeBlock();
  const string store_ip = block + "8";
  store platform(store_ip, kStore);
  platform.Put("op/config",
               Config("00000001", {{"read", "/read/", "safe", "maps", 5000, 1500, 2},
                                   {"file", "/file/", "unsafe", "permits", 5000, 1500, 1}},
                      {"maps", "permits"},
                      "{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_ms\":3000,\"idle_ms\":15000}"));
  std::vector<std::unique_ptr<listener>> servers;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<node*> all;
  for (int i = 1; i <= 4; ++i) {
    const string ip = block + std::to_string(i), id = "i-" + std::to_string(i);
    const string service = i <= 2 ? "maps" : "permits", zone = i % 2 ? "east" : "west";
    servers.push_back(std::make_unique<listener>(ip, kBackend, [&out, id](connection& served) {
      message request;
      while (served.Read(request, Seconds() + 30)) {
        if (!IsToRun(served, request, id)) continue;
        out.Line("%s runs %s", id.c_str(), request.Field("Cuminferry-Request-Id").c_str());
        Sleep(0.1);
        if (!served.Send(Success(request, "done"))) return;
      }
    }));
    platform.Put("servers/" + id, Entry(service, ip, zone, 20));
    nodes.push_back(std::make_unique<node>(
        node::options{folder, "side-" + std::to_string(i), service, zone, ip, store_ip, {}}, out));
    all.push_back(nodes.back().get());
  }
  if (!AwaitReady(all)) return 2;
  std::map<string, int> ends;
  std::map<string, double> down_since;
  int served = 0, lost = 0, not_connected = 0, number = 0;
  const double begin = Seconds();
  bool is_put = false;
  double next_request = begin;
  while (Seconds() < begin + 25) {
    if (!is_put && Seconds() > begin + 3) {
      is_put = true;
      const bool deep = HasTrouble();
      const int depth = deep ? 100'000 : 1;
      const string value = "{\"service\":\"maps\",\"addr\":\"" + block +
                           "1:8301\",\"zone\":" + string(depth, '[') + string(depth, ']') +
                           ",\"capacity\":20,\"state\":\"ready\",\"sequence\":1}";
      platform.Put("servers/other-writer", value);
      out.Line("another writer puts servers/other-writer: %zu bytes, `zone` is a list in %d levels",
               value.size(), depth);
    }
    for (node* each : all) {
      if (each->HasEnded()) {
        ++ends[each->name()];
        down_since[each->name()] = Seconds();
      }
      const auto down = down_since.find(each->name());
      if (down != down_since.end() && Seconds() > down->second + 0.5) {
        each->Start();
        down_since.erase(down);
      }
    }
    if (Seconds() > next_request) {
      next_request += 0.1;
      const node& at = *all[static_cast<std::size_t>(number % 4)];
      const string id = "request-" + std::to_string(number++);
      std::thread([&, ip = at.ip(), name = at.name(), id] {
        const int fd = Connect(ip, kOutbound);
        if (fd < 0) {
          ++not_connected;
          return;
        }
        connection client(fd);
        message answer;
        client.Send(Request("POST", "/file/1", id, 5000, "permit"));
        if (client.Read(answer, Seconds() + 6)) {
          ++served;
        } else {
          ++lost;
          out.Line("%s at %s: the connection ends without an answer", id.c_str(), name.c_str());
        }
      }).detach();
    }
    Sleep(0.01);
  }
  Sleep(0.5);
  int broken = 0;
  for (const auto& [name, count] : ends) {
    out.Line("%s: its process ended by itself %d times", name.c_str(), count);
    broken += count >= 3 ? 1 : 0;
  }
  out.Line("requests answered: %d, without an answer: %d, not connected: %d", served, lost,
           not_connected);
  out.Line("machines whose processes ended by themselves three times: %d of 4; the rule allows 1",
           broken);
  nodes.clear();
  std::_Exit(broken >= 2 ? 1 : 0);
}
