/** @file test_item_input.cpp Names and values from callers that are written to targets: items of batch jobs, forwarded requests, and the encoder. */
#include "base64_func.h"
#include "job/job_record_func.h"
#include "support/jobs_fixture.h"
#include "support/property_func.h"
#include "support/raw_caller.h"

#include <algorithm>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

const std::string secondRequest = "v\r\n\r\nPOST /batch/stolen HTTP/1.1\r\nHost: h.example\r\nX-Skylarkstage-Request-Id: stolen\r\nContent-Length: 0\r\n\r\n";

/** @return A valid item with id @p id. */
json::object validItem(const std::string &id)
{
    return {{"id", id}, {"path", "/batch/" + id}, {"headers", {{"X-Mark", "m"}}}, {"body", "cXdlcnQ="}, {"tokens", 1}};
}

/** Two hosts that get submissions with arbitrary items. */
struct ItemInputFixture : JobsFixture {
    ItemInputFixture()
    {
        this->setPlan({.events = 1, .step = 0ms});
    }

    HttpResponse submitItems(const std::string &job, json::array items)
    {
        HttpRequest request = EntryTestHost::request(job, "/batch/jobs");
        request.body = json::serialize(json::object{{"items", std::move(items)}});
        return this->a->send(std::move(request));
    }

    /** @return All runs of both targets, in order of arrival at each. */
    [[nodiscard]] std::vector<ReplicaRun> allRuns() const
    {
        std::vector<ReplicaRun> runs;
        for (const auto &replica : this->replicas) {
            for (const auto &run : replica->runs) {
                runs.push_back(*run);
            }
        }
        return runs;
    }

    /** Submits a valid item and @p item as job @p job, and checks that the job is refused with a text that names the second item and @p field. */
    void checkRefused(const std::string &job, const json::object &item, const std::string &field)
    {
        const HttpResponse answer = this->submitItems(job, {validItem("good"), item});
        INFO(field << ": " << answer.body);
        CHECK(answer.status == 400);
        CHECK(answer.body.find("items[1]." + field) != std::string::npos);
        this->runFor(100ms);
        CHECK(this->get(*this->b, "/-/lots/" + job).status == 404);
        CHECK(this->allRuns().empty());
    }
};

/** What the property expects of one item. */
struct ExpectedRun {
    std::string id;
    std::string path;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers; ///< In lower case, sorted.

    auto operator<=>(const ExpectedRun &) const = default;
};

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
    });
    return text;
}

/** @return Whether the host sets the header itself, so that an author's value of it must not arrive. */
bool belongsToHost(const std::string &name)
{
    static const std::set<std::string> names{"host",
                                             "content-length",
                                             "transfer-encoding",
                                             "connection",
                                             "expect",
                                             "te",
                                             "trailer",
                                             "upgrade",
                                             "keep-alive",
                                             "proxy-connection",
                                             "last-event-id",
                                             "x-skylarkstage-request-id",
                                             "x-skylarkstage-deadline-ms",
                                             "x-skylarkstage-expect-instance",
                                             "x-skylarkstage-tenant"};
    return names.contains(name);
}

std::vector<std::pair<std::string, std::string>> authorHeaders(const HttpHeaders &headers)
{
    std::vector<std::pair<std::string, std::string>> kept;
    for (const HttpHeader &header : headers) {
        if (!belongsToHost(lowerCase(header.name))) {
            kept.emplace_back(lowerCase(header.name), header.value);
        }
    }
    std::sort(kept.begin(), kept.end());
    return kept;
}

/** @return A JSON string that may hold line ends, control characters, whole requests and characters outside of ASCII. */
rc::Gen<std::string> anyText()
{
    static const std::vector<std::string> pieces{"\r\n",       "\n",
                                                 "\r",         std::string(1, '\0'),
                                                 "\t",         " ",
                                                 ":",          "/",
                                                 "?",          "#",
                                                 "%",          "%0d%0a",
                                                 "%4",         "\x7f",
                                                 "\x1b",       "\"",
                                                 "\\",         "é",
                                                 "\u2028",     "a",
                                                 "B",          "9",
                                                 "-",          "_",
                                                 "~",          "GET / HTTP/1.1",
                                                 secondRequest};
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces)), [](const std::vector<std::string> &parts) {
        std::string text;
        for (const std::string &part : parts) {
            text += part;
        }
        return text;
    });
}

