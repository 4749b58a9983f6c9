/** @file request.cpp One request of the load generator with the verification of its answer. */
#include "request_func.h"

#include "../../standins/engine_text_func.h"
#include "core/json_member_func.h"
#include "core/table/error_table.h"

namespace skylark::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view requestIdPrefix = "load-";

/** An answer that is being read. */
struct Answer {
    std::string text; ///< Text so far.
    std::string pending; ///< Bytes of an incomplete event.
    bool done{false}; ///< Whether the end marker was read.
    SteadyTime lastPiece; ///< Arrival of the last piece.
};

std::string filler(std::uint64_t seed, std::size_t bytes)
{
    std::string text;
    for (std::uint64_t state = seed; text.size() < bytes;) {
        text += standin::tokenText(nextRandom(state), 0);
    }
    text.resize(bytes);
    return text;
}

/** @return The content of request @p number: a first half that several requests share, the number, and filler. */
std::string contentOf(const RequestOptions &options, std::uint64_t number)
{
    const std::size_t bytes = std::size_t{options.promptTokens} * standin::promptBytesPerToken;
    const std::uint64_t own = hash64(std::to_string(number), options.seed);
    std::string content = filler(hash64("prefix", own % std::max(1U, options.prefixes)), bytes / 2);
    content += " #" + std::to_string(options.seed) + "-" + std::to_string(number);
    return content.size() < bytes ? content + filler(own, bytes - content.size()) : content;
}

json::object bodyOf(const RequestOptions &options, std::uint64_t number)
{
    json::object message;
    message["role"] = "user";
    message["content"] = contentOf(options, number);
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

HttpRequest requestOf(const RequestOptions &options, const json::object &body, std::uint64_t number)
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

void fail(RequestOutcome &outcome, std::string code, std::string run, std::string detail)
{
    outcome.state = AnswerState::Failed;
    outcome.errorCode = std::move(code);
    outcome.errorRun = std::move(run);
    outcome.detail = std::move(detail);
}

void failTransport(RequestOutcome &outcome, const Error &error)
{
    fail(outcome, "transport_" + std::string(errorInfo(error.code).name), error.run == RunState::No ? "no" : "maybe", error.detail);
}

/** Takes code and run state from an error object of the caller interface. */
void failBody(RequestOutcome &outcome, int status, std::string_view body)
{
    const auto object = parseJsonObject(body);
    const json::value *error = object ? object->if_contains("error") : nullptr;
    if (error == nullptr || !error->is_object()) {
        fail(outcome, "http_" + std::to_string(status), "maybe", std::string(body.substr(0, 200)));
        return;
    }
    const json::object &members = error->get_object();
    fail(outcome, stringMember(members, "code", "none"), stringMember(members, "run", "none"), stringMember(members, "message"));
}

void takeText(RequestOutcome &outcome, Answer &answer, const std::string &text)
{
    if (text.empty()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (outcome.textSeen) {
        outcome.gapsMs.push_back(std::chrono::duration<double, std::milli>(now - answer.lastPiece).count());
    } else {
        outcome.firstText = now;
        outcome.textSeen = true;
    }
    answer.lastPiece = now;
    ++outcome.pieces;
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

/** Takes one server-sent event. @return Whether the stream goes on. */
bool takeEvent(RequestOutcome &outcome, Answer &answer, std::string_view event)
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
        fail(outcome, "bad_event", "maybe", std::string(event.substr(0, 200)));
        return false;
    }
    if (object->contains("error")) {
        failBody(outcome, 200, event);
        return false;
    }
    takeText(outcome, answer, choiceText(*object, "delta"));
    return true;
}

bool takeEvents(RequestOutcome &outcome, Answer &answer)
{
    for (std::size_t end = answer.pending.find("\n\n"); end != std::string::npos; end = answer.pending.find("\n\n")) {
        const std::string event = answer.pending.substr(0, end);
        answer.pending.erase(0, end + 2);
        if (!takeEvent(outcome, answer, event)) {
            return false;
        }
    }
    return true;
}

void verify(RequestOutcome &outcome, const Answer &answer, const RequestOptions &options, const json::object &body)
{
    const std::string expected = standin::expectedText(standin::promptOf(body), options.maxTokens);
    if (answer.text == expected) {
        outcome.state = AnswerState::Whole;
        return;
    }
    outcome.state = AnswerState::Mismatch;
    const auto differs = std::mismatch(answer.text.begin(), answer.text.end(), expected.begin(), expected.end());
    outcome.detail = "answer has " + std::to_string(answer.text.size()) + " of " + std::to_string(expected.size()) + " bytes and differs from byte "
                     + std::to_string(differs.first - answer.text.begin());
}

/** Reads the answer. @return Whether it ended properly. */
asio::awaitable<bool> readAnswer(RequestOutcome &outcome, Answer &answer, HttpExchange exchange, const RequestOptions &options)
{
    const bool events = exchange.status == 200 && options.stream;
    for (;;) {
        const auto piece = co_await httpRead(exchange, options.timeouts.idle);
        if (!isOk(piece)) {
            failTransport(outcome, errorOf(piece));
            co_return false;
        }
        if (!valueOf(piece)) {
            break;
        }
        answer.pending += *valueOf(piece);
        if (events && !takeEvents(outcome, answer)) {
            co_return false;
        }
    }
    if (exchange.status != 200) {
        failBody(outcome, exchange.status, answer.pending);
        co_return false;
    }
    if (events && !answer.done) {
        fail(outcome, "no_end_marker", "maybe", "stream ended without its end marker");
        co_return false;
    }
    if (!events) {
        const auto body = parseJsonObject(answer.pending);
        takeText(outcome, answer, body ? choiceText(*body, "message") : std::string());
    }
    co_return true;
}

/** Opens the request on the host whose turn it is, or on the next one that accepts a connection, as a load balancer does. */
asio::awaitable<Result<HttpExchange>> openAnywhere(
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

/** @return Whether the answer belongs to another request of a load generator; a host may answer with an id of its own. */
bool echoesOther(const HttpExchange &exchange, const HttpRequest &request)
{
    const std::string_view echo = headerValue(exchange.headers, "x-request-id");
    return echo.starts_with(requestIdPrefix) && echo != headerValue(request.headers, "x-request-id");
}

} // namespace

asio::awaitable<RequestOutcome> runRequest(std::shared_ptr<HttpClient> http, const RequestOptions &options, std::uint64_t number)
{
    RequestOutcome outcome;
    Answer answer;
    const json::object body = bodyOf(options, number);
    const HttpRequest request = requestOf(options, body, number);
    auto opened = co_await openAnywhere(http, options, request, number, outcome);
    if (!isOk(opened)) {
        failTransport(outcome, errorOf(opened));
    } else if (echoesOther(valueOf(opened), request)) {
        outcome.state = AnswerState::Mismatch;
        outcome.detail = "answer echoes request " + std::string(headerValue(valueOf(opened).headers, "x-request-id"));
    } else if (co_await readAnswer(outcome, answer, std::move(valueOf(opened)), options)) {
        verify(outcome, answer, options, body);
    }
    outcome.textBytes = answer.text.size();
    outcome.end = std::chrono::steady_clock::now();
    co_return outcome;
}

} // namespace skylark::load
