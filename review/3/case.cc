// A server answers without a length; the node beside it is killed while the answer is on its
// way. What does the client, at another node, take the answer for?
#include "stand_ins.hh"

namespace {

using namespace review;

constexpr int kPieces = 25;
constexpr std::size_t kPieceBytes = 8'000;
constexpr int kPieceMillis = 40;
constexpr int kRounds = 3;

struct received {
  int status = 0;
  bool is_signed = false;
  std::string body;
  // The answer had neither a length nor chunks, and its connection was closed without a reset.
  bool looks_complete = false;
};

received Ask(platform& fleet, std::size_t machine, const std::string& id) {
  received answer;
  stream at(Connect(fleet.at(machine).ip, fleet.outbound_port));
  at.Send("GET /map/" + id + " HTTP/1.1\r\nHost: review.example\r\nCuminferry-Request-Id: " + id +
          "\r\nCuminferry-Deadline-Ms: 5000\r\n\r\n");
  const auto head = at.ReadHead(6'000);
  if (!head) {
    return answer;
  }
  answer.status = head->status();
  answer.is_signed = !head->Field("Cuminferry-Response-Seal").empty();
  if (!head->Field("Content-Length").empty() || !head->Field("Transfer-Encoding").empty()) {
    answer.looks_complete = at.ReadBody(*head, answer.body, 6'000);
    return answer;
  }
  while (at.ReadBytes(answer.body, 65'536, 6'000)) {
  }
  std::string none;
  answer.looks_complete = ReadSome(at.fd(), none, 1'000) == 0;
  return answer;
}

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  record_file record(std::string(arguments[2]) + "/record.txt");
  const bool trouble = HasTrouble();
  platform fleet(folder, record);
  const std::size_t ingress = fleet.AddMachine("front", "north", 16);
  const std::size_t other = fleet.AddMachine("maps", "south", 16);
  const std::string body = Pattern(kPieces * kPieceBytes, 1);

  listener maps(fleet.at(other).ip, fleet.app_port, [&](stream& at) {
    while (const auto head = at.ReadHead(60'000)) {
      if (AnswerCommon(at, *head, fleet.at(other).target_id)) {
        continue;
      }
      record.Line("server runs " + head->Field("Cuminferry-Request-Id"));
      at.Send(SignedHead(*head, "Connection: close\r\n"));
      std::size_t sent = 0;
      while (sent < body.size() && at.Send(std::string_view(body).substr(sent, kPieceBytes))) {
        sent += kPieceBytes;
        Sleep(kPieceMillis);
      }
      record.Line("server has sent " + std::to_string(sent) + " of " + std::to_string(body.size()) +
                  " bytes without a length");
      return;
    }
  });
  listener front(fleet.at(ingress).ip, fleet.app_port, [&](stream& at) {
    while (const auto head = at.ReadHead(60'000)) {
      AnswerCommon(at, *head, fleet.at(ingress).target_id);
    }
  });

  fleet.store().Put("op/config",
                    Config({{"map", "safe", "maps", 5'000, 1'200, 1}}, {"front", "maps"}));
  for (const std::size_t number : {ingress, other}) {
    fleet.Register(number);
    fleet.StartNode(number);
  }
  fleet.StartHeartbeats();
  if (!fleet.AwaitReady()) {
    record.Line("the nodes did not get ready");
    return 2;
  }
  Sleep(1'000);

  int broken = 0;
  int whole = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = "request-" + std::to_string(round);
    received answer;
    std::thread client([&] { answer = Ask(fleet, ingress, id); });
    Sleep(kPieces * kPieceMillis / 2);
    if (trouble) {
      fleet.Signal(other, SIGKILL);
      fleet.AwaitEnd(other, 2'000);
    }
    client.join();
    const bool is_whole = answer.body == body;
    const bool is_success = answer.status >= 200 && answer.status < 300;
    record.Line("client got " + id + ": status " + std::to_string(answer.status) +
                (answer.is_signed ? ", sealed, " : ", not sealed, ") +
                std::to_string(answer.body.size()) + " of " + std::to_string(body.size()) +
                " bytes, " + (answer.looks_complete ? "looks complete" : "broken off"));
    whole += is_success && answer.looks_complete && is_whole ? 1 : 0;
    broken += is_success && answer.looks_complete && !is_whole ? 1 : 0;
    if (trouble) {
      // The platform starts a killed process again after a short delay.
      Sleep(300);
      fleet.StartNode(other);
      if (!fleet.AwaitReady()) {
        return 2;
      }
      Sleep(3'500);
    }
  }
  record.Line("MIXED: " + std::to_string(broken) + " shortened successes look complete; " +
              std::to_string(whole) + " whole ones");
  fleet.StopAll();
  std::fflush(nullptr);
  ::_exit(broken > 0 ? 1 : (!trouble && whole < kRounds ? 2 : 0));
}
