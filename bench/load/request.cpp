/** @file request.cpp Sends one request of the load generator and verifies the answer. */
#include "request_func.h"

#include "../../standins/engine_text_func.h"
#include "core/json_member_func.h"
#include "core/table/error_table.h"

namespace skylark::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view requestIdPrefix = "load-";

/** State of an answer while it is read. */
struct AnswerProgress {
    std::string text; ///< Generated text so far.
    std::string pending; ///< Bytes that were read but not processed: an incomplete event, or the body when it is not streamed.
    bool done{false}; ///< Whether the end marker [DONE] was read.
    SteadyTime lastChunk; ///< Arrival of the last chunk of text.
};

std::string fillerText(std::uint64_t seed, std::size_t bytes)
{
    std::string text;
    for (std::uint64_t state = seed; text.size() < bytes;) {
        text += standin::tokenText(nextRandom(state), 0);
    }
    text.resize(bytes);
    return text;
}

/** @return The prompt of request @p number: a prefix of half its length that other requests share, the request number, and filler. */
std::string promptContent(const RequestOptions &options, std::uint64_t number)
{
    const std::size_t bytes = std::size_t{options.promptTokens} * standin::promptBytesPerToken;
    const std::uint64_t numberHash = hash64(std::to_string(number), options.seed);
    std::string content = fillerText(hash64("prefix", numberHash % std::max(1U, options.prefixes)), bytes / 2);
    content += " #" + std::to_string(options.seed) + "-" + std::to_string(number);
    return content.size() < bytes ? content + fillerText(numberHash, bytes - content.size()) : content;
}

json::object makeBody(const RequestOptions &options, std::uint64_t number)
{
    json::object message;
    message["role"] = "user";
    message["content"] = promptContent(options, number);
    json::object body;
    if (!options.model.empty()) {
        body["model"] = options.model;
    }
    body["messages"] = json::array{std::move(message)};
    body["max_tokens"] = options.maxTokens;
    body["stream"] = options.stream;
    body["user"] = options.userPrefix + std::to_string(options.seed) + "-" + std::to_string(number);
    return body;
}

HttpRequest makeRequest(const RequestOptions &options, const json::object &body, std::uint64_t number)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.push_back({"content-type", "application/json"});
    request.headers.push_back({"x-request-id", std::string(requestIdPrefix) + std::to_string(options.seed) + "-" + std::to_string(number)});
    if (!options.apiKey.empty()) {
        request.headers.push_back({"authorization", "Bearer " + options.apiKey});
    }
    request.body = json::serialize(body);
    return request;
}

void setFailure(RequestOutcome &outcome, std::string code, std::string run, std::string detail)
{
    outcome.state = AnswerState::Failed;
    outcome.errorCode = std::move(code);
    outcome.errorRun = std::move(run);
    outcome.detail = std::move(detail);
}

void setTransportFailure(RequestOutcome &outcome, const Error &error)
{
    setFailure(outcome, "transport_" + std::string(errorInfo(error.code).name), error.run == RunState::No ? "no" : "maybe", error.detail);
}

/** Sets error code and run state from the error object in @p body, or from the HTTP status when there is none. */
void setFailureFromBody(RequestOutcome &outcome, int status, std::string_view body)
{
    const auto object = parseJsonObject(body);
    const json::value *error = object ? object->if_contains("error") : nullptr;
    if (error == nullptr || !error->is_object()) {
        setFailure(outcome, "http_" + std::to_string(status), "maybe", std::string(body.substr(0, 200)));
        return;
    }
    const json::object &members = error->get_object();
    setFailure(outcome, stringMember(members, "code", "none"), stringMember(members, "run", "none"), stringMember(members, "message"));
}

