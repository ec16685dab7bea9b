package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaGrant;
import org.geraniumstand.model.relay.QuotaHolding;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.time.Timestamp;

/**
 * Keeps the quotas of all teams at an aggregator, and grants the processes that report to it units of them. Units that are
 * granted count as used until their holder tells what it did with them. Not thread-safe.
 */
@Decision(
        name = "quota-ledger",
        summary =
                "An aggregator grants units of a team's quota before they are used; what is out is bounded by what is "
                        + "left, whatever happens to their holders.")
public final class QuotaLedger {
    private static final double MILLIS_IN_SECOND = 1e3;
    private static final double NANOS_IN_SECOND = Timestamp.NANOS_PER_MILLI * 1e3;

    /** Milliseconds after which a process that does not report counts as silent; it may use its part 200 ms later. */
    private static final long SILENT_MILLIS = 1_000;

    /** Milliseconds for which silent processes are remembered. */
    private static final long REMEMBERED_MILLIS = 30_000;

    /** Milliseconds without any request after which a process is no longer an aggregator. */
    private static final long DORMANT_MILLIS = 1_500;

    /** Milliseconds after the first request after which an aggregator that was told no levels relies on what it has seen. */
    private static final long STARTING_MILLIS = 1_500;

    /** Milliseconds after the first levels within which later, lower ones are accepted. */
    private static final long ADOPTING_MILLIS = 500;

    /** Fraction of the slack that is granted; the rest covers changes of aggregators. */
    private static final double USED_SLACK_SHARE = 0.3;

    /** Fraction of the overrun that is used; callers are owed the rate only. */
    private static final double USED_OVERRUN_SHARE = 0.1;

    /**
     * Ratio of the units that may be out to those that are left. Units held in advance are rarely used all at once, and
     * the overrun tolerates it if they are.
     */
    private static final double OUT_RATIO = 1.5;

    /** Fraction of what may be out that is granted in advance of requests. */
    private static final double ADVANCE_SHARE = 0.7;

    private static final long MIN_WAIT_MILLIS = 100;
    private static final long MAX_WAIT_MILLIS = 5_000;

    private final double slack;
    private final double overrun;
    private final ProcessCount processes;
    private final Map<TeamId, Account> accounts = new HashMap<>();
    private final Map<ProcessId, Holder> holders = new HashMap<>();
    private final QuotaUsageSums sums = new QuotaUsageSums();
    private OptionalLong startNanos = OptionalLong.empty();
    private OptionalLong firstRequestNanos = OptionalLong.empty();
    private long lastRequestNanos;
    private OptionalLong adoptedNanos = OptionalLong.empty();

    /** The quota of one team. */
    private static final class Account {
        private RelayTeam team;
        private final QuotaBucket bucket;

        /** Units that are out: granted, and not yet known to be used or given back. */
        private double out;

        private double denied;
        private long deniedNanos;

        /** Units that were charged since this process became an aggregator. */
        private double chargedSince;

        private boolean adopted;

        Account(RelayTeam team, QuotaBucket bucket) {
            this.team = team;
            this.bucket = bucket;
        }

        void charge(double units) {
            bucket.charge(units);
            chargedSince += units;
        }
    }

    /** A process that reports. */
    private static final class Holder {
        private final Map<TeamId, Holding> holdings = new HashMap<>();
        private long heardNanos;
        private boolean silent;
    }

    /** What a process holds of one quota. */
    private static final class Holding {
        private final Deque<Grant> unacknowledged = new ArrayDeque<>();
        private double held;

        /** Units that a silent process is assumed to have used. */
        private double assumed;

        double out() {
            return held + unacknowledged.stream().mapToDouble(Grant::units).sum();
        }
    }

    private record Grant(long number, double units) {}

    /**
     * Creates a ledger without usage.
     *
     * @param slack units by which a quota may be exceeded over all processes
     * @param overrun fraction by which a rate may be exceeded
     * @param processes count of the processes that share the quotas
     */
    public QuotaLedger(double slack, double overrun, ProcessCount processes) {
        this.slack = slack * USED_SLACK_SHARE;
        this.overrun = overrun * USED_OVERRUN_SHARE;
        this.processes = processes;
    }

