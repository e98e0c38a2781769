#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The source of a content: a peer, or the platform where no peer is given. */
using content_source = std::optional<endpoint>;

/** One attempt to fetch a content. */
struct fetch_attempt {
  std::string name;
  content_source source;
};

/** Fetches the contents that this node lacks. Sources are queried one after the other, each
    with a time limit. After the last one the fetch restarts, with growing pauses.

    The number of fetches is bounded by the number of names that the node follows.
*/
class content_fetcher {
 public:
  content_fetcher();
  ~content_fetcher();

  /** Starts to fetch a value in at least this version. A further call for the same name and
      the same or a lower version has no effect.
      @param sources    in the order in which they are queried
      @param not_before time of the first query; spreads the load where many values change
                        together */
  void Want(std::string_view name, std::uint64_t version, std::vector<content_source> sources,
            instant not_before);
  /** Ends the fetch of a value that was received or is no longer needed. */
  void Done(std::string_view name);
  /** Moves on to the next source, as this one has nothing newer or could not be queried. */
  void OnNoNewerValue(std::string_view name, const content_source& source, instant now);
  /** Moves all fetches that wait for a source which does not answer to their next source. */
  void OnSourceUnreachable(const content_source& source, instant now);
  /** Restarts all fetches with their first source, as a source answers again. */
  void OnSourceRecovered(instant now);

  /** Returns the attempts that are due. */
  std::vector<fetch_attempt> OnTick(instant now, random_source& random);

  //============================================================================
  bool Wants(std::string_view name) const;
  std::size_t wanted() const;
  /** Time at which OnTick() next has work; instant::max() where it has none. */
  instant next_due() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
