package org.geraniumstand.peer.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.AppliedGeneration;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberState;
import org.geraniumstand.model.member.MemberUpdate;
import org.geraniumstand.model.relay.CrashEvidence;
import org.geraniumstand.model.relay.CrashReport;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.LimitShare;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaGrant;
import org.geraniumstand.model.relay.QuotaHolding;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.ServerLimit;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.model.relay.SlownessNews;
import org.geraniumstand.model.relay.SoundPart;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.relay.WaitingCalls;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.peer.EncodedMessage;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.StreamState;
import org.junit.jupiter.api.Test;

final class MessageCodecsTest {
    private static final int UNKNOWN_TYPE = 9_999;
    private static final int STORE_UPDATE_TYPE = 23;

    @Property(tries = 1_000, seed = "11")
    void decodesEveryEncodedMessage(@ForAll("messages") PeerMessage message) {
        assertThat(MessageCodecs.decode(MessageCodecs.encode(message)), is(Result.ok(Optional.of(message))));
    }

    @Property(tries = 1_000, seed = "12")
    void rejectsTruncatedMessage(@ForAll("messages") PeerMessage message, @ForAll double fraction) {
        byte[] encoded = MessageCodecs.encode(message);
        int length = (int) (Math.abs(fraction % 1) * encoded.length);
        assertThat(MessageCodecs.decode(Arrays.copyOf(encoded, length)).error().isPresent(), is(true));
    }

    @Property(tries = 2_000, seed = "13")
    void decodingRandomBytesDoesNotThrow(@ForAll @Size(max = 300) byte[] bytes) {
        Result<Optional<PeerMessage>, String> result = MessageCodecs.decode(bytes);
        assertThat(result.value().isPresent() != result.error().isPresent(), is(true));
    }

    @Property(tries = 1_000, seed = "14")
    void decodingCorruptedMessageDoesNotThrow(
            @ForAll("messages") PeerMessage message, @ForAll int index, @ForAll byte value) {
        byte[] bytes = MessageCodecs.encode(message);
        bytes[Math.floorMod(index, bytes.length)] = value;
        Result<Optional<PeerMessage>, String> result = MessageCodecs.decode(bytes);
        assertThat(result.value().isPresent() != result.error().isPresent(), is(true));
    }

    @Test
    void skipsFieldsAddedByLaterProtocolLevel() {
        byte[] later = new FieldWriter()
                .number(9)
                .fields(4)
                .text("team")
                .text("request")
                .text("added later")
                .fields(2)
                .number(1)
                .flag(true)
                .toBytes();
        assertThat(
                MessageCodecs.decode(later),
                is(Result.ok(Optional.of(new PeerMessage.StreamHandoverAck("team", "request")))));
    }

    @Test
    void readsFieldsMissingFromEarlierProtocolLevelAsZero() {
        byte[] earlier =
                new FieldWriter().number(1).fields(2).number(3).number(4).toBytes();
        assertThat(MessageCodecs.decode(earlier), is(Result.ok(Optional.of(new PeerMessage.Heartbeat(3, 4, 0, 0, 0)))));
    }

    /** An earlier build sends five fields, without the era. */
    @Test
    void readsStoreUpdateOfAnEarlierBuildAsOneWithoutEra() {
        byte[] earlier = new FieldWriter()
                .number(STORE_UPDATE_TYPE)
                .fields(5)
                .number(100)
                .number(120)
                .flag(false)
                .flag(false)
                .list(
                        List.of("key"),
                        (out, key) ->
                                out.fields(4).text(key).flag(true).text("value").number(110))
                .toBytes();
        StoreRevision changed = new StoreRevision(StoreRevision.UNKNOWN_ERA, 110);
        assertThat(
                MessageCodecs.decode(earlier),
                is(Result.ok(Optional.of(new PeerMessage.StoreUpdate(
                        new StoreRevision(StoreRevision.UNKNOWN_ERA, 100),
                        new StoreRevision(StoreRevision.UNKNOWN_ERA, 120),
                        false,
                        List.of(new RevisionStore.Change("key", Optional.of("value"), changed)))))));
    }

    /** A build without grants sends 12 fields. */
    @Test
    void readsQuotaUsageReportOfAnEarlierBuildAsOneWithoutGrants() {
        PeerMessage.QuotaUsageReport current = new PeerMessage.QuotaUsageReport(
                List.of(new TeamUsage(new TeamId("t"), 7)),
                List.of(),
                List.of(),
                CrashEvidence.NONE,
                List.of(),
                List.of(),
                true,
                List.of(),
                QuotaRequest.NONE);
        byte[] bytes = MessageCodecs.encode(current);
        byte[] earlier = Arrays.copyOf(bytes, bytes.length - QuotaFields.REQUEST_COUNT);
        earlier[3] = (byte) (bytes[3] - QuotaFields.REQUEST_COUNT);

        assertThat(MessageCodecs.decode(earlier), is(Result.ok(Optional.of(current))));
    }

