/** @file hash_func.h Hashing, rendezvous ranking and seeded random numbers. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace skylark {

/** @return 64-bit hash of @p text, the same on every host (XXH64). */
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/** @return @p number as hexadecimal digits without leading zeros. */
[[nodiscard]] std::string hexText(std::uint64_t number);

/** @return 128-bit hash of @p text as 32 hexadecimal digits (XXH3). */
[[nodiscard]] std::string hash128Hex(std::string_view text);

/** @return Rendezvous score of @p candidate for @p subject; the candidate with the highest score owns the subject. */
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/** @return Next value of the SplitMix64 generator; advances @p state. */
[[nodiscard]] std::uint64_t nextRandom(std::uint64_t &state);

/** @return A new random identifier of 32 hexadecimal digits from std::random_device. */
[[nodiscard]] std::string randomIdHex();

} // namespace skylark
