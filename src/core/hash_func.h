/** @file hash_func.h Hashing, rendezvous ranking and seeded random numbers. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace skylark {

/** @return 64-bit hash of @p text, the same on every host (xxHash). */
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/** @return 128-bit hash of @p text as 32 hexadecimal digits (xxHash). */
[[nodiscard]] std::string hash128Hex(std::string_view text);

/** @return Rendezvous score of @p candidate for @p subject; the highest score owns the subject. */
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/** @return Next value of the splitmix64 sequence; @p state is advanced. */
[[nodiscard]] std::uint64_t nextRandom(std::uint64_t &state);

/** @return A new random identifier of 32 hexadecimal digits from the system's entropy source. */
[[nodiscard]] std::string randomIdHex();

} // namespace skylark
