/** @file server.cpp HTTP calls of the engine stand-in: chat completions, cancellation, load, cache events and orders. */
#include "engine_base.h"

#include "../engine_text_func.h"

#include <charconv>

namespace skylark::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned maxTokensLimit = 100000;

/** @return Whether responses on this connection are suppressed by the fault "silent". */
bool isSilent(const Engine &engine, const HttpResponder &responder)
{
    const auto found = engine.connections.find(responder.connection);
    return found != engine.connections.end() && found->second;
}

/** @return The request id for the response; another one under the fault "wrong_id". */
std::string echoedId(const Engine &engine, const std::string &id)
{
    return engine.faults.wrongId ? id + "-other" : id;
}

/** Sends a response with the request id; on a silent connection sends nothing and waits until the client disconnects. */
asio::awaitable<void> respond(Engine &engine, HttpResponder &responder, HttpResponse response, std::string id)
{
    if (!id.empty()) {
        response.headers.push_back({"x-request-id", echoedId(engine, id)});
    }
    if (isSilent(engine, responder)) {
        co_await waitForDisconnect(engine.loop, responder);
        co_return;
    }
    co_await sendResponse(responder, std::move(response));
}

bool contains(const std::string &text, const std::string &part)
{
    return !part.empty() && text.find(part) != std::string::npos;
}

/** Sets the first token to generate from "continue_from". @return Whether that text is the beginning of the completion of this prompt. */
bool applyContinuation(Sequence &sequence, const json::object &body)
{
    const std::string continuation = stringMember(body, "continue_from");
    const std::size_t tokens = continuation.size() / tokenBytes;
    if (tokens > sequence.maxTokens || numberMember(body, "continue_tokens", tokens) != tokens) {
        return false;
    }
    sequence.next = static_cast<unsigned>(tokens);
    sequence.nextUnsent = sequence.next;
    return continuation == expectedText(sequence.prompt, sequence.next);
}

/** @return A sequence for the request, or the error response if the request is refused. */
std::variant<SequencePtr, HttpResponse> makeSequence(Engine &engine, const json::object &body, std::string id)
{
    if (engine.faults.draining) {
        HttpResponse response = errorResponse(503, "draining", "engine is draining", true);
        response.headers.push_back({"retry-after", "1"});
        return response;
    }
    const std::string model = stringMember(body, "model");
    if (!model.empty() && !hasModel(engine, model)) {
        return errorResponse(503, "model_not_loaded", model, true);
    }
    auto sequence = std::make_shared<Sequence>(engine.loop);
    sequence->id = std::move(id);
    sequence->user = stringMember(body, "user");
    sequence->prompt = promptOf(body);
    sequence->promptHash = hash64(sequence->prompt);
    sequence->promptTokens = promptTokensOf(sequence->prompt);
    sequence->maxTokens = static_cast<unsigned>(numberMember(body, "max_tokens", defaultMaxTokens));
    if (sequence->prompt.empty() || sequence->maxTokens > maxTokensLimit || contains(sequence->prompt, engine.faults.rejectOn)) {
        return errorResponse(400, "invalid_prompt", "prompt is empty or rejected, or max_tokens is too large", true);
    }
    if (contains(sequence->prompt, engine.faults.failOn)) {
        return errorResponse(500, "engine_failure", "engine failed on this prompt", false);
    }
    if (!applyContinuation(*sequence, body)) {
        return errorResponse(400, "invalid_continuation", "continue_from is not the beginning of the completion of this prompt", true);
    }
    return sequence;
}

/** @return The text of the generated tokens that were not consumed yet, at most @p limit tokens; they count as consumed afterwards. */
std::string consumeTokens(Sequence &sequence, unsigned limit)
{
    std::string text;
    for (unsigned i = 0; i < limit && sequence.nextUnsent < sequence.next; ++i) {
        text += tokenText(sequence.promptHash, sequence.nextUnsent++);
    }
    return text;
}

json::object usageOf(const Sequence &sequence)
{
    json::object details;
    details["cached_tokens"] = sequence.cachedTokens;
    json::object usage;
    usage["prompt_tokens"] = sequence.promptTokens;
    usage["completion_tokens"] = sequence.next;
    usage["total_tokens"] = sequence.promptTokens + sequence.next;
    usage["prompt_tokens_details"] = std::move(details);
    return usage;
}

std::string streamEvent(const Sequence &sequence, const std::string &id, const std::string &text, bool last)
{
    json::object delta;
    delta["content"] = text;
    json::object choice;
    choice["index"] = 0;
    choice["delta"] = std::move(delta);
    choice["finish_reason"] = last ? json::value("length") : json::value(nullptr);
    json::object event;
    event["object"] = "chat.completion.chunk";
    event["request_id"] = id;
    event["tokens"] = text.size() / tokenBytes;
    event["choices"] = json::array{std::move(choice)};
    if (last) {
        event["usage"] = usageOf(sequence);
    }
    return "data: " + json::serialize(event) + "\n\n" + (last ? "data: [DONE]\n\n" : "");
}

HttpResponse completionResponse(Sequence &sequence)
{
    json::object message;
    message["role"] = "assistant";
    message["content"] = consumeTokens(sequence, sequence.maxTokens);
    json::object choice;
    choice["index"] = 0;
    choice["message"] = std::move(message);
    choice["finish_reason"] = "length";
    json::object body;
    body["object"] = "chat.completion";
    body["choices"] = json::array{std::move(choice)};
    body["usage"] = usageOf(sequence);
    return jsonResponse(200, body);
}

asio::awaitable<void> waitForChange(Sequence &sequence)
{
    co_await sequence.wake.async_wait(asio::as_tuple(asio::use_awaitable));
}

