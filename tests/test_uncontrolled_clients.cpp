/** @file test_uncontrolled_clients.cpp Clients that nobody controls, against a real host: it must live, within its memory and descriptors, and serve others. */
#include "names.h"
#include "support/client_crowd_func.h"
#include "support/loaded_host.h"

#include <map>
#include <sstream>

namespace skylark::test {

namespace {

constexpr std::uint64_t withoutEnd = std::uint64_t{24} << 20U; ///< Bytes that stand for an endless input: several of them exceed the memory of the host.
constexpr std::uint64_t shortOfEnd = 1000; ///< Bytes that are missing from a body whose client stops.
constexpr std::uint64_t legalBody = loadedHostMaxBody; ///< Size of the largest legal body.
constexpr unsigned crowdSize = 24; ///< Clients of one kind; 24 of the largest bodies exceed the memory of the host.

std::string requestHead(const std::string &path, const std::string &framing)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + std::string(platform::headerRequestId) + ": @ID\r\n" + framing + "\r\n\r\n";
}

std::string chunkedHead(const std::string &path)
{
    return requestHead(path, "Transfer-Encoding: chunked");
}

/** @return A chunk of @p size bytes. */
std::string chunk(std::size_t size)
{
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'b') << "\r\n";
    return text.str();
}

/** Trailers behind a small chunked body. */
ClientScript endlessTrailers()
{
    return {.head = chunkedHead("/lookup/trailers") + chunk(4) + "0\r\n", .filler = "X-Trailer: " + std::string(200, 't') + "\r\n", .fillerBytes = withoutEnd};
}

/** One chunk header whose extensions go on. */
ClientScript endlessExtension()
{
    return {.head = chunkedHead("/lookup/extension") + "4", .filler = ";name=" + std::string(200, 'e'), .fillerBytes = withoutEnd};
}

/** Chunks of one byte, each with an extension of almost the header limit. */
ClientScript manyExtensions()
{
    return {.head = chunkedHead("/lookup/extensions"), .filler = "1;name=" + std::string(15000, 'e') + "\r\nb\r\n", .fillerBytes = withoutEnd};
}

/** A body far over the limit, with its length in the head. */
ClientScript announcedOverLimit()
{
    return {.head = requestHead("/lookup/announced", "Content-Length: " + std::to_string(withoutEnd)), .filler = "bbbbbbbb", .fillerBytes = withoutEnd};
}

/** A body far over the limit, in chunks without a length. */
ClientScript sentOverLimit()
{
    return {.head = chunkedHead("/lookup/sent"), .filler = chunk(16384), .fillerBytes = withoutEnd};
}

/** A body of the largest legal size. @param path Path of a plain route, or of the batch route. */
ClientScript legalWhole(const std::string &path)
{
    return {.head = requestHead(path, "Content-Length: " + std::to_string(legalBody)), .filler = "bbbbbbbb", .fillerBytes = legalBody};
}

/** The same in small pieces; it stops just short of its end. */
ClientScript legalUnfinished()
{
    ClientScript script = legalWhole("/lookup/unfinished");
    script.fillerBytes -= shortOfEnd;
    script.pieceBytes = 8000;
    return script;
}

/** A chunked body, for which the host cannot know how much follows; it stops just short of the limit. */
ClientScript legalUnfinishedChunks()
{
    const std::string piece = chunk(4000);
    return {.head = chunkedHead("/lookup/unfinished-chunks"), .filler = piece, .fillerBytes = piece.size() * (legalBody / 4000), .pieceBytes = 8000};
}

/** A job submission of almost the largest legal size with one item. */
ClientScript largeJob()
{
    const std::string begin = R"({"items":[{"id":"i1","path":"/lookup/item","tokens":1,"body":")";
    const std::string end = R"("}]})";
    const std::uint64_t base64 = legalBody - 1024;
    return {.head = requestHead("/job/large", "Content-Length: " + std::to_string(begin.size() + base64 + end.size())) + begin,
            .filler = "bbbbbbbb",
            .fillerBytes = base64,
            .tail = end};
}

