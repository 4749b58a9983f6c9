/** @file chat_wire.cpp OpenAI-compatible JSON of chat completions, as callers and forwarding hosts see it. */
#include "traffic/chat_wire_func.h"

#include <boost/json.hpp>

namespace skylark {

namespace json = boost::json;

namespace {

Error invalidMember(std::string param, std::string detail)
{
    Error error = makeError(ErrorCode::InvalidRequest, std::move(detail));
    error.param = std::move(param);
    return error;
}

std::string textMember(const json::object &object, std::string_view name)
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

bool boolMember(const json::object &object, std::string_view name)
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_bool() && found->get_bool();
}

unsigned countMember(const json::object &object, std::string_view name)
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_int64() && found->get_int64() > 0 ? static_cast<unsigned>(found->get_int64()) : 0;
}

/** Appends the content of a message, which is a string or a list of parts. @return False for content of another type. */
bool appendContent(std::string &prompt, const json::value *content)
{
    if (content == nullptr || content->is_null()) {
        return true;
    }
    if (content->is_string()) {
        prompt.append(content->get_string());
        return true;
    }
    if (!content->is_array()) {
        return false;
    }
    for (const json::value &part : content->get_array()) {
        if (!part.is_object()) {
            return false;
        }
        prompt += textMember(part.get_object(), "text");
    }
    return true;
}

std::optional<Error> readMessages(ChatRequest &chat)
{
    const json::value *messages = chat.body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return invalidMember("messages", "messages must be a list with at least one message");
    }
    const json::array &list = messages->get_array();
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string place = "messages[" + std::to_string(i) + "]";
        if (!list[i].is_object() || textMember(list[i].get_object(), "role").empty()) {
            return invalidMember(place, place + " must be an object with a role");
        }
        const json::object &message = list[i].get_object();
        chat.prompt += textMember(message, "role") + "\n";
        if (!appendContent(chat.prompt, message.if_contains("content"))) {
            return invalidMember(place + ".content", place + ".content must be a string or a list of parts");
        }
        chat.prompt += "\n";
    }
    return {};
}

std::optional<Error> checkParameters(const json::object &body)
{
    for (const std::string_view name : {"max_tokens", "max_completion_tokens"}) {
        const json::value *found = body.if_contains(name);
        if (found != nullptr && !found->is_null() && (!found->is_int64() || found->get_int64() < 1)) {
            return invalidMember(std::string(name), std::string(name) + " must be a positive whole number");
        }
    }
    const json::value *stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool() && !stream->is_null()) {
        return invalidMember("stream", "stream must be true or false");
    }
    return {};
}

json::object usageOf(const Generation &generation)
{
    json::object usage;
    usage["prompt_tokens"] = generation.promptTokens;
    usage["completion_tokens"] = generation.tokens;
    usage["total_tokens"] = generation.promptTokens + generation.tokens;
    usage["prompt_tokens_details"] = json::object{{"cached_tokens", generation.cachedTokens}};
    return usage;
}

} // namespace

Result<ChatRequest> parseChat(std::string_view body, bool forwarded)
{
    boost::system::error_code error;
    json::value value = json::parse(json::string_view(body.data(), body.size()), error);
    if (error || !value.is_object()) {
        return invalidMember("body", "the body must be a JSON object");
    }
    ChatRequest chat;
    chat.body = std::move(value.get_object());
    chat.model.value = textMember(chat.body, "model");
    if (chat.model.empty()) {
        return invalidMember("model", "model is missing");
    }
    if (auto invalid = readMessages(chat)) {
        return *invalid;
    }
    if (auto invalid = checkParameters(chat.body)) {
        return *invalid;
    }
    chat.adapter = textMember(chat.body, "adapter");
    chat.stream = boolMember(chat.body, "stream");
    if (const json::value *options = chat.body.if_contains("stream_options"); options != nullptr && options->is_object()) {
        chat.includeUsage = boolMember(options->get_object(), "include_usage");
    }
    if (forwarded) {
        chat.continueFrom = textMember(chat.body, "continue_from");
        chat.tokensDone = countMember(chat.body, "tokens_done");
    }
    chat.body.erase("continue_from");
    chat.body.erase("tokens_done");
    return chat;
}

std::string renderCompletion(const Generation &generation, const std::string &requestId)
{
    json::object message;
    message["role"] = "assistant";
    message["content"] = generation.text;
    json::object choice;
    choice["index"] = 0;
    choice["message"] = std::move(message);
    choice["finish_reason"] = generation.finishReason;
    json::object answer;
    answer["id"] = "chatcmpl-" + requestId;
    answer["object"] = "chat.completion";
    answer["created"] = generation.createdUnix;
    answer["model"] = generation.chat.model.value;
    answer["choices"] = json::array{std::move(choice)};
    answer["usage"] = usageOf(generation);
    return json::serialize(answer);
}

std::string renderChunkPrefix(const Generation &generation, const std::string &requestId)
{
    json::object head;
    head["id"] = "chatcmpl-" + requestId;
    head["object"] = "chat.completion.chunk";
    head["created"] = generation.createdUnix;
    head["model"] = generation.chat.model.value;
    std::string text = json::serialize(head);
    text.back() = ',';
    return "data: " + text;
}

std::string renderChunk(const Generation &generation, std::string_view text, bool first, unsigned tokens)
{
    std::string chunk = generation.chunkPrefix;
    chunk += R"("choices":[{"index":0,"delta":{)";
    chunk += first ? R"("role":"assistant",)" : "";
    chunk += R"("content":)" + json::serialize(json::string_view(text.data(), text.size()));
    chunk += R"(},"finish_reason":null}])";
    if (tokens > 0) {
        chunk += ",\"tokens\":" + std::to_string(tokens);
    }
    return chunk + "}\n\n";
}

std::string renderFinalChunks(const Generation &generation)
{
    const std::string usage = ",\"usage\":" + json::serialize(usageOf(generation)) + "}\n\n";
    const std::string reason = json::serialize(json::string_view(generation.finishReason));
    std::string end = generation.chunkPrefix + R"("choices":[{"index":0,"delta":{},"finish_reason":)" + reason + "}]";
    if (generation.chat.includeUsage) {
        end += "}\n\n" + generation.chunkPrefix + R"("choices":[])";
    }
    return end + usage + "data: [DONE]\n\n";
}

Result<TokenEvent> parseChunk(std::string_view data)
{
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(data.data(), data.size()), error);
    if (error || !value.is_object()) {
        return makeError(ErrorCode::ProtocolError, "event of a forwarded answer is not a JSON object", RunState::Maybe);
    }
    const json::object &object = value.get_object();
    if (object.contains("error")) {
        return makeError(ErrorCode::StreamBroken, "other host reported an error in the forwarded answer", RunState::Maybe);
    }
    TokenEvent event;
    event.tokens = countMember(object, "tokens");
    if (const json::value *usage = object.if_contains("usage"); usage != nullptr && usage->is_object()) {
        event.promptTokens = countMember(usage->get_object(), "prompt_tokens");
        if (const json::value *details = usage->get_object().if_contains("prompt_tokens_details"); details != nullptr && details->is_object()) {
            event.cachedTokens = countMember(details->get_object(), "cached_tokens");
        }
    }
    const json::value *choices = object.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty() || !choices->get_array()[0].is_object()) {
        return event;
    }
    const json::object &choice = choices->get_array()[0].get_object();
    event.finishReason = textMember(choice, "finish_reason");
    if (const json::value *delta = choice.if_contains("delta"); delta != nullptr && delta->is_object()) {
        event.text = textMember(delta->get_object(), "content");
    }
    return event;
}

} // namespace skylark
