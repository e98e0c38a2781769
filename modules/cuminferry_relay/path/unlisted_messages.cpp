#include "cuminferry_relay/path/unlisted_messages.h"

namespace cuminferry {

unlisted_entry unlisted_entry::Of(const unlisted_instance& found) {
  const service_instance& instance = found.instance;
  return {.id = instance.id,
          .started_millis = instance.started_millis,
          .service = instance.service,
          .backend = instance.backend.ToString(),
          .failure_domain = instance.failure_domain,
          .slots = instance.slots,
          .warm_up_micros = instance.warm_up_time.count(),
          .created = instance.created,
          .revision = instance.revision,
          .unlisted_micros = found.unlisted_for.count()};
}

std::optional<unlisted_instance> unlisted_entry::ToInstance() const {
  endpoint address;
  if (id.empty() || !endpoint::Parse(backend, address)) {
    return std::nullopt;
  }
  return unlisted_instance{.instance = {.id = id,
                                        .started_millis = started_millis,
                                        .service = service,
                                        .backend = address,
                                        .failure_domain = failure_domain,
                                        .slots = slots,
                                        .draining = false,
                                        .warm_up_time = duration(warm_up_micros),
                                        .created = created,
                                        .revision = revision},
                           .unlisted_for = duration(unlisted_micros),
                           .confirmed_at = std::nullopt};
}

}  // namespace cuminferry
