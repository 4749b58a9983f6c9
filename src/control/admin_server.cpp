/** @file admin_server.cpp Request handlers of the admin server. */
#include "config/config_json_func.h"
#include "control/controller_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "policy/revision_func.h"

#include <charconv>
#include <exception>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

json::string_view jsonText(std::string_view text)
{
    return {text.data(), text.size()};
}

HttpResponse jsonResponse(int status, const json::value &value)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = json::serialize(value) + "\n"};
}

HttpResponse textResponse(int status, std::string text)
{
    return {.status = status, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = std::move(text)};
}

HttpResponse errorResponse(const Error &error)
{
    const ErrorInfo &info = errorInfo(error.code);
    json::object body{{"type", jsonText(info.type)},
                      {"code", jsonText(info.name)},
                      {"message", error.detail},
                      {"param", error.param},
                      {"run", error.run == RunState::Maybe ? "maybe" : "no"}};
    json::object whole;
    whole["error"] = std::move(body);
    HttpResponse response = jsonResponse(info.status, whole);
    if (info.retryable) {
        response.headers.push_back({"Retry-After", "1"});
    }
    return response;
}

HttpResponse notFound(std::string detail)
{
    return errorResponse(makeError(ErrorCode::NotFound, std::move(detail)));
}

/** @return Why callers cannot be served; empty when the host is ready. */
std::string notReadyReason(const Control::Impl &control)
{
    if (control.stopping) {
        return "planned stop";
    }
    if (!control.fleet) {
        return "no confirmed configuration";
    }
    if (!control.targetsKnown) {
        return "no list of targets";
    }
    return servesCallers(control) ? "" : "no load reports yet";
}

HttpResponse answerReady(const Control::Impl &control)
{
    const std::string reason = notReadyReason(control);
    return reason.empty() ? textResponse(200, "ready\n") : textResponse(503, "not ready: " + reason + "\n");
}

