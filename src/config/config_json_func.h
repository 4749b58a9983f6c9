/** @file config_json_func.h JSON serialization of configuration records. */
#pragma once

#include "config/config_func.h"

#include <boost/json.hpp>

namespace skylark {

/** @return The value of the stored key "config/head". */
[[nodiscard]] std::string headToJson(const ConfigHead &head);

/** Parses the value of "config/head". @return The head, or ProtocolError if it is malformed. */
[[nodiscard]] Result<ConfigHead> headFromJson(std::string_view text);

/** @return The value of the stored key "config/doc/<kind>/<name>". */
[[nodiscard]] std::string documentToJson(const Document &document);

/** @return The stored key of a document: "config/doc/<kind>/<name>". */
[[nodiscard]] std::string documentKey(DocumentKind kind, const std::string &name);

/** Parses the value of a document key. @return The document, or ProtocolError if it is malformed or its kind and name do not match @p key. */
[[nodiscard]] Result<Document> documentFromKey(std::string_view key, std::string_view text);

/** @return The JSON text of a bundle that is sent to a peer. */
[[nodiscard]] std::string bundleToJson(const ConfigBundle &bundle);

/** Parses a bundle from a peer. @return The bundle, or ProtocolError if it is malformed. */
[[nodiscard]] Result<ConfigBundle> bundleFromJson(std::string_view text);

/** @return The JSON object of a document in the admin API. */
[[nodiscard]] boost::json::object documentView(const Document &document);

/** @return The JSON object of a change in the admin API. */
[[nodiscard]] boost::json::object changeView(const ConfigChange &change);

} // namespace skylark
