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

/** The Donauried deployment, as the trial's file has it. */
const trial::deployment_plan& Donauried();

/** Starts so many of its failure domains as real processes; asserts that it works. */
std::unique_ptr<trial::deployment> StartDonauried(std::size_t domains);

/** Waits for an event; asserts that it comes before a generous limit. */
void AwaitEvent(const std::string& what, const std::function<bool()>& came);

/** A well-behaved caller of a deployment. */
caller MakeCaller(trial::deployment& running);

/** How a call ended, with its code or the backend server's error. */
std::string DescribeEnd(const call_result& result);

/** A whole request of this name. */
call_request MakeRequest(const std::string& service, const std::string& method,
                         const std::string& path, const std::string& name);

/** How often each request took effect in a service, by the request's name. */
std::map<std::string, int> EffectsIn(trial::deployment& running, const std::string& service);

/** Callers that file permits one after another until they are told to stop. */
class permit_filers {
 public:
  permit_filers(trial::deployment& running, std::size_t callers);
  /** As Stop(). */
  ~permit_filers();

  /** Waits until so many more permits have completed. */
  void AwaitCompleted(int more);
  /** Ends the callers and waits until no backend server works any more. */
  void Stop();

  /** Compares what callers were told with what backend servers did: no permit
      took effect twice, none that was told as not run took effect, each answer
      was whole and its caller's own, each completed one took effect. */
  void CheckPromises();
  std::string Summary() const;

 private:
  void File(std::size_t caller_number);

  trial::deployment& running_;
  caller caller_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> completed_ = 0;
  std::mutex mutex_;
  std::map<std::string, call_result> told_;
  std::vector<std::thread> threads_;
};

}  // namespace cuminferry::testing
