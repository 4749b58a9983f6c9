/** @file status_codec.cpp Encoding and decoding of the datagrams between hosts. */
#include "peer/status_codec_func.h"

#include "peer.capnp.h"
#include "peer/datagram_pack_func.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/io.h>
#include <limits>

namespace skylark {

namespace {

/** Maximum size of an unpacked message in 8-byte words (512 KiB). Zeros can expand a thousandfold, so the datagram size does not limit it. */
constexpr std::uint64_t maxMessageWords = 65536;

std::string textOf(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

template<typename Id>
void writeCounts(capnp::List<wire::NamedCount>::Builder list, const std::vector<std::pair<Id, unsigned>> &counts)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setName(counts[i].first.value);
        list[i].setCount(counts[i].second);
    }
}

template<typename Id>
std::vector<std::pair<Id, unsigned>> readCounts(capnp::List<wire::NamedCount>::Reader list)
{
    std::vector<std::pair<Id, unsigned>> counts;
    for (const auto entry : list) {
        counts.emplace_back(Id{textOf(entry.getName())}, entry.getCount());
    }
    return counts;
}

void writeModel(wire::LoadedModel::Builder out, const LoadedModel &model)
{
    out.setName(model.name.value);
    out.setVersion(model.version);
    auto adapters = out.initAdapters(static_cast<unsigned>(model.adapters.size()));
    for (unsigned i = 0; i < adapters.size(); ++i) {
        adapters.set(i, model.adapters[i]);
    }
}

LoadedModel readModel(wire::LoadedModel::Reader in)
{
    LoadedModel model{ModelId{textOf(in.getName())}, textOf(in.getVersion()), {}};
    for (const auto adapter : in.getAdapters()) {
        model.adapters.push_back(textOf(adapter));
    }
    return model;
}

std::uint32_t ageMs(TimePoint since, TimePoint now)
{
    return millisecondsOnWire(std::chrono::duration_cast<std::chrono::milliseconds>(now - since));
}

void writeTarget(wire::TargetStatus::Builder out, const TargetStatus &target, TimePoint now)
{
    const LoadReport &report = target.report;
    out.setTarget(target.target.value);
    out.setLeaving(target.leaving);
    out.setBaselineStepMs(target.baselineStepMs);
    out.setReportSequence(report.sequence);
    out.setSlots(report.slots);
    out.setRunning(report.running);
    out.setWaiting(report.waiting);
    out.setStepMs(report.stepMs);
    out.setDraining(report.draining);
    out.setReportAgeMs(ageMs(report.receivedAt, now));
    auto models = out.initModels(static_cast<unsigned>(report.models.size()));
    for (unsigned i = 0; i < models.size(); ++i) {
        writeModel(models[i], report.models[i]);
    }
}

TargetStatus readTarget(wire::TargetStatus::Reader in, TimePoint now)
{
    TargetStatus target;
    LoadReport &report = target.report;
    target.target.value = textOf(in.getTarget());
    target.leaving = in.getLeaving();
    target.baselineStepMs = in.getBaselineStepMs();
    report.sequence = in.getReportSequence();
    report.slots = in.getSlots();
    report.running = in.getRunning();
    report.waiting = in.getWaiting();
    report.stepMs = in.getStepMs();
    report.draining = in.getDraining();
    report.receivedAt = now - std::chrono::milliseconds(in.getReportAgeMs());
    for (const auto model : in.getModels()) {
        report.models.push_back(readModel(model));
    }
    return target;
}

/** Writes the shared parts and, as the last one, the whole request; hosts of an earlier version take it for a part that no other request shares. */
void writeParts(wire::SuspectRun::Builder out, const PromptParts &prompt)
{
    const bool hasRequest = prompt.request != PromptPartId{};
    auto parts = out.initParts(static_cast<unsigned>(prompt.shared.size() + (hasRequest ? 1 : 0)));
    for (unsigned part = 0; part < prompt.shared.size(); ++part) {
        parts.set(part, prompt.shared[part].value);
    }
    if (hasRequest) {
        parts.set(parts.size() - 1, prompt.request.value);
    }
}

void writeCrash(wire::TargetCrash::Builder out, const TargetCrash &crash, TimePoint now)
{
    out.setTarget(crash.target.value);
    out.setAgeMs(ageMs(crash.at, now));
    auto runs = out.initRuns(static_cast<unsigned>(crash.runs.size()));
    for (unsigned i = 0; i < runs.size(); ++i) {
        const SuspectRun &run = crash.runs[i];
        runs[i].setOwn(run.prompt.own.value);
        runs[i].setBegun(run.phase == RunPhase::Begun);
        writeParts(runs[i], run.prompt);
    }
}

void writeQuarantine(wire::HostStatus::Builder out, const QuarantineReport &report, TimePoint now)
{
    auto crashes = out.initCrashes(static_cast<unsigned>(report.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        writeCrash(crashes[i], report.crashes[i], now);
    }
    auto sound = out.initSoundParts(static_cast<unsigned>(report.sound.size()));
    for (unsigned i = 0; i < sound.size(); ++i) {
        sound[i].setPart(report.sound[i].part.value);
        sound[i].setAgeMs(ageMs(report.sound[i].at, now));
    }
    auto parts = out.initQuarantinedParts(static_cast<unsigned>(report.quarantined.size()));
    for (unsigned i = 0; i < parts.size(); ++i) {
        const QuarantinedPart &entry = report.quarantined[i];
        parts[i].setPart(entry.part.value);
        parts[i].setAgeMs(ageMs(entry.since, now));
        parts[i].setLastsMs(ageMs(entry.since, entry.until));
        parts[i].setRounds(entry.rounds);
    }
}

void writeLimits(wire::HostStatus::Builder out, const std::vector<LimitObservation> &observations, TimePoint now)
{
    auto limits = out.initLimits(static_cast<unsigned>(observations.size()));
    for (unsigned i = 0; i < limits.size(); ++i) {
        limits[i].setTarget(observations[i].target.value);
        limits[i].setLimited(observations[i].perSecond.has_value());
        limits[i].setPerSecond(observations[i].perSecond.value_or(0));
        limits[i].setAgeMs(ageMs(observations[i].at, now));
    }
}

std::vector<LimitObservation> readLimits(wire::HostStatus::Reader in, TimePoint now)
{
    std::vector<LimitObservation> observations;
    for (const auto limit : in.getLimits()) {
        const double perSecond = limit.getPerSecond();
        LimitObservation observation{TargetId{textOf(limit.getTarget())}, {}, now - std::chrono::milliseconds(limit.getAgeMs())};
        if (limit.getLimited()) {
            observation.perSecond = std::isfinite(perSecond) ? std::max(0.0, perSecond) : 0.0;
        }
        observations.push_back(std::move(observation));
    }
    return observations;
}

TargetCrash readCrash(wire::TargetCrash::Reader in, TimePoint now)
{
    TargetCrash crash{TargetId{textOf(in.getTarget())}, now - std::chrono::milliseconds(in.getAgeMs()), {}};
    for (const auto run : in.getRuns()) {
        SuspectRun read;
        read.prompt.own.value = run.getOwn();
        read.phase = run.getBegun() ? RunPhase::Begun : RunPhase::Waiting;
        for (const std::uint64_t part : run.getParts()) {
            if (isWholeRequest({part})) {
                read.prompt.request = {part};
            } else {
                read.prompt.shared.push_back({part});
            }
        }
        crash.runs.push_back(std::move(read));
    }
    return crash;
}

QuarantineReport readQuarantine(wire::HostStatus::Reader in, TimePoint now)
{
    QuarantineReport report;
    for (const auto crash : in.getCrashes()) {
        report.crashes.push_back(readCrash(crash, now));
    }
    for (const auto sound : in.getSoundParts()) {
        report.sound.push_back({{sound.getPart()}, now - std::chrono::milliseconds(sound.getAgeMs())});
    }
    for (const auto entry : in.getQuarantinedParts()) {
        const TimePoint since = now - std::chrono::milliseconds(entry.getAgeMs());
        report.quarantined.push_back({{entry.getPart()}, since, since + std::chrono::milliseconds(entry.getLastsMs()), entry.getRounds()});
    }
    return report;
}

/** Encodes @p status with @p count of its targets, starting at index @p first and wrapping around. */
std::string encodeWithTargets(const HostStatus &status, TimePoint now, std::size_t first, std::size_t count)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::Datagram>().initStatus();
    out.setHost(status.host.value);
    out.setDomain(status.domain.value);
    out.setSession(status.session.value);
    out.setIncarnation(status.incarnation);
    out.setSequence(status.sequence);
    out.setSentAtMs(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()));
    out.setLeaving(status.leaving);
    out.setReady(status.ready);
    out.setLinksLost(status.linksLost);
    out.setConfigRevision(status.configRevision.value);
    out.setJobsCursor(status.jobsCursor);
    out.setBatchWaiting(status.batchWaiting);
    writeCounts(out.initBatchWaitingByService(static_cast<unsigned>(status.batchWaitingByService.size())), status.batchWaitingByService);
    auto targets = out.initTargets(static_cast<unsigned>(count));
    for (unsigned i = 0; i < count; ++i) {
        writeTarget(targets[i], status.targets[(first + i) % status.targets.size()], now);
    }
    writeCounts(out.initOnlineInFlight(static_cast<unsigned>(status.onlineInFlight.size())), status.onlineInFlight);
    writeCounts(out.initBatchInFlight(static_cast<unsigned>(status.batchInFlight.size())), status.batchInFlight);
    auto jobs = out.initJobRevisions(static_cast<unsigned>(status.jobRevisions.size()));
    for (unsigned i = 0; i < jobs.size(); ++i) {
        jobs[i].setName(status.jobRevisions[i].first.value);
        jobs[i].setRevision(status.jobRevisions[i].second);
    }
    writeCounts(out.initFreeByModel(static_cast<unsigned>(status.freeByModel.size())), status.freeByModel);
    writeQuarantine(out, status.quarantine, now);
    writeLimits(out, status.limits, now);
    out.setConfigProven(status.configProvenAt.has_value());
    // Rounded up, because a receiver must not take a proof for younger than it is.
    out.setConfigProofAgeMs(status.configProvenAt ? ageMs(*status.configProvenAt - std::chrono::milliseconds(1), now) : 0);
    return pack(message);
}

