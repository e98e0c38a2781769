#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Where a content may come from: a peer, or the platform where there is none. */
using content_source = std::optional<endpoint>;

/** One attempt to get a content. */
struct fetch_attempt {
  std::string name;
  content_source source;
};

/** Gets the contents that this node lacks: asks one source after the other,
    waits a while for each, and begins again ever more slowly.

    Bounded by the names that the node follows.
*/
class content_fetch {
 public:
  content_fetch();
  ~content_fetch();

  /** Wants a value in at least this version. A later call for the same name and
      version changes nothing.
      @param sources   in the order to be asked
      @param not_before spreads the load where many values change at once */
  void Want(std::string_view name, std::uint64_t version, std::vector<content_source> sources,
            instant not_before);
  /** The value came, or is no longer wanted. */
  void Done(std::string_view name);
  /** A source said that it has nothing newer, or could not be asked. */
  void OnNothing(std::string_view name, const content_source& source, instant now);
  /** A source does not answer: what was asked of it is asked of the next one. */
  void OnSourceGone(const content_source& source, instant now);
  /** A source that gave nothing for some time works again: begins anew. */
  void OnSourceBack(instant now);

  /** The attempts that are due. */
  std::vector<fetch_attempt> OnTick(instant now, random_source& random);

  //============================================================================
  bool Wants(std::string_view name) const;
  std::size_t wanted() const;
  /** When OnTick() has work next; instant::max() where it has none. */
  instant next_due() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
