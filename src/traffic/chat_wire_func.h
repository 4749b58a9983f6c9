/** @file chat_wire_func.h OpenAI-compatible JSON of chat completions, as callers and forwarding hosts see it. */
#pragma once

#include "core/result_type.h"
#include "engine/engine_client_func.h"
#include "traffic/chat_type.h"

#include <string>
#include <string_view>

namespace skylark {

/**
 * Parses the body of a chat completion request.
 * @param forwarded Whether another host sent it; only then the text to continue from is read.
 * @return The request, or InvalidRequest with the invalid member in param.
 */
[[nodiscard]] Result<ChatRequest> parseChat(std::string_view body, bool forwarded);

/** @return The JSON body of an answer that is not streamed. */
[[nodiscard]] std::string renderCompletion(const Generation &generation, const std::string &requestId);

/** @return The beginning that all events of one answer share: "data: " and the members before "choices". */
[[nodiscard]] std::string renderChunkPrefix(const Generation &generation, const std::string &requestId);

/**
 * @param first Whether it is the first event, which names the role.
 * @param tokens Token count that a forwarding host needs, or 0 to leave it out.
 * @return The event with one piece of the answer.
 */
[[nodiscard]] std::string renderChunk(const Generation &generation, std::string_view text, bool first, unsigned tokens);

/** @return The last events of an answer: finish reason, usage and the end marker. */
[[nodiscard]] std::string renderFinalChunks(const Generation &generation);

/**
 * Parses the data of one event that another host rendered with renderChunk() or renderFinalChunks().
 * @return The token event; ProtocolError when the data is not a JSON object, StreamBroken when it reports an error.
 */
[[nodiscard]] Result<TokenEvent> parseChunk(std::string_view data);

} // namespace skylark
