/** @file chat_wire_func.h OpenAI-compatible wire form of chat completions towards callers. */
#pragma once

#include "core/result_type.h"
#include "engine/engine_client_func.h"
#include "traffic/chat_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** Parses a request. @param forwarded Whether another host sent it; only then a continuation is read. @return InvalidRequest names the member in param. */
[[nodiscard]] Result<ChatRequest> parseChat(std::string_view body, bool forwarded);

/** @return The whole answer as JSON. */
[[nodiscard]] std::string wholeAnswer(const Generation &generation, const std::string &requestId);

/** @return Beginning of every event of one answer. */
[[nodiscard]] std::string renderChunkHead(const Generation &generation, const std::string &requestId);

/** @return The event of one piece. @param first Whether it is the first one. @param tokens Token count for a forwarding host, or 0. */
[[nodiscard]] std::string renderChunk(const Generation &generation, std::string_view text, bool first, unsigned tokens);

/** @return The last events with finish reason, usage and end marker. */
[[nodiscard]] std::string renderEnd(const Generation &generation);

/** @return The piece in one event that renderChunk() or renderEnd() made; ProtocolError when it does not parse. */
[[nodiscard]] Result<TokenEvent> parseChunk(std::string_view data);

} // namespace skylark
