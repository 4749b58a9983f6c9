/** @file peer_loop.cpp Task queue and outgoing connections of the peer RPC thread. */
#include "peer/peer_loop_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace skylark {

namespace {

/** Limit of opening a connection. Links have a few milliseconds of delay, so this covers one lost SYN, which is sent again after 1 s. */
constexpr auto connectTimeout = 1500 * kj::MILLISECONDS;

/** Bound on one RPC message in 8-byte words: the largest blob and as much again for the rest. */
constexpr std::uint64_t maxMessageWords = 2 * maxBlobBytes / sizeof(std::uint64_t);

/** Bound on the calls in progress of one incoming connection in 8-byte words (16 MiB); a single larger call is still served. */
constexpr std::size_t maxWordsInProgress = (std::size_t{16} << 20U) / sizeof(std::uint64_t);

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageWords;
    return options;
}

/** Sets a TCP option; an option that the system lacks is left out. */
void setOption(kj::AsyncIoStream &stream, int level, int option, int value)
{
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                     stream.setsockopt(level, option, &value, sizeof(value));
                 })) {
        VLOG(1) << "[peer] socket option " << option << ": " << exception->getDescription().cStr();
    }
}

/** Sends small messages at once, and finds connections whose other side is gone without a word after 30 s, so that they do not collect at a server. */
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

std::string nameOf(const Endpoint &peer)
{
    return peer.address + ":" + std::to_string(peer.port);
}

/** Destroys @p entry after the present event, because the event may belong to one of its own promises. */
void destroyLater(PeerLoop &loop, PeerEntry &&entry)
{
    loop.tasks.add(kj::evalLater([kept = kj::mv(entry)]() mutable {
        const PeerEntry destroyed = kj::mv(kept);
    }));
}

void setClient(PeerLoop &loop, const Endpoint &peer, std::uint64_t id, kj::Own<kj::AsyncIoStream> &&stream)
{
    const auto found = loop.entries.find(peer);
    if (found == loop.entries.end() || found->second.id != id) {
        return;
    }
    setOptions(*stream);
    found->second.client = kj::heap<PeerClient>(kj::mv(stream));
    loop.tasks.add(found->second.client->connection.network.onDisconnect().then([&loop, peer, id] {
        dropEntry(loop, peer, id, "peer closed the connection");
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
                dropEntry(loop, peer, id, "connect failed");
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
    // Above the limit, further calls of the connection wait in the socket, so that a peer cannot fill the memory with large blobs.
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

void postTask(PeerInbox &inbox, PeerTask task)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
    {
        const std::scoped_lock lock(inbox.mutex);
        if (inbox.stopped) {
            return;
        }
        inbox.tasks.push_back(kj::mv(task));
        wake = kj::mv(inbox.wake);
    }
    if (wake.get() != nullptr) {
        wake->fulfill();
    }
}

void runTasks(PeerInbox &inbox, PeerLoop &loop)
{
    for (;;) {
        auto woken = kj::newPromiseAndCrossThreadFulfiller<void>();
        std::deque<PeerTask> taken;
        {
            const std::scoped_lock lock(inbox.mutex);
            taken.swap(inbox.tasks);
            if (inbox.stopped) {
                break;
            }
            if (taken.empty()) {
                inbox.wake = kj::mv(woken.fulfiller);
            }
        }
        if (taken.empty()) {
            woken.promise.wait(loop.io.waitScope);
        }
        for (PeerTask &task : taken) {
            task(loop);
        }
    }
}

void stopInbox(PeerInbox &inbox)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
    {
        const std::scoped_lock lock(inbox.mutex);
        inbox.stopped = true;
        wake = kj::mv(inbox.wake);
    }
    if (wake.get() != nullptr) {
        wake->fulfill();
    }
}

kj::Promise<std::uint64_t> openedEntry(PeerLoop &loop, const Endpoint &peer)
{
    auto found = loop.entries.find(peer);
    if (found == loop.entries.end()) {
        const std::uint64_t id = ++loop.lastEntryId;
        found = loop.entries.emplace(peer, PeerEntry{id, connect(loop, peer, id).fork(), {}}).first;
    }
    return found->second.opened.addBranch().then([id = found->second.id] {
        return id;
    });
}

PeerClient &clientOf(PeerLoop &loop, const Endpoint &peer, std::uint64_t id)
{
    const auto found = loop.entries.find(peer);
    if (found == loop.entries.end() || found->second.id != id || found->second.client.get() == nullptr) {
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "connection was dropped"));
    }
    return *found->second.client;
}

void dropEntry(PeerLoop &loop, const Endpoint &peer, std::uint64_t id, const char *reason)
{
    const auto found = loop.entries.find(peer);
    if (found == loop.entries.end() || found->second.id != id) {
        return;
    }
    PeerEntry entry = kj::mv(found->second);
    loop.entries.erase(found);
    VLOG(1) << "[peer] connection to " << nameOf(peer) << " is dropped: " << reason;
    if (entry.client.get() != nullptr) {
        entry.client->calls.cancel(KJ_EXCEPTION(DISCONNECTED, reason));
    }
    destroyLater(loop, kj::mv(entry));
}

kj::Own<kj::NetworkAddress> networkAddress(PeerLoop &loop, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error) {
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "not an IP number", endpoint.address.c_str()));
    }
    const boost::asio::ip::tcp::endpoint place(address, endpoint.port);
    return loop.io.provider->getNetwork().getSockaddr(place.data(), static_cast<unsigned>(place.size()));
}

} // namespace skylark
