/** @file status_codec_func.h Encoding and decoding of the datagrams between hosts. */
#pragma once

#include "core/clock_func.h"
#include "core/result_type.h"
#include "peer/status_type.h"

#include <string>
#include <string_view>
#include <variant>

namespace skylark {

/** Maximum size of a datagram in bytes; below the UDP limit of 65507 bytes. */
inline constexpr std::size_t maxDatagramBytes = 32768;

/** Record of the origin of a stream. */
struct OriginRecordMessage {
    OriginMessage record;
};

/** Answer to a question for the origin of a stream. */
struct OriginAnswerMessage {
    OriginMessage answer;
};

/** Content of one datagram. */
using Datagram =
    std::variant<HostStatus, YieldMessage, QuotaRequestMessage, QuotaGrantMessage, OriginRecordMessage, OriginQuestionMessage, OriginAnswerMessage>;

/**
 * Encodes a status datagram. If not all targets fit into maxDatagramBytes, their number is halved until they do; the first one then depends on the
 * sequence number, so that consecutive datagrams together report every target.
 * @param now Current time, from which the age of each load report is computed.
 * @return Packed message; it exceeds maxDatagramBytes only if the status does so even without targets.
 */
[[nodiscard]] std::string encodeStatus(const HostStatus &status, TimePoint now);

/** Encodes a yield datagram. @return Packed message. */
[[nodiscard]] std::string encodeYield(const YieldMessage &message);

/** Encodes a request for quota tokens. @return Packed message. */
[[nodiscard]] std::string encodeQuotaRequest(const QuotaRequestMessage &message);

/** Encodes a grant of quota tokens. @return Packed message. */
[[nodiscard]] std::string encodeQuotaGrant(const QuotaGrantMessage &message);

/** Encodes the record of a stream's origin for its keeper. @return Packed message. */
[[nodiscard]] std::string encodeOriginRecord(const OriginMessage &message);

/** Encodes a question for the origin of a stream. @return Packed message. */
[[nodiscard]] std::string encodeOriginQuestion(const OriginQuestionMessage &message);

/** Encodes the answer to a question for the origin of a stream. @return Packed message. */
[[nodiscard]] std::string encodeOriginAnswer(const OriginMessage &message);

/** Decodes a datagram. The arrival time of each load report is computed as @p now minus its age. @return The content, or ProtocolError. */
[[nodiscard]] Result<Datagram> decodeDatagram(std::string_view bytes, TimePoint now);

} // namespace skylark