HostStatus readStatus(wire::HostStatus::Reader in, TimePoint now)
{
    HostStatus status;
    status.host.value = textOf(in.getHost());
    status.domain.value = textOf(in.getDomain());
    status.session.value = textOf(in.getSession());
    status.incarnation = in.getIncarnation();
    status.sequence = in.getSequence();
    status.sentAt = std::chrono::milliseconds(static_cast<std::int64_t>(in.getSentAtMs()));
    status.leaving = in.getLeaving();
    status.ready = in.getReady();
    status.linksLost = in.getLinksLost();
    status.configRevision.value = in.getConfigRevision();
    status.jobsCursor = in.getJobsCursor();
    status.batchWaiting = in.getBatchWaiting();
    status.batchWaitingByService = readCounts<ServiceId>(in.getBatchWaitingByService());
    for (const auto target : in.getTargets()) {
        status.targets.push_back(readTarget(target, now));
    }
    status.onlineInFlight = readCounts<TargetId>(in.getOnlineInFlight());
    status.batchInFlight = readCounts<TargetId>(in.getBatchInFlight());
    for (const auto job : in.getJobRevisions()) {
        status.jobRevisions.emplace_back(JobId{textOf(job.getName())}, job.getRevision());
    }
    status.freeByModel = readCounts<ModelId>(in.getFreeByModel());
    status.quarantine = readQuarantine(in, now);
    status.limits = readLimits(in, now);
    if (in.getConfigProven()) {
        status.configProvenAt = now - std::chrono::milliseconds(in.getConfigProofAgeMs());
    }
    return status;
}