void recordText(RequestOutcome &outcome, AnswerProgress &answer, const std::string &text)
{
    if (text.empty()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (outcome.hasText) {
        outcome.gapsMs.push_back(std::chrono::duration<double, std::milli>(now - answer.lastChunk).count());
    } else {
        outcome.firstText = now;
        outcome.hasText = true;
    }
    answer.lastChunk = now;
    ++outcome.chunks;
    answer.text += text;
}

std::string choiceText(const json::object &body, std::string_view part)
{
    const json::array &choices = arrayMember(body, "choices");
    if (choices.empty() || !choices.front().is_object()) {
        return {};
    }
    const json::value *member = choices.front().get_object().if_contains(part);
    return member != nullptr && member->is_object() ? stringMember(member->get_object(), "content") : std::string();
}

/** Processes one server-sent event. @return Whether to continue reading the stream. */
bool processEvent(RequestOutcome &outcome, AnswerProgress &answer, std::string_view event)
{
    if (!event.starts_with("data:")) {
        return true;
    }
    event.remove_prefix(event.starts_with("data: ") ? 6 : 5);
    if (event == "[DONE]") {
        answer.done = true;
        return true;
    }
    const auto object = parseJsonObject(event);
    if (!object) {
        setFailure(outcome, "bad_event", "maybe", std::string(event.substr(0, 200)));
        return false;
    }
    if (object->contains("error")) {
        setFailureFromBody(outcome, 200, event);
        return false;
    }
    recordText(outcome, answer, choiceText(*object, "delta"));
    return true;
}

bool processEvents(RequestOutcome &outcome, AnswerProgress &answer)
{
    for (std::size_t end = answer.pending.find("\n\n"); end != std::string::npos; end = answer.pending.find("\n\n")) {
        const std::string event = answer.pending.substr(0, end);
        answer.pending.erase(0, end + 2);
        if (!processEvent(outcome, answer, event)) {
            return false;
        }
    }
    return true;
}

void verify(RequestOutcome &outcome, const AnswerProgress &answer, const RequestOptions &options, const json::object &body)
{
    const std::string expected = standin::expectedText(standin::promptOf(body), options.maxTokens);
    if (answer.text == expected) {
        outcome.state = AnswerState::Match;
        return;
    }
    outcome.state = AnswerState::Mismatch;
    const auto differs = std::mismatch(answer.text.begin(), answer.text.end(), expected.begin(), expected.end());
    outcome.detail = "answer has " + std::to_string(answer.text.size()) + " of " + std::to_string(expected.size()) + " bytes and differs from byte "
                     + std::to_string(differs.first - answer.text.begin());
}

/** Reads the answer. @return Whether it is complete; otherwise the failure is in @p outcome. */
asio::awaitable<bool> readAnswer(RequestOutcome &outcome, AnswerProgress &answer, HttpExchange exchange, const RequestOptions &options)
{
    const bool events = exchange.status == 200 && options.stream;
    for (;;) {
        const auto chunk = co_await httpRead(exchange, options.timeouts.idle);
        if (!isOk(chunk)) {
            setTransportFailure(outcome, errorOf(chunk));
            co_return false;
        }
        if (!valueOf(chunk)) {
            break;
        }
        answer.pending += *valueOf(chunk);
        if (events && !processEvents(outcome, answer)) {
            co_return false;
        }
    }
    if (exchange.status != 200) {
        setFailureFromBody(outcome, exchange.status, answer.pending);
        co_return false;
    }
    if (events && !answer.done) {
        setFailure(outcome, "no_end_marker", "maybe", "stream ended without the end marker [DONE]");
        co_return false;
    }
    if (!events) {
        const auto body = parseJsonObject(answer.pending);
        recordText(outcome, answer, body ? choiceText(*body, "message") : std::string());
    }
    co_return true;
}

/** Sends the request to a host in round-robin order, or to the next one that accepts a connection, as a load balancer does. */
asio::awaitable<Result<HttpExchange>> openOnAnyHost(
    std::shared_ptr<HttpClient> http, const RequestOptions &options, HttpRequest request, std::uint64_t number, RequestOutcome &outcome)
{
    for (std::size_t attempt = 0;; ++attempt) {
        const Endpoint &host = options.hosts[(number + attempt) % options.hosts.size()];
        auto opened = co_await httpOpen(http, host, request, options.timeouts);
        const bool refused = !isOk(opened) && (errorOf(opened).code == ErrorCode::ConnectFailed || errorOf(opened).code == ErrorCode::ConnectTimeout);
        if (!refused || attempt + 1 >= options.hosts.size()) {
            co_return opened;
        }
        ++outcome.connectRetries;
    }
}

/** @return Whether the response carries the id of another request of a load generator. An id that the host itself assigned is accepted. */
bool hasForeignRequestId(const HttpExchange &exchange, const HttpRequest &request)
{
    const std::string_view echo = headerValue(exchange.headers, "x-request-id");
    return echo.starts_with(requestIdPrefix) && echo != headerValue(request.headers, "x-request-id");
}

} // namespace

asio::awaitable<RequestOutcome> runRequest(std::shared_ptr<HttpClient> http, const RequestOptions &options, std::uint64_t number)
{
    RequestOutcome outcome;
    AnswerProgress answer;
    const json::object body = makeBody(options, number);
    const HttpRequest request = makeRequest(options, body, number);
    auto opened = co_await openOnAnyHost(http, options, request, number, outcome);
    if (!isOk(opened)) {
        setTransportFailure(outcome, errorOf(opened));
    } else if (hasForeignRequestId(valueOf(opened), request)) {
        outcome.state = AnswerState::Mismatch;
        outcome.detail = "answer carries the id of request " + std::string(headerValue(valueOf(opened).headers, "x-request-id"));
    } else if (co_await readAnswer(outcome, answer, std::move(valueOf(opened)), options)) {
        verify(outcome, answer, options, body);
    }
    outcome.textBytes = answer.text.size();
    outcome.end = std::chrono::steady_clock::now();
    co_return outcome;
}

} // namespace skylark::load
