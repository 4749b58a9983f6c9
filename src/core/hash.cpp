/** @file hash.cpp Hashing, rendezvous ranking and seeded random numbers. */
#include "core/hash_func.h"

#include <array>
#include <cstdio>
#include <random>
#include <xxhash.h>

namespace skylark {

namespace {

std::string hex128(std::uint64_t high, std::uint64_t low)
{
    std::array<char, 33> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016llx%016llx", static_cast<unsigned long long>(high), static_cast<unsigned long long>(low));
    return {buffer.data(), 32};
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string hexText(std::uint64_t number)
{
    std::array<char, 17> buffer{};
    const int length = std::snprintf(buffer.data(), buffer.size(), "%llx", static_cast<unsigned long long>(number));
    return {buffer.data(), static_cast<std::size_t>(length)};
}

std::string hash128Hex(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return hex128(hash.high64, hash.low64);
}

std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate)
{
    return hash64(candidate, hash64(subject));
}

std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

std::string randomIdHex()
{
    thread_local std::random_device device;
    const auto word = [] {
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    };
    const std::uint64_t high = word();
    return hex128(high, word());
}

} // namespace skylark
