#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Counters, gauges and histograms of a relay node, in Prometheus' text format.

    There may be thousands of customers, and each label value is a time series in the monitoring
    system. The first kMaxNamedCustomers customers that send requests get a label value each, the
    others share kOtherCustomersLabel. Edits of the table may bring new rows for as long as a node
    runs, so that the series of rows that the table no longer has are dropped.
*/
class relay_metrics {
 public:
  static constexpr std::size_t kMaxNamedCustomers = 32;
  static constexpr std::string_view kOtherCustomersLabel = "(other)";
  /** Number of rows with a label value each; more share kOtherRowsLabel until the next table. */
  static constexpr std::size_t kMaxNamedRows = 4'096;
  static constexpr std::string_view kOtherRowsLabel = "(other)";

  relay_metrics();
  ~relay_metrics();

  /** Drops the series of all other rows. */
  void KeepRows(const std::function<bool(std::string_view row)>& is_kept);
  /** Counts a completed request for which this node was the ingress node.
      @param took  from the request's head to the last byte of the answer */
  void OnRequestEnd(std::string_view row, std::string_view outcome, duration took);
  /** Counts a request for the own backend server that completed or was refused.
      @param waited  time until the request got a slot
      @param ran     time in the backend server */
  void OnServed(std::string_view row, std::string_view outcome, duration waited, duration ran);
  /** Counts a request that was displaced from the queue for a slot.
      @param nested  whether it is a call of a running request */
  void OnDisplaced(bool nested);
  /** Counts a repeat of a request of this row that was sent to the own backend server. */
  void OnRepeat(std::string_view row);
  /** Counts a repeat of a request of this row that the bound on repeats did not allow. */
  void OnRepeatDenied(std::string_view row);

  /** Counts a request with a customer's key by outcome: admitted, over the limit, or refused
      because the key may be stale. */
  void OnCustomerRequest(std::string_view customer, std::string_view outcome);

  /** Counts a request that is sent to the own backend server, also where it was sent before. */
  void OnSentToBackend();
  /** Counts a rejection by the own backend server that a later answer to the same request
     disproved: the request ran. */
  void OnRejectionDisproved();
  /** Counts a published item that can't be read, each time it arrives. */
  void OnUnreadableItem();
  /** Counts an answer of the own backend server that declares something that can't be read. */
  void OnBadDeclaration();
  /** Counts bytes that came in the place of an answer.
      @param from     who sent them: backend, peer, health or platform
      @param problem  what is wrong, as one of a small number of texts */
  void OnInvalidAnswer(std::string_view from, std::string_view problem);
  /** Counts a crash of the own backend server.
      @param runs  number of requests that were running there */
  void OnBackendCrash(std::size_t runs);

  /** Counts a message between nodes that is not part of a request.
      @param kind       what it is about: items, suspects or limits
      @param direction  sent or received
      @param bytes      length of its body and, for a query, of its target */
  void OnControlMessage(std::string_view kind, std::string_view direction, std::size_t bytes);

  /** Sets the customers of whose requests less than all are admitted, with the admitted share of
      each. Of more than kMaxNamedCustomers, those with the smallest shares. */
  void SetCustomerShares(const std::map<std::string, double>& held);

  using labels = std::map<std::string, std::string>;

  /** Sets the current value of a gauge without labels. */
  void SetGauge(std::string_view name, double value) { SetGauge(name, {}, value); }
  /** Sets the current value of one gauge of a family, identified by its labels. */
  void SetGauge(std::string_view name, const labels& series_labels, double value);

  /** All metrics in Prometheus' text format. */
  std::string ToText() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