    /**
     * Registers the teams of a configuration.
     *
     * @param teams the teams that have a quota
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onTeams(List<RelayTeam> teams, long nowNanos) {
        if (startNanos.isEmpty()) {
            startNanos = OptionalLong.of(nowNanos);
        }
        double share = share(nowNanos);
        Set<TeamId> ids = new HashSet<>();
        for (RelayTeam team : teams) {
            ids.add(team.id());
            Account account =
                    accounts.computeIfAbsent(team.id(), _key -> new Account(team, new QuotaBucket(share, nowNanos)));
            account.team = team;
            advance(account, share, nowNanos);
        }
        accounts.keySet().retainAll(ids);
        holders.values().forEach(holder -> holder.holdings.keySet().retainAll(ids));
    }

    /**
     * Records a report of a process, or its question for units, and answers it.
     *
     * @param from the process
     * @param usages units that the process has used since it started, by team, net of refunds; in a question those of the
     *     teams in it
     * @param earlierUsages the part of them that another aggregator had received; empty if it is unknown
     * @param request what the process holds and asks for
     * @param complete whether the request names all teams of which the process holds units
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaAnswer onRequest(
            ProcessId from,
            List<TeamUsage> usages,
            Optional<List<TeamUsage>> earlierUsages,
            QuotaRequest request,
            boolean complete,
            long nowNanos) {
        beginIfDormant(nowNanos);
        markSilent(nowNanos);
        Holder holder = holders.computeIfAbsent(from, _key -> new Holder());
        double silentSeconds = holder.silent ? (nowNanos - holder.heardNanos) / NANOS_IN_SECOND : 0;
        holder.heardNanos = nowNanos;
        if (holder.silent) {
            holder.silent = false;
            holder.holdings.forEach(this::takeBackAssumption);
        }
        double share = share(nowNanos);
        if (complete || sums.knows(from)) {
            for (TeamUsage added : sums.onReport(from, usages, earlierUsages, nowNanos)) {
                Account account = accounts.get(added.team());
                if (account != null) {
                    charge(account, (double) added.units(), silentSeconds, share, nowNanos);
                }
            }
        }
        adopt(request, share, nowNanos);
        if (request.leaving()) {
            holder.heardNanos = nowNanos - 2 * SILENT_MILLIS * Timestamp.NANOS_PER_MILLI;
            markSilent(nowNanos);
        }
        if (!request.usesGrants() || request.leaving()) {
            return QuotaAnswer.NONE;
        }
        if (complete) {
            Set<TeamId> named = new HashSet<>();
            request.holdings().forEach(holding -> named.add(holding.team()));
            holder.holdings.forEach((team, holding) -> {
                if (!named.contains(team)) {
                    settle(team, holding, 0, request.acknowledged());
                }
            });
        }
        List<QuotaGrant> grants = new ArrayList<>();
        List<TeamLevel> levels = new ArrayList<>();
        for (QuotaHolding holding : request.holdings()) {
            Account account = accounts.get(holding.team());
            if (account != null) {
                advance(account, share, nowNanos);
                Holding known = holder.holdings.computeIfAbsent(holding.team(), _key -> new Holding());
                settle(holding.team(), known, (double) holding.held(), request.acknowledged());
                grant(account, known, holding, request.number(), nowNanos).ifPresent(grants::add);
                levels.add(level(account, account.bucket.available()));
            }
        }
        return new QuotaAnswer(request.number(), isSettled(nowNanos), levels, grants, sums.totalExcluding(from));
    }

    /** Charges what a process has used. What it used of its part while it was silent makes no debt. */
    private void charge(Account account, double units, double silentSeconds, double share, long nowNanos) {
        double before = account.bucket.available();
        account.charge(units);
        advance(account, share, nowNanos);
        if (silentSeconds > 0) {
            double part = (account.team.ratePerSecond() * silentSeconds + account.team.burst())
                    / processes.quotaCount(nowNanos);
            account.bucket.raiseTo(before - Math.max(0, units - part));
        }
    }