/** @return Text of letters and digits, which all fields but the headers of the host accept. */
rc::Gen<std::string> plainText()
{
    return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ019"))));
}

rc::Gen<std::string> mostlyPlainText()
{
    return rc::gen::weightedOneOf<std::string>({{9, plainText()}, {1, anyText()}});
}

rc::Gen<std::string> headerName()
{
    return rc::gen::weightedOneOf<std::string>(
        {{8, plainText()},
         {1, anyText()},
         {1,
          rc::gen::elementOf(std::vector<std::string>{
              "Host", "Content-Length", "transfer-encoding", "Connection", "Expect", "X-Skylarkstage-Request-Id", "X-Skylarkstage-Tenant", "Last-Event-Id"})}});
}

} // namespace

// Guards against a header value of an item that ends its request and begins another one, which a target then runs (review/REPORT.md).
TEST_CASE_METHOD(ItemInputFixture, "item_headerValueWithASecondRequest_refusesTheJob")
{
    json::object item = validItem("bad");
    item["headers"] = json::object{{"X-Mark", secondRequest}};
    this->checkRefused("j1", item, "headers");
}

TEST_CASE_METHOD(ItemInputFixture, "item_headerNameThatIsNoToken_refusesTheJob")
{
    for (const std::string name : {"", "X Mark", "X-Mark:", "X-Mark: v\r\nX-Other", "Überschrift"}) {
        json::object item = validItem("bad");
        item["headers"] = json::object{{name, "v"}};
        this->checkRefused("j1", item, "headers");
    }
}

TEST_CASE_METHOD(ItemInputFixture, "item_pathThatIsNoRequestTarget_refusesTheJob")
{
    for (const std::string path : {"batch/x", "/batch/x HTTP/1.1\r\nX: y", "/batch/a b", "/batch/%4", "/batch/x#y", "/batch/é", "/batch/\x7f"}) {
        json::object item = validItem("bad");
        item["path"] = path;
        this->checkRefused("j1", item, "path");
    }
}

TEST_CASE_METHOD(ItemInputFixture, "item_idThatIsNoHeaderValue_refusesTheJob")
{
    for (const std::string id : {"", " x", "x ", "x\r\nX-Other: y", "x\n", "\x01"}) {
        json::object item = validItem("bad");
        item["id"] = id;
        this->checkRefused("j1", item, "id");
    }
}

// Guards against a field of another JSON type that is read as absent, so that the target gets another request than was submitted.
TEST_CASE_METHOD(ItemInputFixture, "item_fieldOfAnotherType_refusesTheJob")
{
    const std::vector<std::pair<std::string, json::value>> fields{
        {"headers", json::array{"X-Mark"}}, {"headers", json::object{{"X-Mark", 7}}}, {"body", 7}, {"tokens", "7"}, {"tokens", -1}};
    for (const auto &[name, value] : fields) {
        json::object item = validItem("bad");
        item[name] = value;
        this->checkRefused("j1", item, name);
    }
}

// Guards against records of two jobs that share keys in the store, and against an identifier that no later call can name.
TEST_CASE_METHOD(ItemInputFixture, "job_idThatIsNoPathSegment_isRefused")
{
    for (const std::string job : {"j1/results", "j1?x", "j 1"}) {
        const HttpResponse answer = this->submitItems(job, {validItem("good")});
        CHECK(answer.status == 400);
        CHECK(answer.body.find("X-Skylarkstage-Request-Id") != std::string::npos);
    }
    this->runFor(100ms);
    CHECK(this->allRuns().empty());
}