OriginMessage readOrigin(wire::StreamOrigin::Reader in)
{
    return {HostId{textOf(in.getFrom())}, in.getStream(), {ServiceId{textOf(in.getService())}, SoftwareVersion{textOf(in.getVersion())}}};
}

Result<Datagram> readDatagram(wire::Datagram::Reader in, TimePoint now)
{
    if (in.isStatus()) {
        HostStatus status = readStatus(in.getStatus(), now);
        if (status.host.empty()) {
            return makeError(ErrorCode::ProtocolError, "status datagram has no host id");
        }
        return Datagram(std::move(status));
    }
    if (in.isYield()) {
        const auto yield = in.getYield();
        return Datagram(YieldMessage{HostId{textOf(yield.getFrom())}, TargetId{textOf(yield.getTarget())}, yield.getSlots()});
    }
    if (in.isQuotaRequest()) {
        const auto request = in.getQuotaRequest();
        return Datagram(
            QuotaRequestMessage{HostId{textOf(request.getFrom())}, WorkspaceId{textOf(request.getWorkspace())}, request.getNumber(), request.getTokens()});
    }
    if (in.isQuotaGrant()) {
        const auto grant = in.getQuotaGrant();
        return Datagram(QuotaGrantMessage{HostId{textOf(grant.getFrom())},
                                          WorkspaceId{textOf(grant.getWorkspace())},
                                          grant.getNumber(),
                                          grant.getTokens(),
                                          std::chrono::milliseconds(grant.getRetryAfterMs())});
    }
    if (in.isOriginRecord()) {
        OriginMessage record = readOrigin(in.getOriginRecord());
        if (record.origin.service.empty()) {
            return makeError(ErrorCode::ProtocolError, "record of a stream has no service");
        }
        return Datagram(OriginRecordMessage{std::move(record)});
    }
    if (in.isOriginQuestion()) {
        return Datagram(OriginQuestionMessage{HostId{textOf(in.getOriginQuestion().getFrom())}, in.getOriginQuestion().getStream()});
    }
    if (in.isOriginAnswer()) {
        return Datagram(OriginAnswerMessage{readOrigin(in.getOriginAnswer())});
    }
    return makeError(ErrorCode::ProtocolError, "unknown kind of datagram");
}

} // namespace

std::string encodeStatus(const HostStatus &status, TimePoint now)
{
    std::size_t count = status.targets.size();
    std::string bytes = encodeWithTargets(status, now, 0, count);
    while (bytes.size() > maxDatagramBytes && count > 0) {
        count /= 2;
        const std::size_t first = static_cast<std::size_t>(status.sequence) * std::max<std::size_t>(count, 1) % status.targets.size();
        bytes = encodeWithTargets(status, now, first, count);
    }
    return bytes;
}

Result<Datagram> decodeDatagram(std::string_view bytes, TimePoint now)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageWords;
    options.nestingLimit = 8;
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in, options);
        return readDatagram(reader.getRoot<wire::Datagram>(), now);
    } catch (const kj::Exception &exception) {
        return makeError(ErrorCode::ProtocolError, exception.getDescription().cStr());
    }
}

} // namespace skylark