/** Streams tokens as they are generated. @return Whether the stream was sent completely. */
asio::awaitable<bool> streamTokens(Engine &engine, SequencePtr sequence, HttpResponder &responder)
{
    unsigned sent = 0;
    for (;;) {
        while (sequence->nextUnsent == sequence->next && !sequence->finished && !sequence->cancelled) {
            co_await waitForChange(*sequence);
        }
        if (sequence->cancelled) {
            co_return false;
        }
        if (isSilent(engine, responder)) {
            co_await waitForDisconnect(engine.loop, responder);
            co_return false;
        }
        const std::string id = echoedId(engine, sequence->id);
        if (!responder.started) {
            HttpHeaders headers;
            headers.push_back({"content-type", "text/event-stream"});
            headers.push_back({"x-request-id", id});
            if (!isOk(co_await startStream(responder, 200, std::move(headers)))) {
                co_return false;
            }
        }
        const unsigned cut = engine.faults.cutAfterTokens;
        const std::string text = consumeTokens(*sequence, cut == 0 ? maxTokensLimit : cut - std::min(cut, sent));
        const bool last = sequence->finished && sequence->nextUnsent == sequence->next;
        sent += static_cast<unsigned>(text.size() / tokenBytes);
        const bool cutNow = cut != 0 && sent >= cut;
        std::string event = streamEvent(*sequence, id, text, last && !cutNow);
        if (!isOk(co_await writeChunk(responder, std::move(event))) || cutNow) {
            co_return false;
        }
        if (last) {
            co_return isOk(co_await finishStream(responder));
        }
    }
}

/** Waits until all tokens are generated and sends them in one response. */
asio::awaitable<void> sendCompletion(Engine &engine, SequencePtr sequence, HttpResponder &responder)
{
    while (!sequence->finished && !sequence->cancelled) {
        co_await waitForChange(*sequence);
    }
    if (!sequence->cancelled) {
        HttpResponse response = completionResponse(*sequence);
        co_await respond(engine, responder, std::move(response), sequence->id);
    }
}

asio::awaitable<void> handleGenerate(Engine &engine, HttpRequest request, HttpResponder &responder)
{
    std::string id(headerValue(request.headers, "x-request-id"));
    const auto body = parseJsonObject(request.body);
    if (!body) {
        co_await respond(engine, responder, errorResponse(400, "invalid_request", "body is not a JSON object", true), id);
        co_return;
    }
    auto made = makeSequence(engine, *body, id);
    if (auto *refusal = std::get_if<HttpResponse>(&made)) {
        engine.counts.refused += headerValue(refusal->headers, "x-not-run") == "1" ? 1 : 0;
        co_await respond(engine, responder, std::move(*refusal), id);
        co_return;
    }
    const SequencePtr sequence = std::get<SequencePtr>(made);
    sequence->online = headerValue(request.headers, "x-skylark-kind") == "online";
    onCallerDisconnect(responder, [&engine, sequence] {
        cancel(engine, sequence);
    });
    submit(engine, sequence);
    if (!boolMember(*body, "stream")) {
        co_await sendCompletion(engine, sequence, responder);
    } else if (!co_await streamTokens(engine, sequence, responder)) {
        abortConnection(responder);
    }
    cancel(engine, sequence);
}

HttpResponse handleCancel(Engine &engine, std::string_view path)
{
    const std::string id = queryParameter("?k=" + std::string(path.substr(std::string_view("/v1/requests/").size())), "k");
    const SequencePtr sequence = findSequence(engine, id);
    if (!sequence || sequence->cancelled) {
        return errorResponse(404, "not_found", id, true);
    }
    cancel(engine, sequence);
    return jsonResponse(200, json::object());
}

HttpResponse handleCacheEvents(const Engine &engine, const HttpRequest &request)
{
    const std::string text = queryParameter(request.target, "from");
    std::uint64_t from = 0;
    std::from_chars(text.data(), text.data() + text.size(), from);
    return jsonResponse(200, cacheEvents(engine.cache, from, std::chrono::steady_clock::now()));
}

HttpResponse handleCall(Engine &engine, const HttpRequest &request)
{
    const std::string_view path = targetPath(request.target);
    if (path.starts_with("/v1/requests/") && request.method == "DELETE") {
        return handleCancel(engine, path);
    }
    if (path == "/v1/load") {
        return jsonResponse(200, loadReport(engine));
    }
    if (path == "/v1/cache_events") {
        return handleCacheEvents(engine, request);
    }
    if (path == "/v1/orders" && request.method == "POST") {
        return handleOrder(engine, request);
    }
    return errorResponse(404, "not_found", path, true);
}

/** Adds the connection of a request to the open connections and removes the closed ones. */
void trackConnection(Engine &engine, const HttpResponder &responder)
{
    std::erase_if(engine.connections, [](const auto &entry) {
        return entry.first.expired();
    });
    engine.connections.try_emplace(responder.connection, false);
}

} // namespace

asio::awaitable<void> handleEngine(Engine &engine, HttpRequest request, HttpResponder &responder)
{
    trackConnection(engine, responder);
    if (auto control = handleControl(engine, request, responder)) {
        co_await sendResponse(responder, std::move(*control));
        co_return;
    }
    if (targetPath(request.target) == "/v1/chat/completions" && request.method == "POST") {
        co_await handleGenerate(engine, std::move(request), responder);
        co_return;
    }
    HttpResponse response = handleCall(engine, request);
    co_await respond(engine, responder, std::move(response), std::string(headerValue(request.headers, "x-request-id")));
}

} // namespace skylark::standin
