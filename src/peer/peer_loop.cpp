/** @file peer_loop.cpp Task queue and outgoing connections of the peer RPC thread. */
#include "peer/peer_loop_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace skylark {

namespace {

/** Timeout for opening a connection. Link delays are a few milliseconds, so 1.5 s allows for one lost SYN, which TCP retransmits after 1 s. */
constexpr auto connectTimeout = 1500 * kj::MILLISECONDS;

/** Maximum size of one RPC message in 8-byte words: the largest blob, and the same amount again for all other fields. */
constexpr std::uint64_t maxMessageWords = 2 * maxBlobBytes / sizeof(std::uint64_t);

/** Maximum total size of the calls in progress on one incoming connection, in 8-byte words (16 MiB). A single larger call is still served. */
constexpr std::size_t maxWordsInProgress = (std::size_t{16} << 20U) / sizeof(std::uint64_t);

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageWords;
    return options;
}

/** Sets a socket option. Failures are only logged, because the system may not support the option. */
void setOption(kj::AsyncIoStream &stream, int level, int option, int value)
{
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                     stream.setsockopt(level, option, &value, sizeof(value));
                 })) {
        VLOG(1) << "[peer] socket option " << option << ": " << exception->getDescription().cStr();
    }
}

/**
 * Disables Nagle's algorithm and enables TCP keepalive. Keepalive detects after 30 s (15 s idle, then 3 probes 5 s apart) that the remote host has
 * disappeared without closing the connection; otherwise such connections would accumulate at a server.
 */
void setOptions(kj::AsyncIoStream &stream)
{
    setOption(stream, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, 15);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, 5);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, 3);
}

capnp::Capability::Client bootstrap(PeerConnection &connection)
{
    capnp::MallocMessageBuilder message(4);
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return connection.system.bootstrap(vat);
}

std::string endpointText(const Endpoint &peer)
{
    return peer.address + ":" + std::to_string(peer.port);
}

/** Destroys @p outgoing after the current event, because the event may belong to one of its own promises. */
void destroyLater(PeerLoop &loop, OutgoingConnection &&outgoing)
{
    loop.tasks.add(kj::evalLater([kept = kj::mv(outgoing)]() mutable {
        const OutgoingConnection destroyed = kj::mv(kept);
    }));
}

void setClient(PeerLoop &loop, const Endpoint &peer, std::uint64_t id, kj::Own<kj::AsyncIoStream> &&stream)
{
    const auto found = loop.connections.find(peer);
    if (found == loop.connections.end() || found->second.id != id) {
        return;
    }
    setOptions(*stream);
    found->second.client = kj::heap<PeerClient>(kj::mv(stream));
    loop.tasks.add(found->second.client->connection.network.onDisconnect().then([&loop, peer, id] {
        dropConnection(loop, peer, id, "peer closed the connection");
    }));
}

kj::Promise<void> connect(PeerLoop &loop, const Endpoint &peer, std::uint64_t id)
{
    auto address = networkAddress(loop, peer);
    auto connecting = address->connect().attach(kj::mv(address));
    return loop.io.provider->getTimer()
        .timeoutAfter(connectTimeout, kj::mv(connecting))
        .then(
            [&loop, peer, id](kj::Own<kj::AsyncIoStream> &&stream) {
                setClient(loop, peer, id, kj::mv(stream));
            },
            [&loop, peer, id](kj::Exception &&exception) {
                dropConnection(loop, peer, id, "connect failed");
                kj::throwFatalException(kj::mv(exception));
            });
}

} // namespace

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> &&connected)
    : stream(kj::mv(connected))
    , network(*this->stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
    , system(capnp::makeRpcClient(this->network))
{
}

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> &&accepted, wire::Peer::Client service)
    : stream(kj::mv(accepted))
    , network(*this->stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
    , system(capnp::makeRpcServer(this->network, kj::mv(service)))
{
    setOptions(*this->stream);
    // Above the limit, the connection is not read, so that a peer cannot exhaust the memory with large blobs.
    this->system.setFlowLimit(maxWordsInProgress);
}

PeerClient::PeerClient(kj::Own<kj::AsyncIoStream> &&connected)
    : connection(kj::mv(connected))
    , service(bootstrap(this->connection).castAs<wire::Peer>())
{
}

void PeerLoop::taskFailed(kj::Exception &&exception)
{
    LOG(WARNING) << "[peer] " << exception.getDescription().cStr();
}

void postTask(PeerTaskQueue &queue, PeerTask task)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
    {
        const std::scoped_lock lock(queue.mutex);
        if (queue.stopped) {
            return;
        }
        queue.tasks.push_back(kj::mv(task));
        wake = kj::mv(queue.wake);
    }
    if (wake.get() != nullptr) {
        wake->fulfill();
    }
}

void runTasks(PeerTaskQueue &queue, PeerLoop &loop)
{
    for (;;) {
        auto wakeup = kj::newPromiseAndCrossThreadFulfiller<void>();
        std::deque<PeerTask> readyTasks;
        {
            const std::scoped_lock lock(queue.mutex);
            readyTasks.swap(queue.tasks);
            if (queue.stopped) {
                break;
            }
            if (readyTasks.empty()) {
                queue.wake = kj::mv(wakeup.fulfiller);
            }
        }
        if (readyTasks.empty()) {
            wakeup.promise.wait(loop.io.waitScope);
        }
        for (PeerTask &task : readyTasks) {
            task(loop);
        }
    }
}

void stopTaskQueue(PeerTaskQueue &queue)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
    {
        const std::scoped_lock lock(queue.mutex);
        queue.stopped = true;
        wake = kj::mv(queue.wake);
    }
    if (wake.get() != nullptr) {
        wake->fulfill();
    }
}

kj::Promise<std::uint64_t> openConnection(PeerLoop &loop, const Endpoint &peer)
{
    auto found = loop.connections.find(peer);
    if (found == loop.connections.end()) {
        const std::uint64_t id = ++loop.lastConnectionId;
        found = loop.connections.emplace(peer, OutgoingConnection{id, connect(loop, peer, id).fork(), {}}).first;
    }
    return found->second.opened.addBranch().then([id = found->second.id] {
        return id;
    });
}

PeerClient &clientOf(PeerLoop &loop, const Endpoint &peer, std::uint64_t id)
{
    const auto found = loop.connections.find(peer);
    if (found == loop.connections.end() || found->second.id != id || found->second.client.get() == nullptr) {
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "connection was dropped"));
    }
    return *found->second.client;
}

void dropConnection(PeerLoop &loop, const Endpoint &peer, std::uint64_t id, const char *reason)
{
    const auto found = loop.connections.find(peer);
    if (found == loop.connections.end() || found->second.id != id) {
        return;
    }
    OutgoingConnection outgoing = kj::mv(found->second);
    loop.connections.erase(found);
    VLOG(1) << "[peer] connection to " << endpointText(peer) << " is dropped: " << reason;
    if (outgoing.client.get() != nullptr) {
        outgoing.client->calls.cancel(KJ_EXCEPTION(DISCONNECTED, reason));
    }
    destroyLater(loop, kj::mv(outgoing));
}

kj::Own<kj::NetworkAddress> networkAddress(PeerLoop &loop, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error) {
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "not an IP address", endpoint.address.c_str()));
    }
    const boost::asio::ip::tcp::endpoint tcpEndpoint(address, endpoint.port);
    return loop.io.provider->getNetwork().getSockaddr(tcpEndpoint.data(), static_cast<unsigned>(tcpEndpoint.size()));
}

} // namespace skylark
