/** @file config_json_func.h JSON forms of the configuration records. */
#pragma once

#include "config/config_func.h"

#include <boost/json.hpp>

namespace skylark {

/** @return The value of the key "config/head". */
[[nodiscard]] std::string headToJson(const ConfigHead &head);

/** Parses the value of "config/head"; ProtocolError when it is malformed. */
[[nodiscard]] Result<ConfigHead> headFromJson(std::string_view text);

/** @return The value of a key "config/doc/<kind>/<name>". */
[[nodiscard]] std::string documentToJson(const Document &document);

/** @return The key of a document. */
[[nodiscard]] std::string documentKey(DocumentKind kind, const std::string &name);

/** Parses a document key's value; kind and name come from @p key. */
[[nodiscard]] Result<Document> documentFromKey(std::string_view key, std::string_view text);

/** @return The JSON form of a bundle for a peer. */
[[nodiscard]] std::string bundleToJson(const ConfigBundle &bundle);

/** Parses a bundle. */
[[nodiscard]] Result<ConfigBundle> bundleFromJson(std::string_view text);

/** @return A document as operators see it. */
[[nodiscard]] boost::json::object documentView(const Document &document);

/** @return A change as operators see it. */
[[nodiscard]] boost::json::object changeView(const ConfigChange &change);

} // namespace skylark
