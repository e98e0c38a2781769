#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cuminferry_caller/cuminferry_caller.h"
#include "trial/deployment.h"

namespace cuminferry::testing {

/** The plan of the Donauried deployment, read from examples/donauried.trial.jsonc. */
const trial::deployment_plan& Donauried();

/** Starts the processes of `domain_count` failure domains of that deployment. Asserts that they
    start. */
std::unique_ptr<trial::deployment> StartDonauried(std::size_t domain_count);

/** Waits until `has_happened` returns true. Asserts that it does so within 20 seconds. */
void AwaitEvent(const std::string& event, const std::function<bool()>& has_happened);

/** Makes a caller with default retry settings that finds the nodes of a deployment. */
caller MakeCaller(trial::deployment& running);

/** The outcome of a call as text, with its result code or the backend server's error. */
std::string DescribeOutcome(const call_result& result);

/** Makes a request that carries `name`, by which effects and answers are attributed to it. */
call_request MakeRequest(const std::string& service, const std::string& method,
                         const std::string& path, const std::string& name);

/** How often each request took effect in a service, by the request's name. Read from the backend
    servers' journals. */
std::map<std::string, int> EffectsIn(trial::deployment& running, const std::string& service);

/** Callers that each file one permit after another until Stop(). */
class permit_callers {
 public:
  permit_callers(trial::deployment& running, std::size_t callers);
  /** Stops the callers without waiting for backend servers. */
  ~permit_callers();

  /** Waits until `more` further permits have completed. */
  void AwaitCompleted(int more);
  /** Stops the callers and waits until all backend servers are idle. */
  void Stop();

  /** Compares the results of the callers with the backend servers' journals. Asserts that no permit
      took effect twice, that none reported as not run took effect, that each answer was complete
      and belonged to its request, and that each completed permit took effect. */
  void CheckAgainstJournals();
  /** The number of calls for each outcome, as text. */
  std::string Summary() const;

 private:
  void FilePermits(std::size_t caller_number);

  trial::deployment& running_;
  caller caller_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> completed_ = 0;
  std::mutex mutex_;
  std::map<std::string, call_result> results_;
  std::vector<std::thread> threads_;
};

}  // namespace cuminferry::testing
