/** @file engine_base.h State of the engine stand-in: sequences, step loop, faults and counters. */
#pragma once

#include "cache_base.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylark::standin {

/** Parameters of the engine, above all of its step time model; see docs/engine-model.md. */
struct EngineOptions {
    unsigned slots{8}; ///< Maximum number of sequences that run at the same time.
    double stepBaseMs{25}; ///< Constant part of the time of one step.
    double stepPerSequenceMs{0.6}; ///< Time that each running sequence adds to a step.
    double prefillMsPerToken{0.05}; ///< Time that each uncached prompt token adds to the step that admits it.
    double timeScale{1}; ///< Divisor of all step and load times.
    std::chrono::milliseconds loadLag{200}; ///< Delay from a change of the load to its report.
    std::chrono::milliseconds modelLoadTime{2000}; ///< Time to load a model, before it is divided by @c timeScale.
    bool checksFencing{true}; ///< Whether orders with an outdated fencing number are refused.
    std::uint16_t weightsPort{0}; ///< Port of the weight store on 127.0.0.1; 0 to load models without it.
};

/** Faults set by POST /faults. */
struct EngineFaults {
    std::string dieOn; ///< The process exits when it runs a prompt that contains this; empty for never.
    std::string rejectOn; ///< Prompts that contain this get status 400; empty for none.
    std::string failOn; ///< Prompts that contain this get status 500; empty for none.
    bool draining{false}; ///< Whether new generation requests are refused.
    double slowFactor{1}; ///< Factor by which the step time is multiplied.
    unsigned cutAfterTokens{0}; ///< Number of tokens after which streams are cut off; 0 for never.
    bool wrongId{false}; ///< Whether responses carry another request's id.
};

/** Counters of the requests with one value of the body's member "user". */
struct UserCounts {
    std::uint64_t started{0}; ///< Sequences that were given a slot.
    std::uint64_t finished{0}; ///< Sequences that generated all their tokens.
    std::uint64_t tokens{0}; ///< Tokens generated.
};

/** Counters of the engine since its start. */
struct EngineCounts {
    std::uint64_t started{0}; ///< Sequences that were given a slot.
    std::uint64_t finished{0}; ///< Sequences that generated all their tokens.
    std::uint64_t cancelled{0}; ///< Sequences cancelled before they finished.
    std::uint64_t refused{0}; ///< Requests refused with "x-not-run".
    std::uint64_t tokens{0}; ///< Tokens generated.
    std::uint64_t onlineTokens{0}; ///< Tokens generated for requests with the header "x-skylark-kind: online".
    std::vector<double> onlineWaitMs; ///< Queueing time of each online request that found no free slot.
    std::uint64_t tokensRegenerated{0}; ///< Tokens that an earlier sequence of the same user and prompt had generated already.
    std::uint64_t prefillTokens{0}; ///< Prompt tokens computed.
    std::uint64_t cachedTokens{0}; ///< Prompt tokens found in the prefix cache.
    std::uint64_t steps{0};
    unsigned maxWaiting{0}; ///< Highest number of requests that waited for a slot at the same time.
    std::uint64_t ordersRefused{0}; ///< Orders refused because of an outdated fencing number.
    std::map<std::string, UserCounts> users; ///< Counters by the body's member "user".
    std::map<std::pair<std::string, std::uint64_t>, unsigned> maxGenerated; ///< Highest token count reached, by user and prompt hash.
};

/** Generation request that waits for a slot or runs. */
struct Sequence {
    explicit Sequence(boost::asio::io_context &loop)
        : wake(loop, SteadyTime::max())
    {
    }

    std::string id; ///< Value of the header "x-request-id".
    bool online{false}; ///< Whether the request has the header "x-skylark-kind: online".
    std::optional<SteadyTime> blockedSince; ///< Arrival time, set only for an online request that found no free slot.
    std::string user; ///< Body member "user".
    std::string prompt;
    std::uint64_t promptHash{0}; ///< hash64() of the prompt.
    unsigned promptTokens{0}; ///< Prompt length in tokens.
    unsigned cachedTokens{0}; ///< Prompt tokens found in the prefix cache.
    unsigned next{0}; ///< Index of the next token.
    unsigned maxTokens{0}; ///< Number of tokens of the complete output, including those of "continue_from".
    unsigned nextUnsent{0}; ///< Index of the first token that is not part of a response yet.
    bool finished{false}; ///< Whether all tokens are generated.
    bool cancelled{false}; ///< Whether it ended before all tokens were generated.
    boost::asio::steady_timer wake; ///< Never expires; cancelled at each state change to wake the response.
};