    /** Forgets what was known before this process was last chosen as an aggregator. */
    private void beginIfDormant(long nowNanos) {
        boolean dormant =
                firstRequestNanos.isEmpty() || nowNanos - lastRequestNanos > DORMANT_MILLIS * Timestamp.NANOS_PER_MILLI;
        lastRequestNanos = nowNanos;
        if (!dormant) {
            return;
        }
        firstRequestNanos = OptionalLong.of(nowNanos);
        adoptedNanos = OptionalLong.empty();
        sums.forgetReports();
        holders.clear();
        boolean starting = startNanos.isPresent()
                && nowNanos - startNanos.getAsLong() < STARTING_MILLIS * Timestamp.NANOS_PER_MILLI;
        double share = share(nowNanos);
        accounts.values().forEach(account -> {
            advance(account, share, nowNanos);
            account.out = 0;
            account.adopted = false;
            account.chargedSince = 0;
            if (!starting) {
                account.bucket.replace(0);
            }
        });
    }

    private void takeBackAssumption(TeamId team, Holding holding) {
        Account account = accounts.get(team);
        if (account != null) {
            account.charge(-holding.assumed);
        }
        holding.assumed = 0;
    }

    /** Replaces what a process was known to have by what it says. */
    private void settle(TeamId team, Holding holding, double held, long acknowledged) {
        double before = holding.out();
        holding.held = held;
        holding.unacknowledged.removeIf(grant -> grant.number() <= acknowledged);
        Account account = accounts.get(team);
        if (account != null) {
            account.out += holding.out() - before;
        }
    }

    private Optional<QuotaGrant> grant(
            Account account, Holding known, QuotaHolding holding, long number, long nowNanos) {
        double room = room(account);
        if (holding.askedRequests() == 0 && holding.typicalCost() == 0) {
            return Optional.empty();
        }
        double units = askedUnits(holding, room);
        long waitMillis = 0;
        double left = holding.askedRequests() > 0 ? 0 : holding.held();
        if (units < holding.askedUnits()) {
            waitMillis = waitMillis(account, holding.askedUnits() - units, room - units, holding, nowNanos);
        } else {
            units += inAdvance(account, left, holding.typicalCost(), room - units, nowNanos);
        }
        if (units > 0) {
            known.unacknowledged.addLast(new Grant(number, units));
            account.out += units;
        }
        long maxHeld = room < 0 ? 0 : Math.round(holding.held() + units);
        return Optional.of(new QuotaGrant(account.team.id(), Math.round(units), maxHeld, waitMillis));
    }

    private double room(Account account) {
        double left = account.bucket.available() + slack * account.bucket.share();
        return (left > 0 ? OUT_RATIO * left : left) - account.out;
    }

    /** Returns the units for as many whole requests as there is room for, since a request can't use a part. */
    private static double askedUnits(QuotaHolding holding, double room) {
        if (holding.askedRequests() <= 0 || room <= 0) {
            return 0;
        }
        double perRequest = (double) holding.askedUnits() / holding.askedRequests();
        int requests = (int) Math.min(holding.askedRequests(), room / Math.max(perRequest, 1));
        return requests == holding.askedRequests() ? holding.askedUnits() : Math.floor(requests * perRequest);
    }

    private double inAdvance(Account account, double left, long typicalCost, double room, long nowNanos) {
        double total = OUT_RATIO * Math.max(0, account.bucket.available() + slack * account.bucket.share());
        double even = ADVANCE_SHARE * total / processes.quotaCount(nowNanos);
        // Units that idle processes hold would be missing elsewhere.
        if (typicalCost <= 0 || even < typicalCost) {
            return 0;
        }
        double units = Math.min(even - left, room - (1 - ADVANCE_SHARE) * total);
        return units > 0 && left + units >= typicalCost ? Math.floor(units) : 0;
    }

