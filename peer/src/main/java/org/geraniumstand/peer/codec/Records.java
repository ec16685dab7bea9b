package org.geraniumstand.peer.codec;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.geraniumstand.model.evidence.BadMark;
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
import org.geraniumstand.model.member.Confirmation;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberNews;
import org.geraniumstand.model.member.MemberState;

/** Writes and reads the records that messages carry. */
final class Records {
    // The position stands for the state on the wire.
    private static final List<MemberState> STATES = List.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT);

    private Records() {}

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

    static void writeNews(FieldWriter out, MemberNews news) {
        out.fields(3);
        writeMember(out, news.member());
        out.number(news.beat()).number(STATES.indexOf(news.state()));
    }

    static MemberNews readNews(FieldReader in) {
        Member member = in.record(Records::readMember);
        long beat = in.number();
        int state = in.smallNumber();
        if (state < 0 || state >= STATES.size()) {
            throw new MalformedMessageException("a member's state is unknown");
        }
        return new MemberNews(member, beat, STATES.get(state));
    }

    static void writeConfirmation(FieldWriter out, Confirmation confirmation) {
        out.fields(2).text(confirmation.process().value()).number(confirmation.generation());
    }

    static Confirmation readConfirmation(FieldReader in) {
        return new Confirmation(new ProcessId(in.text()), in.number());
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
                .number(demand.wanted());
    }

    static Demand readDemand(FieldReader in) {
        return new Demand(new ServerId(in.text()), new ProcessId(in.text()), in.smallNumber(), in.smallNumber());
    }

    static void writeBadMark(FieldWriter out, BadMark mark) {
        out.fields(4)
                .text(mark.move().value())
                .text(mark.service().value())
                .text(mark.version().value())
                .text(mark.reason());
    }

    static BadMark readBadMark(FieldReader in) {
        return new BadMark(new MoveId(in.text()), new ServiceId(in.text()), new VersionId(in.text()), in.text());
    }

    static void writeEvidence(FieldWriter out, EvidenceRow row) {
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
        List<Long> pairs = new ArrayList<>();
        for (int i = 0; i < buckets.size(); i++) {
            if (buckets.get(i) != 0) {
                pairs.add((long) i);
                pairs.add(buckets.get(i));
            }
        }
        out.list(pairs, FieldWriter::number);
    }

    static EvidenceRow readEvidence(FieldReader in) {
        EvidenceKey key = new EvidenceKey(
                new ProcessId(in.text()), new ServiceId(in.text()), new VersionId(in.text()), new RouteId(in.text()));
        long requests = in.number();
        long failures = in.number();
        int count = in.smallNumber();
        return new EvidenceRow(key, requests, failures, buckets(count, in.numbers(2 * LatencyBuckets.COUNT)));
    }

    // Most buckets are empty, so that only the others are sent, each behind its index.
    private static List<Long> buckets(int count, List<Long> pairs) {
        if (count < 0 || count > LatencyBuckets.COUNT || pairs.size() % 2 != 0) {
            throw new MalformedMessageException("latency buckets are malformed");
        }
        Long[] buckets = new Long[count];
        Arrays.fill(buckets, 0L);
        for (int i = 0; i < pairs.size(); i += 2) {
            long index = pairs.get(i);
            if (index < 0 || index >= count) {
                throw new MalformedMessageException("a latency bucket is out of range");
            }
            buckets[(int) index] = pairs.get(i + 1);
        }
        return List.of(buckets);
    }
}
