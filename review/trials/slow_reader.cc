// A trial for the report, no case: clients that stop reading for a while in the middle of a long
// answer. Arguments: folder for settings and logs, folder for record.txt, and
//   term      the answers have a length; SIGTERM to the clients' node while they don't read
//   unframed  the answers end with their connection; no process is harmed
//   pause     the answers have a length; no process is harmed, the clients pause for 5 s
// With TROUBLE=0 there is no SIGTERM, or the clients read on at once.
#include "stand_ins.hh"

namespace {

using namespace review;

constexpr int kClients = 32;
constexpr int kReceiveBuffer = 16'384;
// The answers differ in length, so that for some a part is left in the node, not in the kernel.
constexpr long kStepBytes = 24'000;
constexpr int kSmallerThanKernel = 8;

// How many bytes the kernel takes for a client that doesn't read.
long KernelBytes() {
  const int listening = Listen("127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(listening, reinterpret_cast<sockaddr*>(&address), &size);
  const int reader = Connect("127.0.0.1", ntohs(address.sin_port), kReceiveBuffer);
  const int writer = ::accept(listening, nullptr, nullptr);
  ::fcntl(writer, F_SETFL, O_NONBLOCK);
  const std::string piece(16'384, 'x');
  long taken = 0;
  for (int idle = 0; idle < 20;) {
    const ssize_t count = ::send(writer, piece.data(), piece.size(), MSG_NOSIGNAL);
    taken += count > 0 ? count : 0;
    idle = count > 0 ? 0 : idle + 1;
    Sleep(count > 0 ? 0 : 5);
  }
  for (const int fd : {reader, writer, listening}) {
    ::close(fd);
  }
  return taken;
}

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  const std::string mode = arguments[3];
  record_file record(std::string(arguments[2]) + "/record.txt");
  const bool trouble = HasTrouble();
  const bool has_length = mode != "unframed";
  const int pause = mode == "pause"  ? (trouble ? 5'000 : 300)
                    : mode == "term" ? 1'500
                                     : (trouble ? 2'800 : 300);
  platform fleet(folder, record);
  const std::size_t ingress = fleet.AddMachine("front", "north", 64);
  const std::size_t other = fleet.AddMachine("maps", "south", 64);
  const long kernel = KernelBytes();
  const auto size_of = [&](int number) {
    return static_cast<std::size_t>(kernel + (number - kSmallerThanKernel) * kStepBytes);
  };

  listener maps(fleet.at(other).ip, fleet.app_port, [&](stream& at) {
    while (const auto head = at.ReadHead(60'000)) {
      if (AnswerCommon(at, *head, fleet.at(other).target_id)) {
        continue;
      }
      const std::string path = head->Word(1);
      const std::string body = Pattern(size_of(std::atoi(path.substr(5).c_str())), 1);
      at.Send(SignedHead(*head, has_length
                                    ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                                    : "Connection: close\r\n"));
      at.Send(body);
      if (!has_length) {
        return;
      }
    }
  });
  listener front(fleet.at(ingress).ip, fleet.app_port, [&](stream& at) {
    while (const auto head = at.ReadHead(60'000)) {
      AnswerCommon(at, *head, fleet.at(ingress).target_id);
    }
  });
  fleet.store().Put("op/config",
                    Config({{"map", "safe", "maps", 8'000, 1'200, 1}}, {"front", "maps"}));
  for (const std::size_t number : {ingress, other}) {
    fleet.Register(number);
    fleet.StartNode(number);
  }
  fleet.StartHeartbeats();
  if (!fleet.AwaitReady()) {
    return 2;
  }
  Sleep(1'000);

  std::atomic<int> cut = 0;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      const std::string id = "request-" + std::to_string(number);
      stream at(Connect(fleet.at(ingress).ip, fleet.outbound_port, kReceiveBuffer));
      at.Send("GET /map/" + std::to_string(number) +
              " HTTP/1.1\r\nHost: review.example\r\nCuminferry-Request-Id: " + id +
              "\r\nCuminferry-Deadline-Ms: 8000\r\n\r\n");
      const auto head = at.ReadHead(6'000);
      std::string body;
      Sleep(pause);
      while (body.size() < size_of(number) && at.ReadBytes(body, 65'536, 4'000)) {
      }
      std::string none;
      const bool ends_in_order = !has_length && ReadSome(at.fd(), none, 1'000) == 0;
      record.Line(id + ": status " + std::to_string(head ? head->status() : 0) + ", " +
                  std::to_string(body.size()) + " of " + std::to_string(size_of(number)) +
                  " bytes" + (ends_in_order ? ", ends in order" : ""));
      cut += body.size() < size_of(number) ? 1 : 0;
    });
  }
  Sleep(1'000);
  if (trouble && mode == "term") {
    fleet.Signal(ingress, SIGTERM);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line(mode + ": " + std::to_string(cut) + " of " + std::to_string(kClients) +
              " answers were cut short");
  fleet.StopAll();
  std::fflush(nullptr);
  ::_exit(cut > 0 ? 1 : 0);
}
