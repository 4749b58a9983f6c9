/** @file config_json.cpp JSON serialization of configuration records. */
#include "config/config_json_func.h"

#include <exception>

namespace skylark {

namespace json = boost::json;

namespace {

constexpr std::string_view documentPrefix = "config/doc/";

std::string textOf(const json::object &object, json::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

std::uint64_t numberOf(const json::object &object, json::string_view name)
{
    return object.at(name).to_number<std::uint64_t>();
}

DocumentKind parseKind(const json::object &object)
{
    const auto kind = documentKindFromName(textOf(object, "kind"));
    if (!kind) {
        throw std::invalid_argument("unknown document kind");
    }
    return *kind;
}

Document parseDocument(const json::object &object)
{
    return {.kind = parseKind(object),
            .name = textOf(object, "name"),
            .revision = Revision{numberOf(object, "revision")},
            .docRevision = numberOf(object, "docRevision"),
            .deleted = object.at("deleted").as_bool(),
            .body = textOf(object, "body")};
}

json::object documentObject(const Document &document)
{
    const std::string_view kind = documentKindName(document.kind);
    return {{"revision", document.revision.value},
            {"kind", json::string_view(kind.data(), kind.size())},
            {"name", document.name},
            {"docRevision", document.docRevision},
            {"deleted", document.deleted},
            {"body", document.body}};
}

json::object changeObject(const ConfigChange &change)
{
    json::object object = documentObject(change.document);
    object["by"] = change.by;
    object["writeId"] = change.writeId.value;
    object["atUnixMs"] = change.at.time_since_epoch().count();
    return object;
}

ConfigChange parseChange(const json::object &object)
{
    return {.document = parseDocument(object),
            .by = textOf(object, "by"),
            .writeId = WriteId{textOf(object, "writeId")},
            .at = UnixTime(std::chrono::milliseconds(object.at("atUnixMs").to_number<std::int64_t>()))};
}

/**
 * Parses a JSON object and converts it with @p read.
 * @param what Name of the record for the error detail.
 * @return The value. Exceptions of the parser and of Boost.JSON's accessors become a ProtocolError.
 */
template<typename T, typename Read>
Result<T> parseAs(std::string_view text, std::string_view what, Read read)
{
    try {
        return read(json::parse(json::string_view(text.data(), text.size())).as_object());
    } catch (const std::exception &problem) {
        return makeError(ErrorCode::ProtocolError, std::string(what) + ": " + problem.what());
    }
}

ConfigHead parseHead(const json::object &object)
{
    ConfigHead head{.revision = Revision{numberOf(object, "revision")}, .writeId = WriteId{textOf(object, "writeId")}, .log = {}};
    for (const json::value &entry : object.at("log").as_array()) {
        head.log.push_back(parseChange(entry.as_object()));
    }
    return head;
}

ConfigBundle parseBundle(const json::object &object)
{
    ConfigBundle bundle{.since = Revision{numberOf(object, "since")}, .revision = Revision{numberOf(object, "revision")}, .documents = {}};
    for (const json::value &entry : object.at("documents").as_array()) {
        bundle.documents.push_back(parseDocument(entry.as_object()));
    }
    return bundle;
}

} // namespace

std::string headToJson(const ConfigHead &head)
{
    json::array log;
    for (const ConfigChange &change : head.log) {
        log.emplace_back(changeObject(change));
    }
    return json::serialize(json::object{{"revision", head.revision.value}, {"writeId", head.writeId.value}, {"log", std::move(log)}});
}

Result<ConfigHead> headFromJson(std::string_view text)
{
    return parseAs<ConfigHead>(text, "config/head", parseHead);
}

std::string documentToJson(const Document &document)
{
    return json::serialize(documentObject(document));
}

std::string documentKey(DocumentKind kind, const std::string &name)
{
    return std::string(documentPrefix) + std::string(documentKindName(kind)) + "/" + name;
}

Result<Document> documentFromKey(std::string_view key, std::string_view text)
{
    auto document = parseAs<Document>(text, key, parseDocument);
    if (isOk(document) && documentKey(valueOf(document).kind, valueOf(document).name) != key) {
        return makeError(ErrorCode::ProtocolError, std::string(key) + ": value has the kind or name of another document");
    }
    return document;
}

std::string bundleToJson(const ConfigBundle &bundle)
{
    json::array documents;
    for (const Document &document : bundle.documents) {
        documents.emplace_back(documentObject(document));
    }
    return json::serialize(json::object{{"since", bundle.since.value}, {"revision", bundle.revision.value}, {"documents", std::move(documents)}});
}

Result<ConfigBundle> bundleFromJson(std::string_view text)
{
    return parseAs<ConfigBundle>(text, "configuration bundle", parseBundle);
}

json::object documentView(const Document &document)
{
    const std::string_view kind = documentKindName(document.kind);
    return {{"kind", json::string_view(kind.data(), kind.size())},
            {"name", document.name},
            {"revision", document.revision.value},
            {"doc_revision", document.docRevision},
            {"deleted", document.deleted},
            {"body", document.body}};
}

json::object changeView(const ConfigChange &change)
{
    json::object view = documentView(change.document);
    view["by"] = change.by;
    view["write_id"] = change.writeId.value;
    view["at_unix_ms"] = change.at.time_since_epoch().count();
    return view;
}

} // namespace skylark