// Guards against an author who sets the framing, identity, deadline, target or workspace of the request that the host sends for an item.
TEST_CASE_METHOD(ItemInputFixture, "item_headersOfTheHost_areNotTakenFromTheAuthor")
{
    json::object item = validItem("mine");
    item["headers"] = json::object{{"Host", "other.example"},
                                   {"content-length", "3"},
                                   {"Transfer-Encoding", "chunked"},
                                   {"Connection", "close, X-Hop"},
                                   {"X-Hop", "1"},
                                   {"Expect", "100-continue"},
                                   {"Last-Event-Id", "5"},
                                   {"X-Skylarkstage-Request-Id", "another"},
                                   {"X-Skylarkstage-Deadline-Ms", "1"},
                                   {"x-skylarkstage-expect-instance", "i-9"},
                                   {"X-Skylarkstage-Tenant", "forged"},
                                   {"X-Kept", "kept"}};
    REQUIRE(this->submitItems("j1", {item}).status == 202);
    REQUIRE(this->results(*this->a, "j1", 1, 5s).size() == 1);
    const auto runs = this->allRuns();
    REQUIRE(runs.size() == 1);
    const HttpHeaders &headers = runs[0].headers;
    CHECK(runs[0].id == "mine");
    CHECK(runs[0].body == "qwert");
    CHECK(runs[0].lastEventId == 0);
    CHECK(runs[0].budgetMs > 1);
    CHECK(headerValue(headers, "Host") == "h.example");
    CHECK(headerValue(headers, "X-Kept") == "kept");
    for (const char *name : {"X-Hop", "Expect", "Transfer-Encoding", "X-Skylarkstage-Tenant"}) {
        CHECK(headerValue(headers, name).empty());
    }
    for (const char *name : {"Host", "X-Skylarkstage-Request-Id", "X-Skylarkstage-Expect-Instance", "Content-Length"}) {
        CHECK(std::count_if(headers.begin(),
                            headers.end(),
                            [name](const HttpHeader &header) {
                                return lowerCase(header.name) == lowerCase(name);
                            })
              == 1);
    }
}

// For any JSON strings in any field, the targets see exactly the requests that were submitted, or the job is refused.
TEST_CASE_METHOD(ItemInputFixture, "items_withAnyStrings_arriveAsSubmittedOrTheJobIsRefused")
{
    unsigned number = 0;
    unsigned accepted = 0;
    const bool holds = propertyHolds({.name = "items arrive as submitted", .cases = 60, .maxSize = 8}, [&] {
        const std::string job = "p" + std::to_string(number++);
        const auto count = *rc::gen::inRange(1U, 4U);
        json::array items;
        std::vector<ExpectedRun> expected;
        for (unsigned i = 0; i < count; ++i) {
            ExpectedRun run;
            run.id = job + "-" + std::to_string(i) + *mostlyPlainText();
            run.path = *rc::gen::weightedElement<std::string>({{9, "/batch/"}, {1, ""}}) + *mostlyPlainText();
            run.body = *anyText();
            json::object headers;
            for (unsigned j = *rc::gen::inRange(0U, 3U); j > 0; --j) {
                const std::string name = *headerName();
                headers[name] = *mostlyPlainText();
            }
            for (const auto &header : headers) {
                if (!belongsToHost(lowerCase(std::string(header.key())))) {
                    run.headers.emplace_back(lowerCase(std::string(header.key())), std::string(header.value().get_string()));
                }
            }
            std::sort(run.headers.begin(), run.headers.end());
            items.push_back(json::object{{"id", run.id}, {"path", run.path}, {"headers", headers}, {"body", platform::encodeBase64(run.body)}, {"tokens", 1}});
            expected.push_back(std::move(run));
        }
        const auto before = this->first.arrivals + this->second.arrivals;
        std::vector<std::size_t> seen{this->first.runs.size(), this->second.runs.size()};
        const int status = this->submitItems(job, items).status;
        if (status == 202) {
            ++accepted;
            RC_ASSERT(this->results(*this->a, job, count, 5s).size() == count);
        } else {
            RC_ASSERT(status == 400);
            expected.clear();
        }
        RC_ASSERT(this->first.arrivals + this->second.arrivals == before + expected.size());
        std::vector<ExpectedRun> got;
        for (std::size_t i = 0; i < seen.size(); ++i) {
            const auto &runs = this->replicas[i]->runs;
            for (std::size_t j = seen[i]; j < runs.size(); ++j) {
                got.push_back({runs[j]->id, runs[j]->target, runs[j]->body, authorHeaders(runs[j]->headers)});
            }
        }
        std::sort(got.begin(), got.end());
        std::sort(expected.begin(), expected.end());
        RC_ASSERT(got == expected);
    });
    CHECK(holds);
    CHECK(accepted >= 10);
}

