/** @file test_answer_bytes.cpp Answers that are not shown to belong to their request, and bytes of targets that belong to no request. */
#include "support/byte_target.h"
#include "support/jobs_fixture.h"
#include "support/traffic_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

const std::string strayAnswer = ByteTarget::whole(200, "", "spoilt\n"); ///< Looks like a success, and names no request.

/** One host, a target whose bytes the test chooses, and a sound one that is only used once the first one has failed. */
struct AnswerBytesFixture : EntryFixture {
    ByteTarget target{this->loop};
    EntryTestHost host{*this, "front-1", false};

    AnswerBytesFixture()
    {
        this->addTarget("i-byte", this->target.endpoint());
        this->target.answer = [](const std::string &id, unsigned /*number*/) {
            return ByteAnswer{.bytes = ByteTarget::sound(id)};
        };
    }

    void addTarget(const std::string &id, const Endpoint &endpoint)
    {
        TargetEntry entry;
        entry.id.value = id;
        entry.service.value = "llm";
        entry.endpoint = endpoint;
        entry.domain.value = "north";
        entry.slots = 4;
        (*this->targets)[entry.id] = entry;
        this->host.publish({});
    }

    /** Makes the target answer all requests with @p headers and a body. */
    void answerAll(int status, const std::string &headers)
    {
        this->target.answer = [status, headers](const std::string & /*id*/, unsigned /*number*/) {
            return ByteAnswer{.bytes = ByteTarget::whole(status, headers, "unproven")};
        };
    }

    HttpResponse get(const std::string &id, const std::string &path)
    {
        return this->host.send(EntryTestHost::request(id, path, 1s));
    }

    [[nodiscard]] unsigned failures()
    {
        return static_cast<unsigned>(metricValue(*this->host.proxy->metrics, "skylark_target_failures_total", {{"target", "i-byte"}}));
    }
};

/** @return Whether @p answer is that of a sound target to request @p id. */
bool isSoundAnswer(const HttpResponse &answer, const std::string &id)
{
    return answer.status == 200 && answer.body == "answer to " + id && headerValue(answer.headers, platform::headerSignature) == "signature-of-" + id;
}

} // namespace

// Guards against bytes after an answer that are handed out as the success of the next request (review/3).
TEST_CASE_METHOD(AnswerBytesFixture, "answer_bytesBeforeIt_areNotHandedOutAsTheSuccess")
{
    this->target.answer = [](const std::string &id, unsigned number) {
        return ByteAnswer{.bytes = (number == 1 ? strayAnswer : "") + ByteTarget::sound(id)};
    };
    ByteTarget other(this->loop);
    other.answer = [](const std::string &id, unsigned /*number*/) {
        return ByteAnswer{.bytes = ByteTarget::sound(id)};
    };
    this->addTarget("i-other", other.endpoint());
    for (unsigned i = 0; i < 200 && this->target.requests < 4; ++i) {
        const std::string id = "q" + std::to_string(i);
        CHECK(isSoundAnswer(this->get(id, "/lookup/x"), id));
        this->runFor(5ms);
    }
    CHECK(this->target.requests >= 4);
    CHECK(this->failures() == 1);
}

TEST_CASE_METHOD(AnswerBytesFixture, "answer_successWithoutProof_neverReachesTheCaller")
{
    unsigned number = 0;
    for (const std::string path : {"/order/x", "/lookup/x", "/chat/x", "/once/x"}) {
        for (const std::string &headers : {std::string(), ByteTarget::signatureLine("q"), ByteTarget::idLine("q") + ByteTarget::signatureLine("q")}) {
            this->answerAll(200, headers);
            CHECK(this->get("p" + std::to_string(number++), path).status >= 502);
        }
        // The id alone is not the target's signature.
        this->target.answer = [](const std::string &id, unsigned /*count*/) {
            return ByteAnswer{.bytes = ByteTarget::whole(201, ByteTarget::idLine(id), "unproven")};
        };
        CHECK(this->get("p" + std::to_string(number++), path).status >= 502);
    }
}

// A failure may come without a signature; what its caller gets is as before.
TEST_CASE_METHOD(AnswerBytesFixture, "answer_failureWithoutSignature_reachesTheCaller")
{
    this->answerAll(404, "");
    const HttpResponse answer = this->get("q1", "/order/x");
    CHECK(answer.status == 404);
    CHECK(answer.body == "unproven");
}

// Guards against a refusal of another request that makes a request that has run count as not run.
TEST_CASE_METHOD(AnswerBytesFixture, "answer_refusalOfAnotherRequest_isNotTakenAsThisOnes")
{
    this->answerAll(503, ByteTarget::idLine("another") + std::string(platform::headerNotExecuted) + ": 1\r\n");
    CHECK(this->get("q1", "/order/x").status == 502);
    CHECK(this->target.requests == 1);
}

// Guards against bytes of no request that change what the host knows of the target: its rate limit, and whether it is leaving.
TEST_CASE_METHOD(AnswerBytesFixture, "answer_ofNoRequest_saysNothingOfTheTarget")
{
    const std::string said = std::string(platform::headerServerLimit) + ": 1\r\n" + std::string(platform::headerServerLeaving) + ": 1\r\n";
    this->answerAll(200, said);
    CHECK(this->get("q1", "/order/x").status == 502);
    const Proxy &proxy = *this->host.proxy;
    CHECK_FALSE(limitOf(proxy.rateLimits, TargetId{"i-byte"}));
    CHECK_FALSE(isLeaving(proxy.leavingTargets, this->targets->at(TargetId{"i-byte"})));
}

