/** @file answer.cpp Sends a generated answer to the caller, streamed or as one response. */
#include "traffic/answer_func.h"

#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "traffic/chat_wire_func.h"
#include "traffic/error_render_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

HttpHeaders eventHeaders(const RequestContext &context)
{
    HttpHeaders headers;
    headers.push_back({"content-type", "text/event-stream"});
    headers.push_back({"cache-control", "no-cache"});
    headers.push_back({"x-request-id", context.id.value});
    return headers;
}

/** Marks the caller as gone when a write to it failed. @return The error of the write (CallerGone), if any. */
std::optional<Error> checkWrite(RequestContext &context, const Result<Done> &written)
{
    if (isOk(written)) {
        return {};
    }
    context.callerGone = true;
    return errorOf(written);
}

asio::awaitable<std::optional<Error>> sendHead(RequestContext &context)
{
    Generation &generation = *context.generation;
    if (generation.headSent) {
        co_return std::nullopt;
    }
    generation.headSent = true;
    generation.chunkPrefix = renderChunkPrefix(generation, context.id.value);
    HttpHeaders headers = eventHeaders(context);
    co_return checkWrite(context, co_await startStream(context.responder, 200, std::move(headers)));
}

void recordTokenTimes(CallerServer::Impl &impl, const RequestContext &context, const TokenEvent &event, AnswerTiming &timing)
{
    Generation &generation = *context.generation;
    const TimePoint now = BootClock::now();
    if (generation.lastTokenAt == TimePoint{}) {
        observe(*impl.context.metrics, "skylark_first_token_seconds", {}, now - context.arrivedAt);
    } else {
        observe(*impl.context.metrics, "skylark_token_interval_seconds", {}, now - generation.lastTokenAt);
    }
    generation.lastTokenAt = now;
    if (timing.first == TimePoint{}) {
        timing.first = now;
    } else {
        timing.tokensAfterFirst += event.tokens;
    }
    timing.last = now;
}

} // namespace

std::optional<double> firstTokenMs(const AnswerTiming &timing, TimePoint startedAt)
{
    if (timing.first == TimePoint{}) {
        return {};
    }
    return std::chrono::duration<double, std::milli>(timing.first - startedAt).count();
}

std::optional<double> tokenMs(const AnswerTiming &timing)
{
    if (timing.tokensAfterFirst == 0) {
        return {};
    }
    return std::chrono::duration<double, std::milli>(timing.last - timing.first).count() / timing.tokensAfterFirst;
}

asio::awaitable<std::optional<Error>> deliverTokenEvent(CallerServer::Impl &impl, RequestContext &context, TokenEvent event, AnswerTiming &timing)
{
    Generation &generation = *context.generation;
    generation.promptTokens = event.promptTokens > 0 ? event.promptTokens : generation.promptTokens;
    generation.cachedTokens = event.cachedTokens > 0 ? event.cachedTokens : generation.cachedTokens;
    addCounter(*impl.context.metrics, "skylark_prompt_tokens_total", {}, event.promptTokens);
    addCounter(*impl.context.metrics, "skylark_cached_tokens_total", {}, event.cachedTokens);
    if (!event.finishReason.empty()) {
        generation.finishReason = event.finishReason;
    }
    if (event.text.empty() && event.tokens == 0) {
        co_return std::nullopt;
    }
    recordTokenTimes(impl, context, event, timing);
    generation.tokens += event.tokens;
    generation.text += event.text;
    if (!generation.chat.stream || event.text.empty()) {
        co_return std::nullopt;
    }
    const bool first = !generation.headSent;
    if (auto gone = co_await sendHead(context)) {
        co_return gone;
    }
    std::string chunk = renderChunk(generation, event.text, first, context.hops > 0 ? event.tokens : 0);
    co_return checkWrite(context, co_await writeChunk(context.responder, std::move(chunk)));
}

asio::awaitable<std::optional<Error>> completeAnswer(RequestContext &context)
{
    Generation &generation = *context.generation;
    if (generation.finishReason.empty()) {
        generation.finishReason = "stop";
    }
    if (!generation.chat.stream) {
        HttpResponse response;
        response.headers.push_back({"content-type", "application/json"});
        response.headers.push_back({"x-request-id", context.id.value});
        response.body = renderCompletion(generation, context.id.value);
        co_return checkWrite(context, co_await sendResponse(context.responder, std::move(response)));
    }
    if (auto gone = co_await sendHead(context)) {
        co_return gone;
    }
    if (auto gone = checkWrite(context, co_await writeChunk(context.responder, renderFinalChunks(generation)))) {
        co_return gone;
    }
    co_return checkWrite(context, co_await finishStream(context.responder));
}

asio::awaitable<std::optional<Error>> failAnswer(RequestContext &context, Error error)
{
    if (error.code == ErrorCode::TargetOverloaded && !context.mayHaveRun) {
        error.code = ErrorCode::Overloaded;
    }
    if (!context.generation->headSent) {
        co_return error;
    }
    SKY_INVARIANT(Promise::NotRun, error.run == RunState::Maybe || !context.mayHaveRun);
    context.outcome = errorInfo(error.code).name;
    // finishStream() is not called: the connection closes without the final chunk, which tells the caller that the answer is incomplete.
    co_await writeChunk(context.responder, "data: " + errorJson(error) + "\n\n");
    co_return std::nullopt;
}

} // namespace skylark
