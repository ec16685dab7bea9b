package org.geraniumstand.decisions.relay;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;

/** Holds the shares of servers' limits that the aggregators granted to this process. Not thread-safe. */
@Decision(
        name = "rate-grants",
        summary = "A granted share fills a token bucket of one request that starts at a random level, and lapses "
                + "a second after its aggregator was last heard.")
final class RateGrants {
    /** Milliseconds for which a grant is used; aggregators renew it at least every 400 ms. */
    private static final long VALID_MILLIS = 1_000;

    /** Milliseconds after which the next aggregator's grants count instead. */
    private static final long SILENT_MILLIS = 700;

    private static final double NANOS_IN_SECOND = 1e9;
    private static final double MILLIS_IN_SECOND = 1e3;
    private static final int MAX_SERVERS = 1_024;

    private final Random random;
    private final double usedShare;
    private final Map<ServerId, Grant> grants = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServerId, Grant> _eldest) {
            return size() > MAX_SERVERS;
        }
    };

    private static final class Grant {
        private int rank;
        private double share;
        private double perSecond;
        private double tokens;
        private long receivedNanos;
        private long filledNanos;

        boolean isValid(long nowNanos) {
            return nowNanos - receivedNanos <= VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
        }

        void fill(long nowNanos) {
            long elapsedNanos = Math.max(0, nowNanos - filledNanos);
            filledNanos = nowNanos;
            tokens = Math.min(1, tokens + perSecond * elapsedNanos / NANOS_IN_SECOND);
        }
    }

    /**
     * Creates a collection without grants.
     *
     * @param random source of the initial levels; each process needs a different sequence
     * @param usedShare fraction of a limit that all processes together use
     */
    RateGrants(Random random, double usedShare) {
        this.random = random;
        this.usedShare = usedShare;
    }

    /**
     * Records a grant.
     *
     * @param rank position of the granting aggregator in the order of precedence
     * @param server the server whose limit is shared
     * @param share fraction of the limit that this process may use, from 0 to 1
     * @param perSecond the limit in requests per second
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onGrant(int rank, ServerId server, double share, double perSecond, long nowNanos) {
        Grant grant = grants.computeIfAbsent(server, _key -> newGrant(nowNanos));
        boolean silent = nowNanos - grant.receivedNanos > SILENT_MILLIS * Timestamp.NANOS_PER_MILLI;
        if (rank > grant.rank && !silent) {
            return;
        }
        double bounded = Math.max(0, Math.min(1, share));
        if (!grant.isValid(nowNanos) || grant.share == 0 || bounded == 0) {
            // A process that begins to send starts at a random level: many that begin at once must not all send at
            // once.
            grant.tokens = random.nextDouble();
            grant.filledNanos = nowNanos;
        } else {
            grant.fill(nowNanos);
        }
        grant.rank = rank;
        grant.share = bounded;
        grant.perSecond = usedShare * bounded * perSecond;
        grant.receivedNanos = nowNanos;
    }

    private static Grant newGrant(long nowNanos) {
        Grant grant = new Grant();
        grant.rank = Integer.MAX_VALUE;
        grant.receivedNanos = nowNanos;
        grant.filledNanos = nowNanos;
        return grant;
    }

    /**
     * Returns the fraction of a server's limit that this process may use, or empty if no aggregator said so recently.
     *
     * @param server the server whose limit is shared
     * @param nowNanos the monotonic time in nanoseconds
     */
    OptionalDouble share(ServerId server, long nowNanos) {
        Grant grant = grants.get(server);
        return grant == null || !grant.isValid(nowNanos) ? OptionalDouble.empty() : OptionalDouble.of(grant.share);
    }

    /**
     * Returns the time until the next request to a server in milliseconds, zero if it may be sent now. There must be a
     * valid grant.
     *
     * @param server the server whose limit is shared
     * @param perSecond the limit in requests per second
     * @param nowNanos the monotonic time in nanoseconds
     */
    long waitMillis(ServerId server, double perSecond, long nowNanos) {
        Grant grant = fill(server, perSecond, nowNanos);
        if (grant.share == 0) {
            return Long.MAX_VALUE;
        }
        return grant.tokens >= 1 ? 0 : 1 + (long) ((1 - grant.tokens) / grant.perSecond * MILLIS_IN_SECOND);
    }

    /**
     * Records that a request is sent to a server for which there is a valid grant.
     *
     * @param server the server whose limit is shared
     * @param perSecond the limit in requests per second
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onSent(ServerId server, double perSecond, long nowNanos) {
        Grant grant = fill(server, perSecond, nowNanos);
        grant.tokens = Math.max(0, grant.tokens - 1);
    }

    /** Fills the bucket of a server at the rate so far; a limit that has changed since counts from now on. */
    private Grant fill(ServerId server, double perSecond, long nowNanos) {
        Grant grant = grants.get(server);
        grant.fill(nowNanos);
        grant.perSecond = usedShare * grant.share * perSecond;
        return grant;
    }
}
