package org.geraniumstand.peer.codec;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.evidence.LatencyBuckets;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.AppliedGeneration;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberState;
import org.geraniumstand.model.member.MemberUpdate;

/** Encodes and decodes the model records that messages carry. */
final class ModelRecords {
    // The list index encodes the state on the wire.
    private static final List<MemberState> MEMBER_STATES =
            List.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT);

    private ModelRecords() {}

    static void writeMember(FieldWriter out, Member member) {
        out.fields(8)
                .text(member.id().value())
                .text(member.dataCentre().value())
                .text(member.address())
                .number(member.callerPort())
                .number(member.peerPort())
                .number(member.operatorPort())
                .number(member.level())
                .flag(member.stopping());
    }

    static Member readMember(FieldReader in) {
        return new Member(
                new ProcessId(in.text()),
                new DataCentreId(in.text()),
                in.text(),
                in.smallNumber(),
                in.smallNumber(),
                in.smallNumber(),
                in.smallNumber(),
                in.flag());
    }

    static void writeMemberUpdate(FieldWriter out, MemberUpdate update) {
        out.fields(3);
        writeMember(out, update.member());
        out.number(update.incarnation()).number(MEMBER_STATES.indexOf(update.state()));
    }

    static MemberUpdate readMemberUpdate(FieldReader in) {
        Member member = in.record(ModelRecords::readMember);
        long incarnation = in.number();
        int state = in.smallNumber();
        if (state < 0 || state >= MEMBER_STATES.size()) {
            throw new MalformedMessageException("unknown member state");
        }
        return new MemberUpdate(member, incarnation, MEMBER_STATES.get(state));
    }

    static void writeAppliedGeneration(FieldWriter out, AppliedGeneration applied) {
        out.fields(2).text(applied.process().value()).number(applied.generation());
    }

    static AppliedGeneration readAppliedGeneration(FieldReader in) {
        return new AppliedGeneration(new ProcessId(in.text()), in.number());
    }

    static void writeGrant(FieldWriter out, Grant grant) {
        out.fields(5)
                .text(grant.server().value())
                .text(grant.holder().value())
                .number(grant.concurrency())
                .number(grant.validMillis())
                .flag(grant.warm());
    }

    static Grant readGrant(FieldReader in) {
        return new Grant(
                new ServerId(in.text()), new ProcessId(in.text()), in.smallNumber(), in.smallNumber(), in.flag());
    }

    static void writeDemand(FieldWriter out, Demand demand) {
        out.fields(4)
                .text(demand.server().value())
                .text(demand.process().value())
                .number(demand.inFlight())
                .number(demand.requested());
    }

    static Demand readDemand(FieldReader in) {
        return new Demand(new ServerId(in.text()), new ProcessId(in.text()), in.smallNumber(), in.smallNumber());
    }

    static void writeBadVersion(FieldWriter out, BadVersion badVersion) {
        out.fields(4)
                .text(badVersion.move().value())
                .text(badVersion.service().value())
                .text(badVersion.version().value())
                .text(badVersion.reason());
    }

    static BadVersion readBadVersion(FieldReader in) {
        return new BadVersion(new MoveId(in.text()), new ServiceId(in.text()), new VersionId(in.text()), in.text());
    }

    static void writeEvidenceRow(FieldWriter out, EvidenceRow row) {
        EvidenceKey key = row.key();
        out.fields(8)
                .text(key.process().value())
                .text(key.service().value())
                .text(key.version().value())
                .text(key.route().value())
                .number(row.requests())
                .number(row.failures())
                .number(row.latencyBuckets().size());
        List<Long> buckets = row.latencyBuckets();
        List<Long> indexedCounts = new ArrayList<>();
        for (int i = 0; i < buckets.size(); i++) {
            if (buckets.get(i) != 0) {
                indexedCounts.add((long) i);
                indexedCounts.add(buckets.get(i));
            }
        }
        out.list(indexedCounts, FieldWriter::number);
    }

    static EvidenceRow readEvidenceRow(FieldReader in) {
        EvidenceKey key = new EvidenceKey(
                new ProcessId(in.text()), new ServiceId(in.text()), new VersionId(in.text()), new RouteId(in.text()));
        long requests = in.number();
        long failures = in.number();
        int bucketCount = in.smallNumber();
        return new EvidenceRow(
                key, requests, failures, unpackBuckets(bucketCount, in.numbers(2 * LatencyBuckets.COUNT)));
    }

    // Most buckets are empty, so only non-empty buckets are sent, each as a pair of index and count.
    private static List<Long> unpackBuckets(int bucketCount, List<Long> indexedCounts) {
        if (bucketCount < 0 || bucketCount > LatencyBuckets.COUNT || indexedCounts.size() % 2 != 0) {
            throw new MalformedMessageException("invalid number of latency buckets");
        }
        Long[] buckets = new Long[bucketCount];
        Arrays.fill(buckets, 0L);
        for (int i = 0; i < indexedCounts.size(); i += 2) {
            long index = indexedCounts.get(i);
            if (index < 0 || index >= bucketCount) {
                throw new MalformedMessageException("latency bucket index out of range");
            }
            buckets[(int) index] = indexedCounts.get(i + 1);
        }
        return List.of(buckets);
    }
}
