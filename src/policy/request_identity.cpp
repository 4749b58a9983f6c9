/** @file request_identity.cpp Identity of a request, by which its repeats are recognised on every host. */
#include "policy/request_identity_func.h"

#include "core/hash_func.h"

namespace skylark {

PromptPartId requestIdentity(std::initializer_list<std::string_view> texts)
{
    std::uint64_t hash = 0;
    for (const std::string_view text : texts) {
        hash = hash64(text, hash);
    }
    return wholeRequest(hash);
}

} // namespace skylark
