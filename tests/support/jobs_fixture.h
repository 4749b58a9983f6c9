/** @file jobs_fixture.h Two hosts that accept and run batch jobs, and two replicas. */
#pragma once

#include "job/job_record_func.h"
#include "support/entry_fixture.h"

#include <boost/json.hpp>

namespace skylark::test {

using namespace std::chrono_literals;

/** Two hosts and two replicas. */
struct JobsFixture : EntryFixture {
    standin::Replica &first{this->addReplica("i-1")};
    standin::Replica &second{this->addReplica("i-2")};
    std::unique_ptr<EntryTestHost> a{std::make_unique<EntryTestHost>(*this, "front-1")};
    std::unique_ptr<EntryTestHost> b{std::make_unique<EntryTestHost>(*this, "front-2")};

    JobsFixture()
    {
        this->publishAll();
    }

    void publishAll()
    {
        std::set<SessionId> sessions;
        for (const auto &host : {&this->a, &this->b}) {
            if (*host) {
                sessions.insert((*host)->jobs->session);
            }
        }
        for (const auto &host : {&this->a, &this->b}) {
            if (*host) {
                (*host)->publish(sessions);
            }
        }
    }

    void setPlan(const standin::ReplicaPlan &plan)
    {
        for (standin::Replica *replica : {&this->first, &this->second}) {
            replica->plan = [plan](const HttpRequest & /*request*/, unsigned /*number*/) {
                return plan;
            };
        }
    }

    [[nodiscard]] static std::string bodyOf(const std::string &job, unsigned items, std::uint64_t tokens = 100)
    {
        std::string body = R"({"items":[)";
        for (unsigned i = 0; i < items; ++i) {
            const std::string id = job + "-" + std::to_string(i);
            boost::json::object item{{"id", id}, {"path", "/batch/" + id}, {"headers", {{"X-Mark", "m"}}}, {"body", "cXdlcnQ="}, {"tokens", tokens}};
            body.append(i > 0 ? "," : "").append(boost::json::serialize(item));
        }
        return body + "]}";
    }

    HttpResponse submit(EntryTestHost &host, const std::string &job, unsigned items, std::uint64_t tokens = 100)
    {
        HttpRequest request = EntryTestHost::request(job, "/batch/" + job);
        request.body = bodyOf(job, items, tokens);
        return host.send(std::move(request));
    }

    HttpResponse get(EntryTestHost &host, const std::string &target, std::chrono::milliseconds wait = 0ms)
    {
        HttpRequest request;
        request.target = target;
        request.headers = {{"Host", "h.example"}, {std::string(platform::headerWait), std::to_string(wait.count())}};
        return host.send(std::move(request));
    }

    HttpResponse end(EntryTestHost &host, const std::string &job)
    {
        HttpRequest request;
        request.method = "DELETE";
        request.target = "/-/lots/" + job;
        request.headers = {{"Host", "h.example"}};
        return host.send(std::move(request));
    }

    boost::json::object page(EntryTestHost &host, const std::string &job, unsigned after = 0, std::chrono::milliseconds wait = 0ms)
    {
        const HttpResponse answer = this->get(host, "/-/lots/" + job + "?after=" + std::to_string(after), wait);
        REQUIRE(answer.status == 200);
        return boost::json::parse(answer.body).get_object();
    }

    /** @return All results once there are @p count, or those that exist after @p limit. */
    boost::json::array results(EntryTestHost &host, const std::string &job, std::size_t count, std::chrono::milliseconds limit = 10s)
    {
        const TimePoint until = BootClock::now() + limit;
        for (;;) {
            boost::json::object read = this->page(host, job, 0, 300ms);
            if (read.at("results").get_array().size() >= count || BootClock::now() > until) {
                return read.at("results").get_array();
            }
        }
    }

    /** @return Number of runs of items on both replicas so far. */
    [[nodiscard]] std::size_t startedItems() const
    {
        return this->first.runs.size() + this->second.runs.size();
    }

    [[nodiscard]] bool running(std::size_t items) const
    {
        return this->first.active + this->second.active >= items;
    }

    /** Destroys the host that runs job j1 once a checkpoint is stored, and checks that the other host resumes the items from it. */
    void checkTakeoverAfterOwnerLoss()
    {
        REQUIRE(this->runUntil(
            [this] {
                return this->store->items.contains(jobCheckpointKey(JobId{"j1"}));
            },
            6s));
        this->a->runner.reset();
        this->a.reset();
        this->setPlan({.events = 400, .step = 1ms});
        this->publishAll();
        const auto read = this->results(*this->b, "j1", 3, 20s);
        REQUIRE(read.size() == 3);
        for (const auto &entry : read) {
            CHECK(std::string(entry.at("text").get_string()) == standin::wholeText(std::string(entry.at("id").get_string()), 400));
        }
        bool resumed = false;
        for (const auto &replica : this->replicas) {
            for (const auto &run : replica->runs) {
                resumed = resumed || run->lastEventId > 20;
            }
        }
        CHECK(resumed);
    }
};

} // namespace skylark::test