// Guards against a job that was accepted before items were validated, and whose other items are never run because it cannot be loaded.
TEST_CASE_METHOD(ItemInputFixture, "job_acceptedEarlierWithAnInvalidItem_failsOnlyThisItem")
{
    this->a->runner.reset();
    REQUIRE(this->submitItems("j1", {validItem("good"), validItem("bad")}).status == 202);
    json::object bad = validItem("bad");
    bad["headers"] = json::object{{"X-Mark", secondRequest}};
    putKey(*this->store, jobBodyKey(JobId{"j1"}, 0), json::serialize(json::object{{"items", json::array{validItem("good"), bad}}}));
    this->a.reset();
    this->publishAll();
    const auto read = this->results(*this->b, "j1", 2, 15s);
    REQUIRE(read.size() == 2);
    for (const auto &entry : read) {
        CHECK(entry.at("state") == (entry.at("id") == "good" ? "completed" : "dead_letter"));
    }
    CHECK(this->allRuns().size() == 1);
}

// Guards against an encoder that writes what is no single HTTP request, whoever passes it.
TEST_CASE_METHOD(ItemInputFixture, "httpCall_requestThatIsNoSingleMessage_isNotSent")
{
    std::vector<HttpRequest> requests(6);
    requests[0].headers = {{"X-Mark", secondRequest}};
    requests[1].headers = {{"X-Mark\r\nX-Other", "v"}};
    requests[2].target = "/a HTTP/1.1\r\nHost: x\r\n\r\nGET /b";
    requests[3].method = "GET /b HTTP/1.1\r\nHost: x\r\n\r\nGET";
    requests[4].headers = {{"X-Mark", std::string("a\0b", 3)}};
    requests[5].headers = {{"", "v"}};
    for (HttpRequest &request : requests) {
        if (request.target.empty()) {
            request.target = "/a";
        }
        const auto answer = this->run(httpCall(this->http, {"127.0.0.1", listenPort(*this->first.server)}, request, {}, ConnectionUse::Fresh));
        REQUIRE_FALSE(isOk(answer));
        CHECK(errorOf(answer).code == ErrorCode::InvalidRequest);
        CHECK(errorOf(answer).run == RunState::No);
    }
    CHECK(this->first.arrivals == 0);
}

// Guards against a forwarded request that its target reads in another way than this host.
TEST_CASE_METHOD(ItemInputFixture, "caller_requestOutsideTheGrammar_gets400AndIsNotForwarded")
{
    const std::string start = " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\nConnection: close\r\nX-Skylarkstage-Request-Id: q1\r\n";
    for (const std::string &text :
         {"POST /lookup/%zz" + start + "\r\n", "POST /lookup/\xc3\xa9" + start + "\r\n", "POST /lookup/x" + start + "X-Skylarkstage-Request-Id: q2\r\n\r\n"}) {
        RawCaller caller(this->loop, this->a->endpoint);
        caller.write(text);
        REQUIRE(this->runUntil(
            [&caller] {
                caller.poll();
                return caller.closed;
            },
            5s));
        INFO(text);
        CHECK(caller.received.starts_with("HTTP/1.1 400 "));
    }
    CHECK(this->allRuns().empty());
}