std::uint64_t numberParameter(const HttpRequest &request, std::string_view name)
{
    const std::string text = queryParameter(request.target, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** Answers with the document that the parameters "kind" and "name" select, or with all documents, of one kind if "kind" is given. */
HttpResponse answerConfig(const Control::Impl &control, const HttpRequest &request)
{
    if (!control.fleet) {
        return errorResponse(makeError(ErrorCode::NotReady, "no confirmed configuration"));
    }
    const std::string kindName = queryParameter(request.target, "kind");
    const std::string name = queryParameter(request.target, "name");
    const auto kind = documentKindFromName(kindName);
    if (!kindName.empty() && !kind) {
        return errorResponse(makeError(ErrorCode::InvalidRequest, "kind must be template or workspace"));
    }
    if (!name.empty()) {
        const auto found = control.config.documents.find({kind.value_or(DocumentKind::Template), name});
        return found == control.config.documents.end() ? notFound("there is no " + kindName + " " + name) : jsonResponse(200, documentView(found->second));
    }
    json::array documents;
    for (const auto &[key, document] : control.config.documents) {
        if (!document.deleted && (!kind || document.kind == *kind)) {
            documents.emplace_back(documentView(document));
        }
    }
    return jsonResponse(200, json::object{{"revision", control.config.revision.value}, {"documents", std::move(documents)}});
}

asio::awaitable<HttpResponse> answerHistory(ControlPtr control, HttpRequest request)
{
    const auto head = co_await readHead(control);
    if (!isOk(head)) {
        co_return errorResponse(errorOf(head));
    }
    const auto kind = documentKindFromName(queryParameter(request.target, "kind"));
    const std::string name = queryParameter(request.target, "name");
    json::array changes;
    for (const ConfigChange &change : valueOf(head).first.log) {
        if ((!kind || change.document.kind == *kind) && (name.empty() || change.document.name == name)) {
            changes.emplace_back(changeView(change));
        }
    }
    json::object body;
    body["revision"] = valueOf(head).first.revision.value;
    body["changes"] = std::move(changes);
    co_return jsonResponse(200, body);
}

/** Body of a request to apply a document. */
struct ApplyRequest {
    ConfigEdit edit;
    bool validateOnly{false}; ///< Whether the edit is only checked, not committed.
};

std::string optionalText(const json::object &object, json::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

bool optionalFlag(const json::object &object, json::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->as_bool();
}

/** @return The document text from the member "body", which may be a string or a JSON object. */
std::string bodyOf(const json::object &object)
{
    const json::value *body = object.if_contains("body");
    if (body == nullptr) {
        return {};
    }
    return body->is_string() ? json::value_to<std::string>(*body) : json::serialize(*body);
}

Result<ApplyRequest> parseApply(const std::string &text)
{
    try {
        const json::value value = json::parse(text);
        const json::object &object = value.as_object();
        const auto kind = documentKindFromName(json::value_to<std::string>(object.at("kind")));
        if (!kind) {
            return makeError(ErrorCode::InvalidRequest, "kind must be template or workspace");
        }
        ApplyRequest apply;
        apply.validateOnly = optionalFlag(object, "validate_only");
        apply.edit.kind = *kind;
        apply.edit.name = json::value_to<std::string>(object.at("name"));
        apply.edit.deleted = optionalFlag(object, "deleted");
        apply.edit.body = bodyOf(object);
        apply.edit.by = optionalText(object, "by");
        apply.edit.writeId = WriteId{optionalText(object, "write_id")};
        apply.edit.at = unixNow();
        if (!apply.validateOnly) {
            apply.edit.expectedDocRevision = object.at("expected_doc_revision").to_number<std::uint64_t>();
        }
        if (apply.edit.writeId.empty()) {
            apply.edit.writeId = WriteId{randomIdHex()};
        }
        return apply;
    } catch (const std::exception &problem) {
        return makeError(ErrorCode::InvalidRequest, std::string("body must be {kind, name, expected_doc_revision, body}: ") + problem.what());
    }
}

HttpResponse answerValidate(const Control::Impl &control, const ConfigEdit &edit)
{
    if (!control.fleet) {
        return errorResponse(makeError(ErrorCode::NotReady, "no confirmed configuration"));
    }
    const Document document{.kind = edit.kind, .name = edit.name, .revision = {}, .docRevision = 0, .deleted = edit.deleted, .body = edit.body};
    const auto mistakes = validateDocument(*control.fleet, document);
    if (!mistakes.empty()) {
        return errorResponse(invalidDocument(mistakes));
    }
    return jsonResponse(200, json::object{{"valid", true}, {"doc_revision", docRevisionOf(control.config, edit.kind, edit.name)}});
}

asio::awaitable<HttpResponse> answerApply(ControlPtr control, HttpRequest request)
{
    auto apply = parseApply(request.body);
    if (!isOk(apply)) {
        co_return errorResponse(errorOf(apply));
    }
    if (valueOf(apply).validateOnly) {
        co_return answerValidate(*control, valueOf(apply).edit);
    }
    const auto result = co_await commitEdit(control, std::move(valueOf(apply).edit));
    if (!isOk(result)) {
        co_return errorResponse(errorOf(result));
    }
    json::object body;
    body["revision"] = valueOf(result).revision.value;
    body["doc_revision"] = valueOf(result).docRevision;
    co_return jsonResponse(200, body);
}

HttpResponse answerWhy(const Control::Impl &control, const HttpRequest &request)
{
    const RequestId id{queryParameter(request.target, "request")};
    if (id.empty()) {
        return errorResponse(makeError(ErrorCode::InvalidRequest, "parameter request is missing"));
    }
    json::array decisions;
    for (const DecisionRecord &record : decisionsOf(control.context.decisions, id)) {
        decisions.emplace_back(json::object{{"part", record.part}, {"text", record.text}, {"at_unix_ms", record.at.time_since_epoch().count()}});
    }
    return jsonResponse(200, json::object{{"host", control.self.id.value}, {"request", id.value}, {"decisions", std::move(decisions)}});
}

HttpResponse answerJobs(const Control::Impl &control)
{
    return {.status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = control.batch ? batchStatusJson(*control.batch) : std::string(R"({"jobs":[]})")};
}

HttpResponse answerGet(const Control::Impl &control, const HttpRequest &request, std::string_view path)
{
    if (path == "/healthz") {
        return textResponse(200, "ok\n");
    }
    if (path == "/readyz") {
        return answerReady(control);
    }
    if (path == "/metrics") {
        refreshMetrics(control);
        return textResponse(200, renderMetrics(*control.context.metrics));
    }
    if (path == "/admin/v1/hosts") {
        return jsonResponse(200, hostsView(control));
    }
    if (path == "/admin/v1/targets") {
        return jsonResponse(200, targetsView(control));
    }
    if (path == "/admin/v1/config") {
        return answerConfig(control, request);
    }
    if (path == "/admin/v1/config/in_force") {
        return jsonResponse(200, inForceView(control, Revision{numberParameter(request, "revision")}));
    }
    if (path == "/admin/v1/jobs") {
        return answerJobs(control);
    }
    if (path == "/admin/v1/why") {
        return answerWhy(control, request);
    }
    if (path == "/admin/v1/decline") {
        return jsonResponse(200, declineView(control));
    }
    return notFound("no such path: " + std::string(path));
}

} // namespace

asio::awaitable<HttpResponse> answerAdmin(ControlPtr control, HttpRequest request)
{
    const std::string path(targetPath(request.target));
    if (path == "/admin/v1/config/apply") {
        if (request.method != "POST") {
            co_return errorResponse(makeError(ErrorCode::InvalidRequest, "this path requires POST"));
        }
        co_return co_await answerApply(control, std::move(request));
    }
    if (request.method != "GET" && request.method != "HEAD") {
        co_return errorResponse(makeError(ErrorCode::InvalidRequest, "this path requires GET or HEAD"));
    }
    if (path == "/admin/v1/config/history") {
        co_return co_await answerHistory(control, std::move(request));
    }
    co_return answerGet(*control, request, path);
}

} // namespace skylark
