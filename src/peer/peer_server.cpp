/** @file peer_server.cpp Server side of peer RPC, and the wire form of errors. */
#include "core/table/error_table.h"
#include "peer/peer_loop_base.h"

#include <glog/logging.h>

namespace skylark {

namespace {

/** Calls a handler with a reply function that may be called from any thread. @return Promise of the reply. */
template<typename T, typename Call>
kj::Promise<Boxed<T>> callHandler(Call call)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Boxed<T>>();
    auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Boxed<T>>>>(kj::mv(pair.fulfiller));
    call([fulfiller](Result<T> result) {
        (*fulfiller)->fulfill(box<T>(std::move(result)));
    });
    return kj::mv(pair.promise);
}

std::string textOf(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

Error unsupported()
{
    return makeError(ErrorCode::NotFound, "host does not serve this call");
}

/** Decodes incoming calls, passes them to the handlers and encodes the replies. */
struct PeerService final : public wire::Peer::Server {
    PeerHandlers &handlers;

    explicit PeerService(PeerHandlers &handlersIn)
        : handlers(handlersIn)
    {
    }

    kj::Promise<void> getBlob(GetBlobContext context) override
    {
        if (!this->handlers.getBlob) {
            writeFailure(context.getResults().initFailure(), unsupported());
            return kj::READY_NOW;
        }
        BlobId id{textOf(context.getParams().getId())};
        context.releaseParams();
        return callHandler<std::string>([this, &id](auto reply) {
                   this->handlers.getBlob(std::move(id), std::move(reply));
               })
            .then([context](Boxed<std::string> &&result) mutable {
                if (!isOk(*result)) {
                    writeFailure(context.getResults().initFailure(), errorOf(*result));
                    return;
                }
                const std::string &data = valueOf(*result);
                if (data.size() > maxBlobBytes) {
                    writeFailure(context.getResults().initFailure(), makeError(ErrorCode::PayloadTooLarge, "blob exceeds the size limit of a peer call"));
                    return;
                }
                context.getResults().setData(kj::arrayPtr(reinterpret_cast<const kj::byte *>(data.data()), data.size()));
            });
    }

    kj::Promise<void> putBlob(PutBlobContext context) override
    {
        if (!this->handlers.putBlob) {
            writeFailure(context.getResults().initFailure(), unsupported());
            return kj::READY_NOW;
        }
        const auto params = context.getParams();
        BlobId id{textOf(params.getId())};
        const auto bytes = params.getData();
        std::string data(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
        context.releaseParams();
        return callHandler<Done>([this, &id, &data](auto reply) {
                   this->handlers.putBlob(std::move(id), std::move(data), std::move(reply));
               })
            .then([context](Boxed<Done> &&result) mutable {
                if (!isOk(*result)) {
                    writeFailure(context.getResults().initFailure(), errorOf(*result));
                }
            });
    }

    kj::Promise<void> hasBlobs(HasBlobsContext context) override
    {
        if (!this->handlers.hasBlobs) {
            writeFailure(context.getResults().initFailure(), unsupported());
            return kj::READY_NOW;
        }
        std::vector<BlobId> ids;
        for (const auto id : context.getParams().getIds()) {
            ids.push_back(BlobId{textOf(id)});
        }
        context.releaseParams();
        return callHandler<std::vector<bool>>([this, &ids](auto reply) {
                   this->handlers.hasBlobs(std::move(ids), std::move(reply));
               })
            .then([context](Boxed<std::vector<bool>> &&result) mutable {
                if (!isOk(*result)) {
                    writeFailure(context.getResults().initFailure(), errorOf(*result));
                    return;
                }
                const std::vector<bool> &stored = valueOf(*result);
                auto out = context.getResults().initStored(static_cast<unsigned>(stored.size()));
                for (unsigned i = 0; i < out.size(); ++i) {
                    out.set(i, stored[i]);
                }
            });
    }

    kj::Promise<void> pullState(PullStateContext context) override
    {
        if (!this->handlers.pullState) {
            writeFailure(context.getResults().initFailure(), unsupported());
            return kj::READY_NOW;
        }
        const Revision known{context.getParams().getKnown()};
        const std::uint64_t cursor = context.getParams().getJobsCursor();
        return callHandler<StateBundle>([this, known, cursor](auto reply) {
                   this->handlers.pullState(known, cursor, std::move(reply));
               })
            .then([context](Boxed<StateBundle> &&result) mutable {
                if (!isOk(*result)) {
                    writeFailure(context.getResults().initFailure(), errorOf(*result));
                    return;
                }
                const StateBundle &bundle = valueOf(*result);
                auto out = context.getResults().initState();
                out.setRevision(bundle.revision.value);
                out.setDocuments(bundle.documents);
                out.setTargets(bundle.targets);
                out.setJobs(bundle.jobs);
                out.setJobsCursor(bundle.jobsCursor);
            });
    }
};

/** Delay before accepting again after a failure, such as a lack of file descriptors. */
constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;

/** Accepts connections until the loop is destroyed. */
kj::Promise<void> acceptNext(PeerLoop &loop, kj::ConnectionReceiver &listener, wire::Peer::Client service)
{
    return listener.accept().then(
        [&loop, &listener, service](kj::Own<kj::AsyncIoStream> &&stream) mutable -> kj::Promise<void> {
            auto connection = kj::heap<PeerConnection>(kj::mv(stream), service);
            auto ended = connection->network.onDisconnect();
            loop.tasks.add(ended.attach(kj::mv(connection)));
            return acceptNext(loop, listener, kj::mv(service));
        },
        [&loop, &listener, service](kj::Exception &&exception) mutable {
            LOG(WARNING) << "[peer] accept failed: " << exception.getDescription().cStr();
            return loop.io.provider->getTimer().afterDelay(acceptRetryDelay).then([&loop, &listener, service]() mutable {
                return acceptNext(loop, listener, kj::mv(service));
            });
        });
}

} // namespace

void writeFailure(wire::Failure::Builder out, const Error &error)
{
    out.setCode(kj::heapString(errorInfo(error.code).name.data(), errorInfo(error.code).name.size()));
    out.setDetail(error.detail);
    out.setMayHaveRun(error.run == RunState::Maybe);
}

Error readFailure(wire::Failure::Reader in)
{
    Error error = makeError(ErrorCode::Internal, textOf(in.getDetail()), in.getMayHaveRun() ? RunState::Maybe : RunState::No);
    const std::string name = textOf(in.getCode());
    for (const ErrorInfo &info : errorTable) {
        if (info.name == name) {
            error.code = info.code;
        }
    }
    return error;
}

Result<std::uint16_t> startServer(PeerLoop &loop, const Endpoint &listen, PeerHandlers &handlers)
{
    kj::Own<kj::ConnectionReceiver> listener;
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                     listener = networkAddress(loop, listen)->listen();
                 })) {
        const std::string listenAddress = listen.address + ":" + std::to_string(listen.port);
        return makeError(ErrorCode::Internal, "peer RPC address " + listenAddress + ": " + exception->getDescription().cStr());
    }
    const auto port = static_cast<std::uint16_t>(listener->getPort());
    kj::ConnectionReceiver &receiver = *listener;
    loop.tasks.add(acceptNext(loop, receiver, kj::heap<PeerService>(handlers)).attach(kj::mv(listener)));
    return port;
}

} // namespace skylark
