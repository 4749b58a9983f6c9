/** @file engine_text_func.h Deterministic output of the engine stand-in; tests and the load generator verify responses with it. */
#pragma once

#include "core/hash_func.h"

#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace skylark::standin {

constexpr std::size_t tokenBytes = 8; ///< Length of each generated token in bytes.
constexpr std::size_t promptBytesPerToken = 4; ///< Number of prompt bytes that count as one token.
constexpr std::size_t blockBytes = 64; ///< Number of prompt bytes of one prefix cache block: 16 tokens.
constexpr unsigned defaultMaxTokens = 16; ///< Number of tokens generated when the body has no "max_tokens".

/** @return Token @p index of the completion of the prompt with this hash: a space and 7 hexadecimal digits. */
[[nodiscard]] inline std::string tokenText(std::uint64_t promptHash, unsigned index)
{
    std::array<char, tokenBytes + 1> buffer{};
    const auto digits = static_cast<unsigned>(hash64(std::to_string(index), promptHash) & 0xFFFFFFFU);
    std::snprintf(buffer.data(), buffer.size(), " %07x", digits);
    return {buffer.data(), tokenBytes};
}

/** @return The first @p tokens tokens of the completion of @p prompt. */
[[nodiscard]] inline std::string expectedText(std::string_view prompt, unsigned tokens)
{
    const std::uint64_t promptHash = hash64(prompt);
    std::string text;
    for (unsigned i = 0; i < tokens; ++i) {
        text += tokenText(promptHash, i);
    }
    return text;
}

/** @return The text of a message's content: the string itself, or the concatenated text parts of an array. */
[[nodiscard]] inline std::string contentText(const boost::json::value &content)
{
    if (content.is_string()) {
        return std::string(content.get_string());
    }
    std::string text;
    if (content.is_array()) {
        for (const boost::json::value &part : content.get_array()) {
            const boost::json::value *member = part.is_object() ? part.get_object().if_contains("text") : nullptr;
            text += member != nullptr && member->is_string() ? std::string(member->get_string()) : std::string();
        }
    }
    return text;
}

/** @return The prompt of a chat completion body: one line "role: content" per message. */
[[nodiscard]] inline std::string promptOf(const boost::json::object &body)
{
    std::string prompt;
    const boost::json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return prompt;
    }
    for (const boost::json::value &message : messages->get_array()) {
        if (!message.is_object()) {
            continue;
        }
        const boost::json::value *role = message.get_object().if_contains("role");
        const boost::json::value *content = message.get_object().if_contains("content");
        prompt += role != nullptr && role->is_string() ? std::string(role->get_string()) : std::string("user");
        prompt += ": " + (content != nullptr ? contentText(*content) : std::string()) + "\n";
    }
    return prompt;
}

/** @return The number of tokens that @p prompt counts as. */
[[nodiscard]] inline unsigned promptTokensOf(std::string_view prompt)
{
    return static_cast<unsigned>((prompt.size() + promptBytesPerToken - 1) / promptBytesPerToken);
}

/** @return The hash of each complete block of @p prompt; it is seeded with the previous hash and so identifies the whole prefix up to its block. */
[[nodiscard]] inline std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        previous = hash64(prompt.substr(at, blockBytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace skylark::standin
