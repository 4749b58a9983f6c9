/** @file message_codec.cpp Encoding of the datagrams between hosts that hold one message, such as a question or an answer. */
#include "peer.capnp.h"
#include "peer/datagram_pack_func.h"
#include "peer/status_codec_func.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <limits>

namespace skylark {

namespace {

void writeOrigin(wire::StreamOrigin::Builder out, const OriginMessage &message)
{
    out.setFrom(message.from.value);
    out.setStream(message.stream);
    out.setService(message.origin.service.value);
    out.setVersion(message.origin.version.value);
}

} // namespace

std::string pack(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

std::uint32_t millisecondsOnWire(std::chrono::milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::string encodeYield(const YieldMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Datagram>().initYield();
    out.setFrom(message.from.value);
    out.setTarget(message.target.value);
    out.setSlots(message.slots);
    return pack(builder);
}

std::string encodeQuotaRequest(const QuotaRequestMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Datagram>().initQuotaRequest();
    out.setFrom(message.from.value);
    out.setWorkspace(message.workspace.value);
    out.setNumber(message.number);
    out.setTokens(message.tokens);
    return pack(builder);
}

std::string encodeQuotaGrant(const QuotaGrantMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Datagram>().initQuotaGrant();
    out.setFrom(message.from.value);
    out.setWorkspace(message.workspace.value);
    out.setNumber(message.number);
    out.setTokens(message.tokens);
    out.setRetryAfterMs(millisecondsOnWire(message.retryAfter));
    return pack(builder);
}

std::string encodeOriginRecord(const OriginMessage &message)
{
    capnp::MallocMessageBuilder builder;
    writeOrigin(builder.initRoot<wire::Datagram>().initOriginRecord(), message);
    return pack(builder);
}

std::string encodeOriginQuestion(const OriginQuestionMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Datagram>().initOriginQuestion();
    out.setFrom(message.from.value);
    out.setStream(message.stream);
    return pack(builder);
}

std::string encodeOriginAnswer(const OriginMessage &message)
{
    capnp::MallocMessageBuilder builder;
    writeOrigin(builder.initRoot<wire::Datagram>().initOriginAnswer(), message);
    return pack(builder);
}

} // namespace skylark