// Guards against an interim response that is taken as the answer.
TEST_CASE_METHOD(AnswerBytesFixture, "answer_interimResponse_isFollowedByTheAnswer")
{
    this->target.answer = [](const std::string &id, unsigned /*number*/) {
        return ByteAnswer{.bytes = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + ByteTarget::sound(id)};
    };
    CHECK(isSoundAnswer(this->get("q1", "/order/x"), "q1"));
}

// Guards against a status of 000 that is passed on, or for which a request waits until its deadline as for an interim response.
TEST_CASE_METHOD(AnswerBytesFixture, "answer_statusThatIsNone_isNoAnswerAndEndsTheWait")
{
    const int status = GENERATE(0, 99);
    this->target.answer = [status](const std::string &id, unsigned /*number*/) {
        const std::string digits = std::to_string(status);
        const std::string head = "HTTP/1.1 " + std::string(3 - digits.size(), '0') + digits + " Text\r\n";
        return ByteAnswer{.bytes = head + ByteTarget::idLine(id) + ByteTarget::signatureLine(id) + "Content-Length: 4\r\n\r\nnone"};
    };
    const TimePoint begun = BootClock::now();
    const HttpResponse answer = this->host.send(EntryTestHost::request("q1", "/order/x", 3s));
    CHECK(answer.status == 502);
    CHECK(headerValue(answer.headers, platform::headerSignature).empty());
    CHECK(BootClock::now() - begun < 1s);
}

// Guards against further use of a connection on which a target has sent more than one response to a request.
TEST_CASE_METHOD(AnswerBytesFixture, "answer_moreThanOneResponse_endsTheConnectionAndCountsAgainstTheTarget")
{
    this->target.answer = [](const std::string &id, unsigned number) {
        return ByteAnswer{.bytes = ByteTarget::sound(id) + (number == 0 ? strayAnswer : "")};
    };
    CHECK(isSoundAnswer(this->get("q1", "/lookup/x"), "q1"));
    CHECK(this->failures() == 1);
    CHECK(this->runUntil([this] {
        return this->target.closed == 1;
    }));
    CHECK(isSoundAnswer(this->get("q2", "/lookup/x"), "q2"));
    CHECK(this->target.connections == 2);
}

// Guards against bytes that arrive while no request is on the connection and go unnoticed.
TEST_CASE_METHOD(AnswerBytesFixture, "connection_bytesWhileIdle_endItAndCountAgainstTheTarget")
{
    this->target.answer = [](const std::string &id, unsigned number) {
        return ByteAnswer{.bytes = ByteTarget::sound(id), .lateBytes = number == 0 ? strayAnswer : ""};
    };
    CHECK(isSoundAnswer(this->get("q1", "/lookup/x"), "q1"));
    this->runFor(200ms);
    CHECK(isSoundAnswer(this->get("q2", "/lookup/x"), "q2"));
    CHECK(this->failures() == 1);
    CHECK(this->target.connections == 2);
}

// Guards against a target that closes an idle connection, as any server may, and is avoided for it.
TEST_CASE_METHOD(AnswerBytesFixture, "connection_closedWhileIdle_doesNotCountAgainstTheTarget")
{
    Replica &replica = this->addReplica("i-sound");
    this->targets->erase(TargetId{"i-byte"});
    this->host.publish({});
    replica.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
        return ReplicaPlan{.stream = false};
    };
    CHECK(this->get("q1", "/lookup/x").status == 200);
    closeIdleConnections(*replica.server);
    this->runFor(100ms);
    CHECK(this->get("q2", "/lookup/x").status == 200);
    CHECK(metricSum(*this->host.proxy->metrics, "skylark_target_failures_total") == 0);
}

// Guards against an output of a batch item that its target has not signed.
TEST_CASE_METHOD(JobsFixture, "item_successWithoutSignature_isRunAgain")
{
    unsigned unsignedAnswers = 0;
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [&unsignedAnswers](const HttpRequest & /*request*/, unsigned number) {
            unsignedAnswers += number == 0 ? 1 : 0;
            return ReplicaPlan{.omitsSignature = number == 0};
        };
    }
    CHECK(this->submit(*this->a, "j1", 1).status == 202);
    const auto read = this->results(*this->a, "j1", 1, 10s);
    REQUIRE(read.size() == 1);
    CHECK(read[0].at("state") == "completed");
    CHECK(unsignedAnswers >= 1);
    CHECK(this->runsOf("j1-0") == unsignedAnswers + 1);
}

// The same fault in skylarkd: a success of a plain service that names no request is not that of the call.
TEST_CASE_METHOD(TrafficFixture, "serviceCall_successWithoutItsRequestId_neverReachesTheCaller")
{
    StubTarget &target = this->addTarget("shop");
    target.omitsRequestId = true;
    this->startServer();
    const HttpResponse answer = this->call("GET", "/v1/services/shop/items/3", "");
    CHECK(answer.status == 502);
    CHECK(target.serviceCalls >= 1);
}
