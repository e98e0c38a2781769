#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace cuminferry {

/** The numbered result codes of cuminferry.

    Numbers never change their meaning and are not reused. The hundreds denote the area: 1xx the
    table, 2xx settings and command line, 3xx calls, 4xx at-most-once calls, 5xx the wire
    protocol, 6xx the fleet. docs/RESULT_CODES.md lists the codes; a test compares it with the
    code.

    @see DescribeResultCode
*/
enum class result_code : std::uint16_t {
  kOk = 0,

  kTableNotJson = 100,
  kTableUnknownKey = 101,
  kTableWrongType = 102,
  kTableOutOfRange = 103,
  kTableMissingKey = 104,
  kTableDuplicateRow = 105,
  kTableUnreachableRow = 106,
  kTableContradictoryLimits = 107,
  kTableUnknownService = 108,
  kTableBadPattern = 109,
  kTableTooLarge = 110,
  kTableVersionConflict = 111,
  kTableVersionOlder = 112,
  kTableDuplicateKey = 113,

  kSettingsNotJson = 200,
  kSettingsUnknownKey = 201,
  kSettingsWrongType = 202,
  kSettingsOutOfRange = 203,
  kSettingsMissingKey = 204,
  kSettingsFileUnreadable = 205,
  kCommandLineInvalid = 206,
  kAddressInUse = 207,
  kTargetUnreachable = 208,

  kRefusedOverload = 300,
  kRefusedInstanceOnly = 301,
  kRefusedDraining = 302,
  kDeadlineExceeded = 303,
  kCallerGone = 304,
  kNoSuchRow = 305,
  kNoTarget = 306,
  kRetryAllowanceSpent = 307,
  kAnswerTooLarge = 308,
  kAnswerDamaged = 309,
  kBackendFailed = 310,
  kConnectionLost = 311,
  kNoTableYet = 312,
  kUnknownContext = 313,
  kFleetLimitReached = 314,
  kBadRequestHeader = 315,
  kBadAnswerHeader = 316,

  kTicketExpired = 400,
  kTicketOtherIncarnation = 401,
  kTicketRevoked = 402,
  kTicketRunning = 403,
  kTicketMalformed = 404,
  kTicketHomeUnreachable = 405,
  kTicketTableFull = 406,
  kTicketAnswerForgotten = 407,
  kTicketRequired = 408,
  kTicketForgotten = 409,

  kFrameBadMagic = 500,
  kFrameWrongVersion = 501,
  kFrameTooLarge = 502,
  kFrameBadDigest = 503,
  kFrameTruncated = 504,
  kFrameUnknownType = 505,
  kPeerSilent = 506,
  kTooManyConnections = 507,

  kPlatformUnreachable = 600,
  kPlatformStale = 601,
  kPlatformBadValue = 602,
  kReadBudgetSpent = 603,
};

/** The documentation of one result code. */
struct result_code_info {
  result_code code;
  std::string_view name;
  /** The HTTP status with which a caller gets the code; 0 if no caller gets it. */
  int http_status;
  std::string_view meaning;
};

/** Returns all result codes in ascending order of their numbers. */
std::span<const result_code_info> AllResultCodes();

/** Returns the documentation of a code. Asserts that the code is listed. */
const result_code_info& DescribeResultCode(result_code code);

/** Returns a status that carries a result code; absl::OkStatus() for kOk.

    The message of the status is "CF<number> <name>: <detail>".
*/
absl::Status MakeStatus(result_code code, std::string_view detail);

/** Returns the code that a status carries; kBackendFailed for an error that MakeStatus() did not
    make. */
result_code CodeOf(const absl::Status& status);

}  // namespace cuminferry