    /** Returns when requests that got nothing should come back, after those that were denied before them. */
    private long waitMillis(Account account, double deniedUnits, double room, QuotaHolding holding, long nowNanos) {
        double seconds = (nowNanos - account.deniedNanos) / NANOS_IN_SECOND;
        account.denied = account.denied * Math.exp(-Math.max(0, seconds)) + deniedUnits;
        account.deniedNanos = nowNanos;
        double perRequest = (double) holding.askedUnits() / Math.max(1, holding.askedRequests());
        double units = Math.max(0, perRequest - room) + account.denied - deniedUnits;
        long millis = Math.round(units / Math.max(account.team.ratePerSecond(), 1e-3) * MILLIS_IN_SECOND);
        return Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, millis));
    }

    /** Takes over the levels that another aggregator told a reporting process. */
    private void adopt(QuotaRequest request, double share, long nowNanos) {
        if (request.told().isEmpty() || isSettled(nowNanos)) {
            return;
        }
        for (TeamLevel level : request.told()) {
            Account account = accounts.get(level.team());
            if (account == null) {
                continue;
            }
            advance(account, share, nowNanos);
            double refilled = account.team.ratePerSecond() * request.toldAgeMillis() / MILLIS_IN_SECOND;
            double total = Math.min(account.team.burst(), level.available() + level.setAside() + refilled);
            double own = account.bucket.available() + account.bucket.setAside();
            double next = total - account.chargedSince;
            account.bucket.replace(account.adopted ? Math.min(own, next) : next);
            account.adopted = true;
        }
        adoptedNanos = OptionalLong.of(adoptedNanos.orElse(nowNanos));
    }

    /** Returns whether this aggregator knows what was used before it started, or that no longer matters. */
    private boolean isSettled(long nowNanos) {
        long sinceNanos = adoptedNanos.isPresent() ? adoptedNanos.getAsLong() : firstRequestNanos.orElse(nowNanos);
        long neededMillis = adoptedNanos.isPresent() ? ADOPTING_MILLIS : STARTING_MILLIS;
        return nowNanos - sinceNanos >= neededMillis * Timestamp.NANOS_PER_MILLI;
    }

    /** Assumes that silent processes have used what they held. */
    private void markSilent(long nowNanos) {
        holders.forEach((_process, holder) -> {
            if (!holder.silent && nowNanos - holder.heardNanos > SILENT_MILLIS * Timestamp.NANOS_PER_MILLI) {
                holder.silent = true;
                holder.holdings.forEach(this::assumeUsed);
            }
        });
    }

    private void assumeUsed(TeamId team, Holding holding) {
        double units = holding.out();
        settle(team, holding, 0, Long.MAX_VALUE);
        Account account = accounts.get(team);
        if (account != null) {
            holding.assumed = units;
            account.charge(units);
        }
    }

    private void advance(Account account, double share, long nowNanos) {
        RelayTeam team = account.team;
        account.bucket.advance(team.ratePerSecond() * (1 + overrun), team.burst(), share, nowNanos);
    }

    /** Returns the fraction of the processes that report; each of the others is assumed to use an equal share. */
    private double share(long nowNanos) {
        int count = processes.quotaCount(nowNanos);
        return (double) Math.max(1, Math.min(reportingProcesses(nowNanos), count)) / count;
    }

    /**
     * Returns the number of processes that reported recently.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int reportingProcesses(long nowNanos) {
        return (int) holders.values().stream()
                .filter(holder -> nowNanos - holder.heardNanos <= SILENT_MILLIS * Timestamp.NANOS_PER_MILLI)
                .count();
    }

    /**
     * Returns the usage of all processes except one, by team, for a build that uses quotas without grants.
     *
     * @param process the process to exclude
     */
    public List<TeamUsage> sumExcluding(ProcessId process) {
        return sums.sumExcluding(process);
    }

    /**
     * Returns the levels of all quotas, for a build that uses quotas without grants.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaLevels levels(long nowNanos) {
        double share = share(nowNanos);
        accounts.values().forEach(account -> advance(account, share, nowNanos));
        return new QuotaLevels(
                isSettled(nowNanos),
                accounts.values().stream()
                        .map(account -> level(account, account.bucket.available() - account.out))
                        .toList());
    }

    private static TeamLevel level(Account account, double available) {
        return new TeamLevel(account.team.id(), Math.round(available), Math.round(account.bucket.setAside()));
    }

    /**
     * Forgets processes that have ended and are no longer remembered.
     *
     * @param live the processes that are still members
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void retain(Set<ProcessId> live, long nowNanos) {
        markSilent(nowNanos);
        sums.retain(live, nowNanos);
        holders.entrySet()
                .removeIf(entry -> !live.contains(entry.getKey())
                        && nowNanos - entry.getValue().heardNanos > REMEMBERED_MILLIS * Timestamp.NANOS_PER_MILLI);
    }
}
