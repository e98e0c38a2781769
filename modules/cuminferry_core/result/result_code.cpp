#include "cuminferry_core/result/result_code.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <string>

namespace cuminferry {
namespace {

constexpr char kPayloadUrl[] = "cuminferry/result_code";

using enum result_code;

constexpr std::array kInfos = {
    result_code_info{kOk, "ok", 200, "Done."},

    result_code_info{kTableNotJson, "table_not_json", 0, "The table is not JSON with comments."},
    result_code_info{kTableUnknownKey, "table_unknown_key", 0,
                     "A key that no table has; the message names the accepted ones."},
    result_code_info{kTableWrongType, "table_wrong_type", 0, "A value of the wrong JSON type."},
    result_code_info{kTableOutOfRange, "table_out_of_range", 0, "A number outside its range."},
    result_code_info{kTableMissingKey, "table_missing_key", 0, "A required key is absent."},
    result_code_info{
        kTableDuplicateRow, "table_duplicate_row", 0,
        "Two rows, services or domains of one name, or two rows for one service, method and path."},
    result_code_info{kTableUnreachableRow, "table_unreachable_row", 0,
                     "A row that an earlier row always matches first, or whose limits admit "
                     "nothing."},
    result_code_info{kTableContradictoryLimits, "table_contradictory_limits", 0,
                     "Limits that cannot both hold, such as more per target than in the fleet."},
    result_code_info{kTableUnknownService, "table_unknown_service", 0,
                     "A row names a service that the table does not declare."},
    result_code_info{kTableBadPattern, "table_bad_pattern", 0,
                     "A path pattern that cannot be read."},
    result_code_info{kTableTooLarge, "table_too_large", 0,
                     "The table exceeds 16 megabytes, or one service's part of it a megabyte."},
    result_code_info{kTableVersionConflict, "table_version_conflict", 0,
                     "Two contents claim one version; the first one seen stays in force."},
    result_code_info{kTableVersionOlder, "table_version_older", 0,
                     "An older version than the one in force was offered and not taken."},
    result_code_info{kTableDuplicateKey, "table_duplicate_key", 0,
                     "Two customers have one key: whose request it is could not be told."},

    result_code_info{kSettingsNotJson, "settings_not_json", 0,
                     "The settings are not JSON with comments."},
    result_code_info{kSettingsUnknownKey, "settings_unknown_key", 0,
                     "A key that the settings do not have."},
    result_code_info{kSettingsWrongType, "settings_wrong_type", 0,
                     "A setting of the wrong JSON type."},
    result_code_info{kSettingsOutOfRange, "settings_out_of_range", 0,
                     "A setting outside its range."},
    result_code_info{kSettingsMissingKey, "settings_missing_key", 0,
                     "A required setting is absent."},
    result_code_info{kSettingsFileUnreadable, "settings_file_unreadable", 0,
                     "A file named on the command line cannot be read."},
    result_code_info{kCommandLineInvalid, "command_line_invalid", 0,
                     "Options or arguments that the program does not take."},
    result_code_info{kAddressInUse, "address_in_use", 0,
                     "A port from the settings cannot be listened on."},
    result_code_info{kTargetUnreachable, "target_unreachable", 0,
                     "A node that the command line asked for does not answer."},

    result_code_info{kRefusedOverload, "refused_overload", 503,
                     "Not run: the service is overloaded for requests of this weight."},
    result_code_info{kRefusedInstanceOnly, "refused_instance_only", 503,
                     "Not run: this instance cannot take it now, another one may."},
    result_code_info{kRefusedDraining, "refused_draining", 503,
                     "Not run: this instance is leaving."},
    result_code_info{kDeadlineExceeded, "deadline_exceeded", 504,
                     "The deadline passed, or cannot be met any more."},
    result_code_info{kCallerGone, "caller_gone", 499, "The caller closed its connection."},
    result_code_info{kNoSuchRow, "no_such_row", 404, "Not run: no row of the table matches."},
    result_code_info{kNoTarget, "no_target", 503,
                     "Not run: no instance of the service is known to be in reach."},
    result_code_info{kRetryAllowanceSpent, "retry_allowance_spent", 503,
                     "The request's tree has no retry left."},
    result_code_info{kAnswerTooLarge, "answer_too_large", 502,
                     "It ran, but the answer is larger than the row allows."},
    result_code_info{kAnswerDamaged, "answer_damaged", 502,
                     "It may have run; the answer's length or digest is wrong."},
    result_code_info{kBackendFailed, "backend_failed", 502,
                     "It may have run; the backend server broke off without an answer."},
    result_code_info{kConnectionLost, "connection_lost", 504,
                     "It may have run; the connection went silent or was lost."},
    result_code_info{kNoTableYet, "no_table_yet", 503, "Not run: this node has no table yet."},
    result_code_info{kUnknownContext, "unknown_context", 400,
                     "Not run: the context handle is not one that this node gave out."},
    result_code_info{kFleetLimitReached, "fleet_limit_reached", 503,
                     "Not run: the row's limit on running requests is reached."},
    result_code_info{kBadRequestHeader, "bad_request_header", 400,
                     "A cuminferry header cannot be read; this copy of the request did not run."},
    result_code_info{kBadAnswerHeader, "bad_answer_header", 0,
                     "A backend server's answer declares something that cannot be read; what it "
                     "declared before stays in force."},

    result_code_info{kTicketExpired, "ticket_expired", 409,
                     "Not run under this ticket, now or later: its claim window has passed."},
    result_code_info{kTicketOtherIncarnation, "ticket_other_incarnation", 409,
                     "The instance has restarted since the ticket was made; whether it ran is "
                     "unknown."},
    result_code_info{kTicketRevoked, "ticket_revoked", 409,
                     "Not run under this ticket, now or later: it was revoked."},
    result_code_info{kTicketRunning, "ticket_running", 409,
                     "The request of this ticket is running; ask again."},
    result_code_info{kTicketMalformed, "ticket_malformed", 400,
                     "Not run: the ticket cannot be read or was not made by this system."},
    result_code_info{kTicketHomeUnreachable, "ticket_home_unreachable", 504,
                     "Unknown: the instance that holds the ticket is out of reach."},
    result_code_info{kTicketTableFull, "ticket_table_full", 503,
                     "Not run: no room to remember another ticket."},
    result_code_info{kTicketAnswerForgotten, "ticket_answer_forgotten", 410,
                     "It ran and completed, but the answer is no longer kept."},
    result_code_info{kTicketRequired, "ticket_required", 400,
                     "Not run: a non-idempotent call between nodes came without a ticket."},
    result_code_info{kTicketForgotten, "ticket_forgotten", 409,
                     "The instance holds no memory of the ticket's claim window; whether it ran "
                     "is unknown."},

    result_code_info{kFrameBadMagic, "frame_bad_magic", 0, "Not a frame of this protocol."},
    result_code_info{kFrameWrongVersion, "frame_wrong_version", 0,
                     "A frame of another protocol version."},
    result_code_info{kFrameTooLarge, "frame_too_large", 0, "A frame over the size bound."},
    result_code_info{kFrameBadDigest, "frame_bad_digest", 0,
                     "A frame whose digest does not fit its content."},
    result_code_info{kFrameTruncated, "frame_truncated", 0, "A message that ends too early."},
    result_code_info{kFrameUnknownType, "frame_unknown_type", 0, "A message of no known type."},
    result_code_info{kPeerSilent, "peer_silent", 0,
                     "A connection answered no heartbeat while work was outstanding."},
    result_code_info{kTooManyConnections, "too_many_connections", 0,
                     "A connection was refused because the bound is reached."},

    result_code_info{kPlatformUnreachable, "platform_unreachable", 0,
                     "The configuration service does not answer."},
    result_code_info{kPlatformStale, "platform_stale", 0,
                     "The configuration service serves an older version than is in force."},
    result_code_info{kPlatformBadValue, "platform_bad_value", 0,
                     "A value from the configuration service cannot be read."},
    result_code_info{kReadBudgetSpent, "read_budget_spent", 0,
                     "The read was put off to keep the fleet's reads within budget."},
};

}  // namespace

std::span<const result_code_info> AllResultCodes() { return kInfos; }

const result_code_info& DescribeResultCode(result_code code) {
  const auto found = std::ranges::find(kInfos, code, &result_code_info::code);
  assert(found != kInfos.end());
  return *found;
}

absl::Status MakeStatus(result_code code, std::string_view detail) {
  if (code == kOk) {
    return absl::OkStatus();
  }
  const result_code_info& info = DescribeResultCode(code);
  std::string message = "CF";
  message += std::to_string(static_cast<int>(code));
  message += ' ';
  message += info.name;
  message += ": ";
  message += detail;
  absl::Status status(absl::StatusCode::kUnknown, message);
  status.SetPayload(kPayloadUrl, absl::Cord(std::to_string(static_cast<int>(code))));
  return status;
}

result_code CodeOf(const absl::Status& status) {
  if (status.ok()) {
    return kOk;
  }
  const auto payload = status.GetPayload(kPayloadUrl);
  if (!payload.has_value()) {
    return kBackendFailed;
  }
  const std::string text(*payload);
  int number = 0;
  if (absl::SimpleAtoi(text, &number)) {
    return static_cast<result_code>(number);
  }
  return kBackendFailed;
}

}  // namespace cuminferry
