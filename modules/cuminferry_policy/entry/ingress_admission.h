#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/entry/row_limit.h"

namespace cuminferry {

/** Admits or refuses requests at their ingress node.

    Guards against a load that a service further down the call graph can't serve: a request that
    would fail there, after it has cost work on the way, is refused here before it costs any.
    The answers of the nodes that serve a row report what limits it. Among the rows that are
    limited by the same service, the requests of the lowest rank are admitted first, weighted by
    the load that each of them puts on that service, until the admitted share of the load is used
    up. Requests of one rank are admitted with the same probability.

    A reported limit of a service counts for all rows that the service limits, whichever row's
    answer carries it; the latest reports weigh most. When little of a row is admitted, its own
    answers arrive only every few seconds, but calls of the own backend server to the same
    service keep the limit current.
    @see admission_level
*/
class ingress_admission {
 public:
  /** Minimum share of a row's requests that is admitted under any limit, so that answers keep
      reporting the limit and the row doesn't starve. */
  static constexpr double kMinAdmittedShare = 0.06;
  /** Where less is admitted of all rows together, the minimum is this part of their share: a row of
      lower rank must not take most of what a small limit allows. */
  static constexpr double kMinShareOfAdmitted = 0.25;
  /** Time constant of the moving average over reported limits. */
  static constexpr duration kBlendTime = std::chrono::milliseconds(40);
  /** A limit that no answer has confirmed for this long begins to rise. */
  static constexpr duration kLimitHoldTime = std::chrono::milliseconds(500);
  /** Time in which an unconfirmed share doubles after kLimitHoldTime. Answers are rare when
      little is admitted: with a linear rise of one half a second, ingress nodes that admitted a
      twentieth had risen to three quarters before the next answer, and the one leaf target that
      was left of three was flooded for ten seconds. */
  static constexpr duration kDoublingTime = std::chrono::seconds(1);
  /** Time constant of the moving average of a row's request rate. A node receives some tens of
      requests a second; the admitted share matters least for rows with fewer requests. */
  static constexpr duration kRateTime = std::chrono::seconds(2);

  /** Minimum and maximum retry delay of a refused client, as fractions of its row's objective:
      early enough for an answer within the objective. */
  static constexpr double kMinRetryFraction = 0.1;
  static constexpr double kMaxRetryFraction = 0.6;

  //============================================================================
  /** Takes in an answer to a request of this row.
      @param limit         the limit that the answer reports, if the answering node knows one
      @param from_clients  whether the answering node has found that clients send this row */
  void OnAnswer(std::string_view row, const std::optional<row_limit>& limit, bool from_clients,
                instant now);
  /** Counts a client's request; to be called before Admits().
      @param rank  of the request: 0 is refused last. @see RankOf */
  void OnRequest(std::string_view row, std::uint32_t rank, instant now);

  /** Whether a request is admitted.
      @param draw  a number in [0, 1) drawn for this request */
  bool Admits(std::string_view row, std::uint32_t rank, double draw, instant now) const;
  /** Share of the row's requests of this rank that is admitted now, in [0, 1]. */
  double AdmittedShare(std::string_view row, std::uint32_t rank, instant now) const;
  /** The row's limit now; a share of 1 where no limit is known. */
  row_limit Limit(std::string_view row, instant now) const;
  /** The share of the row's limit; nothing where no limit was reported yet. */
  std::optional<double> ShareInForce(std::string_view row, instant now) const;
  /** Whether clients send this row, as reported by the nodes that serve it. */
  bool ComesFromClients(std::string_view row) const;

  /** Delay after which a refused client should retry. The delay grows with the refused share of
      the row, and is spread so that clients don't retry at the same time.
      @param objective  latency objective of the row
      @param draw       a number in [0, 1) drawn for this client */
  duration RetryAfter(std::string_view row, std::uint32_t rank, duration objective, double draw,
                      instant now) const;

 private:
  /** What is known of a service that limits some row. */
  struct service_state {
    double share = 1.0;
    instant received_at{};
  };
  struct request_rate {
    // Requests a second at `updated_at`.
    double rate = 0.0;
    instant updated_at{};
  };
  struct row_state {
    bool from_clients = false;
    // The service that limits the row; empty where none was reported.
    std::string service;
    duration cost{};
    std::map<std::uint32_t, request_rate> rates_by_rank;
  };

  row_state& StateOf(std::string_view row);
  static double RateAt(const request_rate& last, instant now);
  double ShareOf(const row_state& state, instant now) const;

  std::map<std::string, row_state, std::less<>> rows_;
  std::map<std::string, service_state, std::less<>> services_;
};

}  // namespace cuminferry