    @Test
    void skipsMessageTypesOfLaterProtocolLevel() {
        byte[] later =
                new FieldWriter().number(UNKNOWN_TYPE).fields(1).text("new").toBytes();
        assertThat(MessageCodecs.decode(later), is(Result.ok(Optional.empty())));
    }

    @Provide
    Arbitrary<PeerMessage> messages() {
        return Arbitraries.oneOf(
                Combinators.combine(numbers(), numbers(), numbers(), numbers(), numbers())
                        .as(PeerMessage.Heartbeat::new),
                memberUpdates().list().ofMaxSize(5).map(PeerMessage.MembershipUpdate::new),
                Combinators.combine(processes(), numbers())
                        .as(AppliedGeneration::new)
                        .list()
                        .ofMaxSize(5)
                        .map(PeerMessage.AppliedGenerationsUpdate::new),
                numbers().map(PeerMessage.ConfigurationRequest::new),
                texts().map(PeerMessage.ConfigurationResponse::new),
                evidenceRows().list().ofMaxSize(4).map(PeerMessage.EvidenceUpdate::new),
                badVersions().list().ofMaxSize(4).map(PeerMessage.BadVersionsUpdate::new),
                grants().list().ofMaxSize(4).map(PeerMessage.GrantUpdate::new),
                demands().list().ofMaxSize(4).map(PeerMessage.DemandReport::new),
                streamStates().map(PeerMessage.StreamHandover::new),
                Combinators.combine(texts(), texts()).as(PeerMessage.StreamHandoverAck::new),
                Combinators.combine(texts(), texts()).as(PeerMessage.StreamLookup::new),
                fleetChanges().map(PeerMessage.FleetUpdate::new),
                Combinators.combine(
                                Combinators.combine(teamUsages(), teamUsages(), quotaRequests())
                                        .as(ReportParts::new),
                                inFlightCounts(),
                                lostServers(),
                                crashEvidence(),
                                limitDemands(),
                                waitingCalls(),
                                Arbitraries.of(true, false))
                        .as((parts, inFlight, lost, evidence, limits, waiting, needsLevels) ->
                                new PeerMessage.QuotaUsageReport(
                                        parts.usages(),
                                        inFlight,
                                        lost,
                                        evidence,
                                        limits,
                                        waiting,
                                        needsLevels,
                                        parts.earlier(),
                                        parts.request())),
                Combinators.combine(
                                Combinators.combine(teamUsages(), integers(), quotaAnswers())
                                        .as(PeerMessageParts::new),
                                inFlightCounts(),
                                lostServers(),
                                crashEvidence(),
                                limitShares(),
                                waitingCalls(),
                                quotaLevels())
                        .as((parts, inFlight, lost, evidence, limits, waiting, levels) ->
                                new PeerMessage.AggregateQuotaUsage(
                                        parts.usages(),
                                        parts.count(),
                                        inFlight,
                                        lost,
                                        evidence,
                                        limits,
                                        waiting,
                                        levels,
                                        parts.answer())),
                Combinators.combine(teamUsages(), quotaRequests()).as(PeerMessage.QuotaUnitsRequest::new),
                Combinators.combine(integers(), quotaAnswers()).as(PeerMessage.QuotaUnitsAnswer::new),
                windows().map(PeerMessage.RequestCountReport::new),
                Combinators.combine(numbers(), numbers())
                        .as(WindowTotal::new)
                        .list()
                        .ofMaxSize(4)
                        .map(PeerMessage.RequestCountAck::new),
                numbers().map(PeerMessage.RelayConfigurationVersion::new),
                numbers().map(PeerMessage.RelayConfigurationRequest::new),
                storeUpdates(),
                Combinators.combine(numbers(), texts()).as(PeerMessage.RelayConfigurationResponse::new),
                Combinators.combine(texts(), texts()).as(PeerMessage.StreamFound::new),
                Combinators.combine(processes(), numbers(), contents()).as(PeerMessage.BroadcastEnvelope::new));
    }

    private record PeerMessageParts(List<TeamUsage> usages, int count, QuotaAnswer answer) {}

    private record ReportParts(List<TeamUsage> usages, List<TeamUsage> earlier, QuotaRequest request) {}

