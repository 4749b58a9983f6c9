/** @file command_document.cpp Commands of skylarkctl on templates and workspaces. */
#include "core/hash_func.h"
#include "ctl/command_func.h"
#include "ctl/ctl_http_func.h"
#include "ctl/ctl_output_func.h"

#include <charconv>
#include <iostream>

namespace skylark {

namespace json = boost::json;

namespace {

std::string documentTarget(const CtlOptions &options)
{
    return "/admin/v1/config?kind=" + options.word(0) + "&name=" + percentEncode(options.word(2));
}

HttpRequest applyRequest(const json::object &body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/admin/v1/config/apply";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = json::serialize(body);
    return request;
}

/** @return The document text from the file in --file or in word 3; nothing, after an error message, when it cannot be read. */
std::optional<std::string> readDocumentFile(const CtlOptions &options)
{
    const std::string path = options.file.empty() ? options.word(3) : options.file;
    if (options.word(2).empty() || path.empty()) {
        usageError("usage: skylarkctl " + options.word(0) + " " + options.word(1) + " NAME --file FILE");
        return std::nullopt;
    }
    auto text = readWholeFile(path);
    if (!text) {
        usageError("cannot read " + path);
    }
    return text;
}

/** Reads the stored document. @return JSON null when there is none; nothing, with the exit code in @p code, after a failure. */
std::optional<json::value> readDocument(const CtlOptions &options, ExitCode &code)
{
    HttpRequest request;
    request.target = documentTarget(options);
    const auto answer = callAny(options.admin, request);
    if (isOk(answer) && valueOf(answer).status == 404) {
        code = ExitCode::Ok;
        return json::value();
    }
    code = reportAnswer(answer);
    if (code != ExitCode::Ok) {
        return std::nullopt;
    }
    return valueOf(answer).json;
}

/** Resolves --expect to a document revision; 0 expects a new document. @return Nothing, with the exit code in @p code, after a failure. */
std::optional<std::uint64_t> expectedRevision(const CtlOptions &options, ExitCode &code)
{
    if (options.expect.empty()) {
        return 0;
    }
    if (options.expect == "current") {
        const auto document = readDocument(options, code);
        return document ? std::optional(numberAt(*document, "doc_revision")) : std::nullopt;
    }
    std::uint64_t number = 0;
    const char *end = options.expect.data() + options.expect.size();
    const auto parsed = std::from_chars(options.expect.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        code = usageError("--expect needs a document revision or \"current\"");
        return std::nullopt;
    }
    return number;
}

/** Sends an edit of the named document and prints its outcome. @param body Members that are specific to the edit. */
ExitCode sendEdit(const CtlOptions &options, json::object body)
{
    ExitCode code = ExitCode::Ok;
    const auto expected = expectedRevision(options, code);
    if (!expected) {
        return code;
    }
    const std::string name = options.word(0) + " " + options.word(2);
    body["kind"] = options.word(0);
    body["name"] = options.word(2);
    body["by"] = options.by;
    body["expected_doc_revision"] = *expected;
    // A repetition on the next host carries the same write id, so the edit is committed at most once.
    body["write_id"] = randomIdHex();
    const auto answer = callAny(options.admin, applyRequest(body));
    code = reportAnswer(answer);
    if (code == ExitCode::Conflict) {
        const std::string current = textAt(valueOf(answer).json, {"error", "param"});
        std::cerr << "skylarkctl: read the current document with \"skylarkctl " << options.word(0) << " show " << options.word(2) << "\", then use --expect "
                  << current << "\n";
    }
    if (code != ExitCode::Ok) {
        return code;
    }
    if (options.json) {
        printJson(valueOf(answer).json);
    } else {
        std::cout << name << " is at document revision " << numberAt(valueOf(answer).json, "doc_revision") << ", fleet revision "
                  << numberAt(valueOf(answer).json, "revision") << "\n";
    }
    return ExitCode::Ok;
}

ExitCode missingNameError(const CtlOptions &options)
{
    return usageError("usage: skylarkctl " + options.word(0) + " " + options.word(1) + " NAME");
}

} // namespace

ExitCode validateCommand(const CtlOptions &options)
{
    const auto text = readDocumentFile(options);
    if (!text) {
        return ExitCode::Usage;
    }
    json::object body;
    body["kind"] = options.word(0);
    body["name"] = options.word(2);
    body["body"] = *text;
    body["validate_only"] = true;
    const auto answer = callAny(options.admin, applyRequest(body));
    const ExitCode code = reportAnswer(answer);
    if (code == ExitCode::Ok) {
        std::cout << options.word(0) << " " << options.word(2) << " is valid\n";
    }
    return code;
}

ExitCode diffCommand(const CtlOptions &options)
{
    const auto text = readDocumentFile(options);
    if (!text) {
        return ExitCode::Usage;
    }
    ExitCode code = ExitCode::Ok;
    const auto document = readDocument(options, code);
    if (!document) {
        return code;
    }
    const std::string difference = diffLines(textAt(*document, {"body"}), *text);
    std::cout << (difference.empty() ? "no difference\n" : difference);
    return ExitCode::Ok;
}

ExitCode applyCommand(const CtlOptions &options)
{
    const auto text = readDocumentFile(options);
    if (!text) {
        return ExitCode::Usage;
    }
    json::object body;
    body["body"] = *text;
    return sendEdit(options, std::move(body));
}

ExitCode showCommand(const CtlOptions &options)
{
    if (options.word(2).empty()) {
        return missingNameError(options);
    }
    ExitCode code = ExitCode::Ok;
    const auto answer = readAdmin(options, documentTarget(options), code);
    if (!answer) {
        return code;
    }
    if (options.json) {
        printJson(answer->json);
        return ExitCode::Ok;
    }
    std::cerr << options.word(0) << " " << options.word(2) << ": document revision " << numberAt(answer->json, "doc_revision") << ", fleet revision "
              << numberAt(answer->json, "revision") << (boolAt(answer->json, "deleted") ? ", deleted" : "") << "\n";
    const std::string text = textAt(answer->json, {"body"});
    std::cout << text << (text.ends_with('\n') ? "" : "\n");
    return ExitCode::Ok;
}

ExitCode listCommand(const CtlOptions &options)
{
    ExitCode code = ExitCode::Ok;
    const auto answer = readAdmin(options, "/admin/v1/config?kind=" + options.word(0), code);
    if (!answer) {
        return code;
    }
    if (options.json) {
        printJson(answer->json);
        return ExitCode::Ok;
    }
    Table table{.heading = {"NAME", "DOC REVISION", "FLEET REVISION", "BYTES"}, .rows = {}};
    for (const json::value &document : arrayAt(answer->json, "documents")) {
        table.rows.push_back({textAt(document, {"name"}),
                              textAt(document, {"doc_revision"}),
                              textAt(document, {"revision"}),
                              std::to_string(textAt(document, {"body"}).size())});
    }
    printTable(table);
    return ExitCode::Ok;
}

ExitCode deleteCommand(const CtlOptions &options)
{
    if (options.word(2).empty() || options.expect.empty()) {
        return usageError("usage: skylarkctl " + options.word(0) + " delete NAME --expect DOC_REVISION");
    }
    json::object body;
    body["deleted"] = true;
    return sendEdit(options, std::move(body));
}

ExitCode historyCommand(const CtlOptions &options)
{
    ExitCode code = ExitCode::Ok;
    std::string target = "/admin/v1/config/history?kind=" + options.word(0);
    target += options.word(2).empty() ? "" : "&name=" + percentEncode(options.word(2));
    const auto answer = readAdmin(options, target, code);
    if (!answer) {
        return code;
    }
    if (options.json) {
        printJson(answer->json);
        return ExitCode::Ok;
    }
    Table table{.heading = {"FLEET REVISION", "TIME", "NAME", "DOC REVISION", "CHANGE", "BY"}, .rows = {}};
    for (const json::value &change : arrayAt(answer->json, "changes")) {
        table.rows.push_back({textAt(change, {"revision"}),
                              formatTime(numberAt(change, "at_unix_ms")),
                              textAt(change, {"name"}),
                              textAt(change, {"doc_revision"}),
                              boolAt(change, "deleted") ? "deleted" : "applied",
                              textAt(change, {"by"})});
    }
    printTable(table);
    return ExitCode::Ok;
}

} // namespace skylark