using SequencePtr = std::shared_ptr<Sequence>;

/** One loaded model. */
struct EngineModel {
    std::string version;
    std::vector<std::string> adapters; ///< Names of the loaded adapters.
};

/** Load of the engine at one point in time. */
struct LoadSample {
    SteadyTime at;
    unsigned running{0}; ///< Sequences with a slot, and waiting ones that the next step admits.
    unsigned waiting{0}; ///< Sequences that the next step leaves without a slot.
    bool draining{false}; ///< Whether new generation requests are refused.
    std::map<std::string, EngineModel> models; ///< Loaded models by name.
    std::string role;
};

/** State of the stand-in; not thread-safe, used only on the thread of its event loop. */
struct Engine {
    explicit Engine(boost::asio::io_context &loop)
        : loop(loop)
        , wake(loop, SteadyTime::max())
    {
    }

    boost::asio::io_context &loop;
    boost::asio::steady_timer wake; ///< Never expires; cancelled when a request arrives to wake the step loop.
    EngineOptions options;
    EngineFaults faults;
    EngineCounts counts;
    PrefixCache cache;
    std::deque<SequencePtr> waiting; ///< Requests without a slot, in order of arrival.
    std::vector<SequencePtr> running; ///< Requests with a slot.
    std::map<std::string, EngineModel> models; ///< Loaded models by name.
    std::string role{"mixed"}; ///< Role set by the last order "set_role".
    double stepMs{0}; ///< Moving average of the step time.
    std::deque<LoadSample> samples; ///< Load history, oldest first; the first sample is the one to report.
    std::uint64_t reports{0}; ///< Number of load reports served; the sequence number of the last one.
    std::uint64_t fencing{0}; ///< Highest fencing number of an accepted order.
    boost::json::array orders; ///< Accepted orders with their fencing numbers; the first 1000.
    std::map<std::weak_ptr<HttpServerConnection>, bool, std::owner_less<>> connections; ///< Open connections and whether each gets no responses.
};

/** Runs the step loop; does not return. */
boost::asio::awaitable<void> runSteps(Engine &engine);

/** Queues a request; a later step gives it a slot. */
void submit(Engine &engine, const SequencePtr &sequence);

/** Cancels a request that has not finished; its slot is free from the next step on. */
void cancel(Engine &engine, const SequencePtr &sequence);

/** @return The waiting or running request with this id, or null. */
[[nodiscard]] SequencePtr findSequence(const Engine &engine, const std::string &id);

/** Records the current load for the delayed load report. */
void sampleLoad(Engine &engine);

/** @return The load report in wire format; its load is EngineOptions::loadLag old. */
[[nodiscard]] boost::json::object loadReport(Engine &engine);

/** Marks the models of a list such as "name@version+adapter,name2@version" as loaded. */
void addModels(Engine &engine, const std::string &list);

/** @return Whether the model that a request names, as "name", "name@version" or "name@version+adapter", is loaded. */
[[nodiscard]] bool hasModel(const Engine &engine, const std::string &name);

/** Handles POST /v1/orders: loads or unloads a model, loads an adapter or sets the role. */
[[nodiscard]] HttpResponse handleOrder(Engine &engine, const HttpRequest &request);

/** Handles POST /faults and GET /stats. @return The response, or nothing for another path. */
[[nodiscard]] std::optional<HttpResponse> handleControl(Engine &engine, const HttpRequest &request, const HttpResponder &responder);

/** Handles any request to the engine. */
boost::asio::awaitable<void> handleEngine(Engine &engine, HttpRequest request, HttpResponder &responder);

} // namespace skylark::standin