/** A caller of a large answer. @param readBytes Bytes that it reads in one turn; 0 for none. */
ClientScript largeAnswer(std::size_t readBytes)
{
    return {.head = requestHead("/lookup/large", "Content-Length: 0"), .readBytes = readBytes};
}

/** The host and its clients. */
struct UncontrolledClientsFixture {
    LoadedHost host;
    ClientCrowd crowd;

    void add(const ClientScript &script, unsigned count)
    {
        addClients(this->crowd, this->host.callers, script, count);
    }

    /** Runs the crowd, then checks the host while the clients that it has not closed are still connected. */
    void check()
    {
        runCrowd(this->crowd, [this] {
            watchHost(this->host);
        });
        std::map<std::string, unsigned> answers; // For reading a failure only.
        for (const auto &client : this->crowd) {
            ++answers[client->received.substr(0, 12) + (client->socket >= 0 ? "" : ", closed")];
        }
        for (const auto &[answer, count] : answers) {
            UNSCOPED_INFO(count << " clients: " << answer);
        }
        const bool answered = answersOrdinaryRequest(this->host);
        watchHost(this->host);
        const std::size_t peakKib = peakResidentKib(this->host);
        WARN("peak " << peakKib << " KiB of " << loadedHostMemoryMegabytes * 1024 << ", descriptors " << this->host.mostDescriptors << " of "
                     << loadedHostDescriptors);
        CHECK(isRunning(*this->host.process));
        CHECK(peakKib <= loadedHostMemoryMegabytes * 1024);
        CHECK(this->host.mostDescriptors <= loadedHostDescriptors);
        CHECK(answered);
    }
};

} // namespace

// Guards against trailers that are held until the request ends, which it never does.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_trailersWithoutEnd_livesWithinItsMemory")
{
    this->add(endlessTrailers(), 8);
    this->check();
}

// Guards against chunk extensions that are held until their line ends, which it never does.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_chunkExtensionsWithoutEnd_livesWithinItsMemory")
{
    this->add(endlessExtension(), 8);
    this->add(manyExtensions(), 8);
    this->check();
}

// Guards against reading, or making room for, a body whose head says that it is too large.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_announcedBodiesOverLimit_livesWithinItsMemory")
{
    this->add(announcedOverLimit(), crowdSize);
    this->check();
}

// Guards against bodies that are held up to the limit by each of many clients before they are refused.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_sentBodiesOverLimit_livesWithinItsMemory")
{
    this->add(sentOverLimit(), crowdSize);
    this->check();
}

// Guards against taking in more bodies than the memory holds, each of them within its limit.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_largeBodiesWhole_livesWithinItsMemory")
{
    this->add(legalWhole("/lookup/whole"), crowdSize);
    this->add(legalWhole("/order/whole"), crowdSize);
    this->add(largeJob(), crowdSize);
    this->check();
}

// Guards against bodies that stay unfinished and hold their memory until a time limit, and against growth by copying.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_largeBodiesUnfinished_livesWithinItsMemory")
{
    this->add(legalUnfinished(), crowdSize);
    this->add(legalUnfinishedChunks(), crowdSize);
    this->check();
}

// Guards against answers that are held for callers that read them slowly or not at all.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_slowReaders_livesWithinItsMemory")
{
    this->add(largeAnswer(0), crowdSize / 2);
    this->add(largeAnswer(16), crowdSize / 2);
    this->check();
}

// Guards against parts of the memory that are each within their own bound, but not together.
TEST_CASE_METHOD(UncontrolledClientsFixture, "host_allUncontrolledClients_livesWithinItsMemory")
{
    this->add(endlessTrailers(), 4);
    this->add(endlessExtension(), 4);
    this->add(manyExtensions(), 4);
    this->add(announcedOverLimit(), 4);
    this->add(sentOverLimit(), crowdSize / 2);
    this->add(legalWhole("/lookup/whole"), crowdSize / 2);
    this->add(legalUnfinished(), crowdSize / 2);
    this->add(legalUnfinishedChunks(), crowdSize / 2);
    this->add(largeJob(), crowdSize / 2);
    this->add(largeAnswer(0), crowdSize / 2);
    this->add(largeAnswer(16), crowdSize / 2);
    this->check();
}

} // namespace skylark::test