    private static Arbitrary<QuotaRequest> quotaRequests() {
        Arbitrary<List<QuotaHolding>> holdings = Combinators.combine(
                        names().map(TeamId::new), numbers(), numbers(), numbers(), integers())
                .as(QuotaHolding::new)
                .list()
                .ofMaxSize(4);
        return Combinators.combine(numbers(), numbers(), holdings, teamLevels(), numbers(), Arbitraries.of(true, false))
                .as(QuotaRequest::new);
    }

    private static Arbitrary<QuotaAnswer> quotaAnswers() {
        Arbitrary<List<QuotaGrant>> grants = Combinators.combine(
                        names().map(TeamId::new), numbers(), numbers(), numbers())
                .as(QuotaGrant::new)
                .list()
                .ofMaxSize(4);
        return Combinators.combine(numbers(), Arbitraries.of(true, false), teamLevels(), grants, numbers())
                .as(QuotaAnswer::new);
    }

    private static Arbitrary<List<TeamLevel>> teamLevels() {
        return Combinators.combine(names().map(TeamId::new), numbers(), numbers())
                .as(TeamLevel::new)
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<QuotaLevels> quotaLevels() {
        return Combinators.combine(Arbitraries.of(true, false), teamLevels()).as(QuotaLevels::new);
    }

    private static Arbitrary<PeerMessage.StoreUpdate> storeUpdates() {
        return Arbitraries.longs()
                .between(StoreRevision.UNKNOWN_ERA, 1_000)
                .flatMap(era -> Combinators.combine(
                                revisions(era),
                                revisions(era),
                                Arbitraries.of(true, false),
                                changes(era).list().ofMaxSize(4))
                        .as(PeerMessage.StoreUpdate::new));
    }

    private static Arbitrary<StoreRevision> revisions(long era) {
        return numbers().map(number -> new StoreRevision(era, number));
    }

    private static Arbitrary<MemberUpdate> memberUpdates() {
        Arbitrary<Member> members = Combinators.combine(
                        processes(),
                        names(),
                        texts(),
                        integers(),
                        integers(),
                        integers(),
                        integers(),
                        Arbitraries.of(true, false))
                .as((id, dataCentre, address, callerPort, peerPort, operatorPort, level, stopping) -> new Member(
                        id,
                        new DataCentreId(dataCentre),
                        address,
                        callerPort,
                        peerPort,
                        operatorPort,
                        level,
                        stopping));
        return Combinators.combine(members, numbers(), Arbitraries.of(MemberState.class))
                .as(MemberUpdate::new);
    }

    private static Arbitrary<List<LostServer>> lostServers() {
        return Combinators.combine(names(), numbers(), Arbitraries.integers())
                .as((server, age, processes) -> new LostServer(new ServerId(server), age, processes))
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<ServerLimit> serverLimits() {
        return Combinators.combine(names(), numbers(), rates(), numbers())
                .as((server, start, perSecond, age) -> new ServerLimit(new ServerId(server), start, perSecond, age));
    }

    /** Rates that the codec does not round, and no limit. */
    private static Arbitrary<Double> rates() {
        return Arbitraries.of(0.0, 0.25, 1.5, 40.0, 1e9, Double.POSITIVE_INFINITY);
    }

    private static Arbitrary<List<LimitDemand>> limitDemands() {
        return Combinators.combine(serverLimits(), Arbitraries.of(0.0, 0.5, 300.0))
                .as(LimitDemand::new)
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<List<LimitShare>> limitShares() {
        return Combinators.combine(
                        serverLimits(),
                        Arbitraries.of(OptionalDouble.empty(), OptionalDouble.of(0), OptionalDouble.of(0.125)))
                .as(LimitShare::new)
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<CrashEvidence> crashEvidence() {
        Arbitrary<List<ServicePart>> parts = serviceParts().list().ofMaxSize(3);
        return Combinators.combine(
                        Combinators.combine(names(), numbers(), parts, numbers())
                                .as((server, request, shared, age) ->
                                        new CrashReport(new ServerId(server), request, shared, age))
                                .list()
                                .ofMaxSize(3),
                        parts,
                        Combinators.combine(serviceParts(), numbers())
                                .as(SoundPart::new)
                                .list()
                                .ofMaxSize(3),
                        Combinators.combine(parts, numbers(), numbers(), integers())
                                .as(QuarantinedPrompt::new)
                                .list()
                                .ofMaxSize(3),
                        numbers())
                .as(CrashEvidence::new);
    }

    private static Arbitrary<ServicePart> serviceParts() {
        return Combinators.combine(names(), numbers())
                .as((service, part) -> new ServicePart(new ServiceId(service), part));
    }

    private static Arbitrary<List<WaitingCalls>> waitingCalls() {
        return Combinators.combine(names(), integers(), names(), integers(), integers(), numbers())
                .as((service, rank, team, calls, sent, work) ->
                        new WaitingCalls(new ServiceId(service), rank, team, calls, sent, work))
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<List<ServerInFlight>> inFlightCounts() {
        Arbitrary<Optional<SlownessNews>> news = Combinators.combine(
                        Arbitraries.integers().between(1, 100_000), numbers())
                .as(SlownessNews::new)
                .optional();
        return Combinators.combine(names(), integers(), numbers(), news)
                .as((server, calls, tokens, slowness) ->
                        new ServerInFlight(new ServerId(server), calls, tokens, slowness))
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<List<TeamUsage>> teamUsages() {
        return Combinators.combine(names(), numbers())
                .as((team, units) -> new TeamUsage(new TeamId(team), units))
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<List<WindowCounts>> windows() {
        Arbitrary<Map<TeamId, Long>> counts =
                Arbitraries.maps(names().map(TeamId::new), numbers()).ofMaxSize(4);
        return Combinators.combine(numbers(), counts)
                .as(WindowCounts::new)
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<RevisionStore.Change> changes(long era) {
        return Combinators.combine(texts(), texts().optional(), revisions(era)).as(RevisionStore.Change::new);
    }

    private static Arbitrary<EvidenceRow> evidenceRows() {
        Arbitrary<EvidenceKey> keys = Combinators.combine(processes(), names(), names(), names())
                .as((process, service, version, route) ->
                        new EvidenceKey(process, new ServiceId(service), new VersionId(version), new RouteId(route)));
        Arbitrary<List<Long>> buckets =
                Arbitraries.longs().between(0, 1_000).list().ofMaxSize(48);
        return Combinators.combine(keys, numbers(), numbers(), buckets).as(EvidenceRow::new);
    }

    private static Arbitrary<BadVersion> badVersions() {
        return Combinators.combine(names(), names(), names(), texts())
                .as((move, service, version, reason) ->
                        new BadVersion(new MoveId(move), new ServiceId(service), new VersionId(version), reason));
    }

    private static Arbitrary<Grant> grants() {
        return Combinators.combine(names(), processes(), integers(), integers(), Arbitraries.of(true, false))
                .as((server, holder, concurrency, validMillis, warm) ->
                        new Grant(new ServerId(server), holder, concurrency, validMillis, warm));
    }

    private static Arbitrary<Demand> demands() {
        return Combinators.combine(names(), processes(), integers(), integers())
                .as((server, process, inFlight, wanted) -> new Demand(new ServerId(server), process, inFlight, wanted));
    }

    private static Arbitrary<StreamState> streamStates() {
        return Combinators.combine(
                        texts().list().ofSize(5),
                        integers(),
                        integers(),
                        numbers(),
                        texts().list().ofMaxSize(3))
                .as((values, tokens, last, remaining, events) -> new StreamState(
                        values.get(0),
                        values.get(1),
                        values.get(2),
                        values.get(3),
                        values.get(4),
                        tokens,
                        last,
                        remaining,
                        events));
    }

    private static Arbitrary<FleetChange> fleetChanges() {
        Arbitrary<BackendServer> servers = Combinators.combine(
                        names().list().ofSize(5), texts(), integers(), integers(), Arbitraries.of(true, false))
                .as((ids, text, cents, port, draining) -> new BackendServer(
                        new ServerId(ids.get(0)),
                        new ServiceId(ids.get(1)),
                        new VersionId(ids.get(2)),
                        new DataCentreId(ids.get(3)),
                        new HostId(ids.get(4)),
                        text,
                        !draining,
                        cents,
                        text,
                        port,
                        draining));
        Arbitrary<ReclaimNotice> notices =
                Combinators.combine(names().map(HostId::new), numbers()).as(ReclaimNotice::new);
        return Combinators.combine(
                        servers.list().ofMaxSize(3),
                        names().map(ServerId::new).list().ofMaxSize(3),
                        notices.list().ofMaxSize(3))
                .as(FleetChange::new);
    }

    private static Arbitrary<EncodedMessage> contents() {
        return Arbitraries.bytes().array(byte[].class).ofMaxSize(50).map(EncodedMessage::of);
    }

    private static Arbitrary<ProcessId> processes() {
        return names().map(ProcessId::new);
    }

    private static Arbitrary<String> names() {
        return Arbitraries.strings().ofMinLength(1).ofMaxLength(12).alpha();
    }

    private static Arbitrary<String> texts() {
        return Arbitraries.strings().ofMaxLength(20);
    }

    private static Arbitrary<Long> numbers() {
        return Arbitraries.longs();
    }

    private static Arbitrary<Integer> integers() {
        return Arbitraries.integers();
    }
}
