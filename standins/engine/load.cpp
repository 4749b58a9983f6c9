/** @file load.cpp Models, orders and load reports of the engine stand-in. */
#include "engine_base.h"

#include "http/http_client_func.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

namespace skylark::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxOrders = 1000;
constexpr std::chrono::milliseconds weightsRetryDelay{1000};

/** Parsed model name of the form "name@version+adapter". */
struct ModelName {
    std::string name;
    std::string version; ///< Empty if the name has none.
    std::vector<std::string> adapters;
};

ModelName splitModelName(std::string text)
{
    ModelName parts;
    for (std::size_t plus = text.rfind('+'); plus != std::string::npos; plus = text.rfind('+')) {
        parts.adapters.push_back(text.substr(plus + 1));
        text.resize(plus);
    }
    const std::size_t at = text.find('@');
    parts.name = text.substr(0, at);
    parts.version = at == std::string::npos ? std::string() : text.substr(at + 1);
    return parts;
}

json::array wireModels(const std::map<std::string, EngineModel> &models)
{
    json::array array;
    for (const auto &[name, model] : models) {
        json::object entry;
        entry["name"] = name;
        entry["version"] = model.version;
        entry["adapters"] = json::array(model.adapters.begin(), model.adapters.end());
        array.push_back(std::move(entry));
    }
    return array;
}

/** Fetches the weights of a model; retries until the weight store grants the fetch. */
asio::awaitable<void> fetchWeights(Engine &engine, std::string model)
{
    const auto client = HttpClient::create(engine.loop.get_executor());
    for (;;) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/weights/fetch";
        request.body = R"({"model":")" + model + "\"}";
        const Endpoint endpoint{"127.0.0.1", engine.options.weightsPort};
        const auto answer = co_await httpCall(client, endpoint, std::move(request), HttpTimeouts{}, ConnectionUse::Fresh);
        if (isOk(answer) && valueOf(answer).status == 200) {
            co_return;
        }
        co_await sleepFor(engine.loop, weightsRetryDelay);
    }
}

asio::awaitable<void> loadModel(Engine &engine, std::string name, std::string version)
{
    if (engine.options.weightsPort != 0) {
        co_await fetchWeights(engine, name);
    }
    const double ms = static_cast<double>(engine.options.modelLoadTime.count()) / engine.options.timeScale;
    co_await sleepFor(engine.loop, std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    engine.models[name].version = version;
    sampleLoad(engine);
}

/** @return Whether the order is valid and was applied. Loading a model continues in the background. */
bool applyOrder(Engine &engine, const json::object &order)
{
    const std::string action = stringMember(order, "action");
    const std::string model = stringMember(order, "model");
    if (action == "load_model") {
        asio::co_spawn(engine.loop, loadModel(engine, model, stringMember(order, "version")), asio::detached);
    } else if (action == "unload_model") {
        engine.models.erase(model);
    } else if (action == "load_adapter" && engine.models.contains(model)) {
        engine.models[model].adapters.push_back(stringMember(order, "adapter"));
    } else if (action == "set_role") {
        engine.role = stringMember(order, "role");
    } else {
        return false;
    }
    sampleLoad(engine);
    return true;
}

} // namespace

void sampleLoad(Engine &engine)
{
    const auto now = std::chrono::steady_clock::now();
    const auto free = engine.options.slots - std::min<std::size_t>(engine.options.slots, engine.running.size());
    const auto starting = std::min(free, engine.waiting.size());
    LoadSample sample{now, static_cast<unsigned>(engine.running.size() + starting), static_cast<unsigned>(engine.waiting.size() - starting)};
    sample.draining = engine.faults.draining;
    sample.models = engine.models;
    sample.role = engine.role;
    engine.samples.push_back(std::move(sample));
    while (engine.samples.size() > 1 && engine.samples[1].at + engine.options.loadLag <= now) {
        engine.samples.pop_front();
    }
}

json::object loadReport(Engine &engine)
{
    sampleLoad(engine);
    const LoadSample &sample = engine.samples.front();
    json::object report;
    report["sequence"] = ++engine.reports;
    report["slots"] = engine.options.slots;
    report["running"] = sample.running;
    report["waiting"] = sample.waiting;
    report["step_ms"] = engine.stepMs;
    report["draining"] = sample.draining;
    report["role"] = sample.role;
    report["models"] = wireModels(sample.models);
    return report;
}

void addModels(Engine &engine, const std::string &list)
{
    std::size_t start = 0;
    while (start < list.size()) {
        const std::size_t end = std::min(list.find(',', start), list.size());
        ModelName parts = splitModelName(list.substr(start, end - start));
        engine.models[parts.name] = EngineModel{parts.version, std::move(parts.adapters)};
        start = end + 1;
    }
}

bool hasModel(const Engine &engine, const std::string &name)
{
    const ModelName parts = splitModelName(name);
    const auto found = engine.models.find(parts.name);
    if (found == engine.models.end() || (!parts.version.empty() && parts.version != found->second.version)) {
        return false;
    }
    const std::vector<std::string> &loaded = found->second.adapters;
    return std::all_of(parts.adapters.begin(), parts.adapters.end(), [&loaded](const std::string &adapter) {
        return std::find(loaded.begin(), loaded.end(), adapter) != loaded.end();
    });
}

HttpResponse handleOrder(Engine &engine, const HttpRequest &request)
{
    const std::string_view text = headerValue(request.headers, "x-fencing");
    std::uint64_t fencing = 0;
    std::from_chars(text.data(), text.data() + text.size(), fencing);
    if (engine.options.checksFencing && fencing < engine.fencing) {
        ++engine.counts.ordersRefused;
        return errorResponse(409, "stale_fencing", "order is outdated; the highest fencing number seen is " + std::to_string(engine.fencing), true);
    }
    auto order = parseJsonObject(request.body);
    if (!order || !applyOrder(engine, *order)) {
        return errorResponse(400, "invalid_order", request.body.substr(0, 200), true);
    }
    engine.fencing = std::max(engine.fencing, fencing);
    (*order)["fencing"] = fencing;
    if (engine.orders.size() < maxOrders) {
        engine.orders.push_back(std::move(*order));
    }
    return jsonResponse(200, json::object());
}

} // namespace skylark::standin
