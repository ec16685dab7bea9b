package org.geraniumstand.peer.codec;

import java.util.OptionalDouble;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.LimitShare;
import org.geraniumstand.model.relay.ServerLimit;

/** Encodes and decodes the limits that servers have named; fractions are rounded to millionths. */
final class ServerLimitFields {
    private static final double MILLIONTHS = 1e6;

    /** Highest rate per second; a server that names a higher one is not limited by it. */
    private static final double MAX_PER_SECOND = 1e9;

    /** Encodes that there is no limit or no share. */
    private static final long NONE = -1;

    private ServerLimitFields() {}

    static void writeDemand(FieldWriter out, LimitDemand demand) {
        writeLimit(out.fields(5), demand.limit()).number(encode(demand.callsPerSecond()));
    }

    static LimitDemand readDemand(FieldReader in) {
        return new LimitDemand(readLimit(in), Math.max(0, in.number()) / MILLIONTHS);
    }

    static void writeShare(FieldWriter out, LimitShare share) {
        writeLimit(out.fields(5), share.limit())
                .number(share.share().isPresent() ? encode(share.share().getAsDouble()) : NONE);
    }

    static LimitShare readShare(FieldReader in) {
        ServerLimit limit = readLimit(in);
        long share = in.number();
        return new LimitShare(limit, share < 0 ? OptionalDouble.empty() : OptionalDouble.of(share / MILLIONTHS));
    }

    private static FieldWriter writeLimit(FieldWriter out, ServerLimit limit) {
        return out.text(limit.server().value())
                .number(limit.startEpochMillis())
                .number(Double.isFinite(limit.perSecond()) ? encode(limit.perSecond()) : NONE)
                .number(limit.ageMillis());
    }

    private static ServerLimit readLimit(FieldReader in) {
        ServerId server = new ServerId(in.text());
        long startEpochMillis = in.number();
        long perSecond = in.number();
        return new ServerLimit(
                server,
                startEpochMillis,
                perSecond < 0 ? Double.POSITIVE_INFINITY : perSecond / MILLIONTHS,
                in.number());
    }

    private static long encode(double value) {
        return Math.round(Math.min(MAX_PER_SECOND, value) * MILLIONTHS);
    }
}
