/** @file test_request_fuzz.cpp Fuzz tests of the request reader: any bytes give requests or errors, within bounds. */
#include "http/http_connection_base.h"
#include "support/process_func.h"
#include "support/property_seed.h"
#include "support/raw_caller.h"

#include <array>
#include <cstdlib>
#include <random>

namespace skylark::test {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint32_t maxHeader = 2048;
constexpr std::size_t maxBody = 20000;

/** @return Time for which each test runs: SKYLARK_FUZZ_SECONDS, or 2 s. */
milliseconds fuzzTime()
{
    const char *text = std::getenv("SKYLARK_FUZZ_SECONDS");
    return text == nullptr ? 2s : std::chrono::seconds(std::strtoul(text, nullptr, 10));
}

std::uint64_t draw(std::mt19937_64 &random, std::uint64_t least, std::uint64_t most)
{
    return least + random() % (most - least + 1);
}

/** @return Text of drawn length, from a small alphabet that contains what the grammar treats specially, or from all bytes. */
std::string drawText(std::mt19937_64 &random, std::size_t longest)
{
    static constexpr std::string_view special = "\r\n\t :;,=/?\"\\%0aF1-_x{}";
    std::string text(draw(random, 0, longest), 'a');
    const bool anyByte = draw(random, 0, 3) == 0;
    for (char &c : text) {
        if (anyByte) {
            c = static_cast<char>(draw(random, 0, 255));
        } else if (draw(random, 0, 2) == 0) {
            c = special[draw(random, 0, special.size() - 1)];
        }
    }
    return text;
}

/** @return One of @p texts. */
template<std::size_t count>
std::string drawOne(std::mt19937_64 &random, const std::array<const char *, count> &texts)
{
    return texts[draw(random, 0, count - 1)];
}

std::string drawHead(std::mt19937_64 &random)
{
    static constexpr std::array methods{"GET", "POST", "PUT", "G(T", ""};
    static constexpr std::array framings{"Content-Length: 5\r\n",
                                         "Content-Length: 19999\r\n",
                                         "Content-Length: 99999999999999999999\r\n",
                                         "Content-Length: -1\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                                         "Transfer-Encoding: gzip\r\n",
                                         ""};
    static constexpr std::array versions{"HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "http/1.1"};
    std::string head = drawOne(random, methods) + " /" + (draw(random, 0, 3) == 0 ? drawText(random, 30) : "path") + " " + drawOne(random, versions) + "\r\n";
    head += draw(random, 0, 9) == 0 ? "" : "Host: h.example\r\n";
    for (std::uint64_t fields = draw(random, 0, 3); fields > 0; --fields) {
        head += (draw(random, 0, 3) == 0 ? drawText(random, 20) : "X-Field") + ": " + drawText(random, draw(random, 0, 9) == 0 ? 4000 : 30) + "\r\n";
    }
    return head + drawOne(random, framings) + (draw(random, 0, 19) == 0 ? "" : "\r\n");
}

std::string drawChunks(std::mt19937_64 &random)
{
    static constexpr std::array sizes{"0", "1", "4", "00000000000000000000004", "ffffffffffffffff", "-4", "", "4e20", "1000"};
    std::string text;
    for (std::uint64_t chunks = draw(random, 0, 12); chunks > 0; --chunks) {
        text += drawOne(random, sizes) + (draw(random, 0, 3) == 0 ? ";" + drawText(random, draw(random, 0, 4) == 0 ? 3000 : 20) : "") + "\r\n";
        text += draw(random, 0, 2) == 0 ? drawText(random, 5000) : "abcd";
        text += "\r\n";
    }
    return text + (draw(random, 0, 1) == 0 ? "0\r\n" : "") + (draw(random, 0, 3) == 0 ? "X-Trailer: " + drawText(random, 3000) + "\r\n" : "") + "\r\n";
}

std::string drawBody(std::mt19937_64 &random)
{
    return drawText(random, draw(random, 0, 3) == 0 ? 25000 : 20);
}

/** A server, and callers that send it drawn bytes. */
struct RequestFuzzFixture : TestLoop {
    std::unique_ptr<HttpServer> server;
    std::uint64_t requests{0}; ///< Requests that reached the handler.
    std::uint64_t answers{0}; ///< Answers with an error of the server.
    std::uint64_t outOfBounds{0}; ///< Requests beyond the limits.
    std::uint64_t unexpected{0}; ///< Answers that a reader of requests does not give.

    RequestFuzzFixture()
    {
        HttpServerOptions options;
        options.listen = {"127.0.0.1", 0};
        options.maxHeader = maxHeader;
        options.maxBody = maxBody;
        options.headTimeout = 100ms;
        options.bodyTimeout = 100ms;
        options.keepAlive = 100ms;
        options.memory = MemoryAccount::create(this->loop.get_executor(), makeBudget(std::uint64_t{2} << 20U));
        auto created = HttpServer::create(this->loop.get_executor(), options, [this](HttpRequest request, HttpResponder &responder) {
            return this->answer(std::move(request), responder);
        });
        REQUIRE(isOk(created));
        this->server = std::move(valueOf(created));
    }

    boost::asio::awaitable<void> answer(HttpRequest request, HttpResponder &responder)
    {
        ++this->requests;
        std::size_t fields = request.method.size() + request.target.size();
        for (const HttpHeader &header : request.headers) {
            fields += header.name.size() + header.value.size();
        }
        this->outOfBounds += fields > maxHeader || request.body.size() > maxBody ? 1 : 0;
        HttpResponse response; // Named, because g++ 12 destroys an aggregate temporary in a co_await expression twice.
        co_await sendResponse(responder, std::move(response));
    }

    /** Sends the texts of several callers at once in drawn pieces, and waits until the server has closed all connections. */
    void sendAll(std::mt19937_64 &random, const std::vector<std::string> &texts)
    {
        std::vector<std::unique_ptr<RawCaller>> callers;
        std::vector<std::size_t> sent(texts.size(), 0);
        for (std::size_t i = 0; i < texts.size(); ++i) {
            callers.push_back(std::make_unique<RawCaller>(this->loop, Endpoint{"127.0.0.1", listenPort(*this->server)}));
        }
        const auto allClosed = [&] {
            bool closed = true;
            for (std::size_t i = 0; i < texts.size(); ++i) {
                RawCaller &caller = *callers[i];
                caller.poll();
                closed = closed && caller.closed;
                const std::size_t size = std::min(texts[i].size() - sent[i], static_cast<std::size_t>(draw(random, 1, 6000)));
                boost::system::error_code error;
                sent[i] += caller.closed || size == 0 ? 0 : caller.socket.write_some(boost::asio::buffer(texts[i].data() + sent[i], size), error);
            }
            return closed;
        };
        CHECK(this->runUntil(allClosed, 20s));
        for (const auto &caller : callers) {
            std::size_t errors = 0;
            for (const char *status : {"400", "408", "413", "431", "503"}) { // 503: the budget is small for this many callers at once.
                errors += caller->count("HTTP/1.1 " + std::string(status));
            }
            this->answers += errors;
            this->unexpected += caller->count("HTTP/1.1 ") - errors - caller->count("HTTP/1.1 200") - caller->count("HTTP/1.1 100");
        }
    }

    /** Runs rounds of callers with texts of @p makeText until the time is over, then checks the server. */
    void fuzz(const std::function<std::string(std::mt19937_64 &)> &makeText)
    {
        const auto end = std::chrono::steady_clock::now() + fuzzTime();
        std::uint64_t seed = propertySeed();
        for (; std::chrono::steady_clock::now() < end; ++seed) {
            INFO("seed " << seed);
            std::mt19937_64 random(seed);
            std::vector<std::string> texts(150);
            for (std::string &text : texts) {
                text = makeText(random);
            }
            this->sendAll(random, texts);
        }
        CHECK(this->outOfBounds == 0);
        CHECK(this->unexpected == 0);
        CHECK(this->answers > 0);
        this->runFor(50ms);
        CHECK(openConnections(*this->server) == 0);
        CHECK(this->server->impl->options.memory->use.held == 0);
    }
};

} // namespace

// Guards against heads that crash the reader, make it hold bytes for ever, or reach the handler beyond the limits.
TEST_CASE_METHOD(RequestFuzzFixture, "requestReader_anyHeads_requestOrErrorWithinBounds")
{
    this->fuzz([](std::mt19937_64 &random) {
        return draw(random, 0, 4) == 0 ? drawText(random, 3000) : drawHead(random) + drawHead(random);
    });
}

// Guards against the same by bodies with and without a length, and by what follows them.
TEST_CASE_METHOD(RequestFuzzFixture, "requestReader_anyBodies_requestOrErrorWithinBounds")
{
    this->fuzz([](std::mt19937_64 &random) {
        return drawHead(random) + drawBody(random) + (draw(random, 0, 2) == 0 ? drawHead(random) : "");
    });
    CHECK(this->requests > 0);
}

// Guards against the same by chunks, their extensions and trailers.
TEST_CASE_METHOD(RequestFuzzFixture, "requestReader_anyChunks_requestOrErrorWithinBounds")
{
    this->fuzz([](std::mt19937_64 &random) {
        return "POST /path HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + drawChunks(random);
    });
    CHECK(this->requests > 0);
}

} // namespace skylark::test
