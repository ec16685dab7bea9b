package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaGrant;
import org.geraniumstand.model.relay.QuotaHolding;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.time.Timestamp;

/** Admits requests within the units of their teams' quotas that an aggregator has granted. Not thread-safe. */
@Decision(
        name = "team-quota",
        summary = "A process uses only units of a team's quota that an aggregator has granted it; a request "
                + "without units waits for an answer, and while no aggregator answers, the process keeps to an "
                + "even part.")
public final class QuotaLimiter {
    private static final double MILLIS_IN_SECOND = 1e3;

    /** Milliseconds after its sending for which an answered request counts; aggregators expect less. */
    private static final long ANSWER_VALID_MILLIS = 1_200;

    /** Milliseconds after which an unanswered question goes to the next aggregator. */
    private static final long QUESTION_TIMEOUT_MILLIS = 250;

    /** Milliseconds for which a request waits for units, and at a process that starts. */
    private static final long MAX_WAIT_MILLIS = 700;

    /** Maximum milliseconds after which a waiting request that got no units is asked for again. */
    private static final long MAX_ASK_AGAIN_MILLIS = 300;

    private static final long MAX_START_WAIT_MILLIS = 1_200;

    /** Milliseconds after the start within which most processes usually report to an aggregator. */
    private static final long STARTING_MILLIS = 1_500;

    /** Milliseconds after a refusal for which further requests are refused without a question. */
    private static final long REFUSING_MILLIS = 100;

    /** Milliseconds for which a process wants units of a team in advance after its last request. */
    private static final long ACTIVE_MILLIS = 10_000;

    /** Minimum retry delay returned to a caller, in milliseconds; the maximum follows. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    /** Maximum retry delay while no aggregator answers; callers come back to other processes. */
    private static final long MAX_PART_RETRY_AFTER_MILLIS = 500;

    /** Number of processes up to which an even part is used exactly; the parts of more may never hold a request. */
    private static final int MAX_EXACT_PROCESSES = 2;

    /** Fraction of the slack that is used; the rest covers changes between granted units and even parts. */
    private static final double USED_SLACK_SHARE = 0.3;

    /** Fraction of the overrun that is used; callers are owed the rate only. */
    private static final double USED_OVERRUN_SHARE = 0.1;

    /** Fraction of a burst above which requests are admitted while the aggregators belong to a build without grants. */
    private static final double PLENTY_SHARE = 0.5;

    /** Weight of the latest request in the typical cost. */
    private static final double COST_WEIGHT = 0.2;

    /** Fraction of a burst below which a level is worth a reading. */
    private static final double READING_LEVEL_SHARE = 0.25;

    /** Milliseconds after which usage that no aggregator has received no longer matters. */
    private static final long UNREPORTED_VALID_MILLIS = 30_000;

    private static final int MAX_READINGS = 4;
    private static final int MAX_UNANSWERED = 64;

    /** Number of reports that an aggregator without grants may not have answered yet. */
    private static final int MAX_UNNUMBERED = 2;

    private final double slack;
    private final double overrun;
    private final Random random;
    private final ProcessCount processes;
    private final QuotaLedger ledger;
    private final Map<TeamId, TeamState> states = new HashMap<>();
    private final Map<TeamId, Long> unlimitedUsage = new HashMap<>();
    private final Map<ProcessId, Aggregator> known = new HashMap<>();
    private List<ProcessId> aggregators = List.of();
    private Map<TeamId, Long> acknowledgedUsage = Map.of();
    private long acknowledgedNanos;
    private long lastNumber;
    private long remoteUnits;
    private double allowedPerSecond = Double.POSITIVE_INFINITY;
    private OptionalLong startNanos = OptionalLong.empty();
    private long toldNanos;
    private Runnable questionListener = () -> {};

    /** What this process knows of one team's quota. */
    private static final class TeamState {
        private RelayTeam team;
        private final QuotaPart part;
        private final Deque<QuotaTicket> waiting = new ArrayDeque<>();
        private long used;
        private long held;
        private double typicalCost;
        private long activeNanos;
        private long refusingUntilNanos;
        private long askAgainNanos;
        private long retryNanos;
        private Optional<TeamLevel> told = Optional.empty();

        TeamState(RelayTeam team, long nowNanos) {
            this.team = team;
            this.part = new QuotaPart(nowNanos);
            this.activeNanos = nowNanos;
        }

        long waitingUnits() {
            return waiting.stream().mapToLong(QuotaTicket::cost).sum();
        }
    }

    /** What this process knows of an aggregator. */
    private static final class Aggregator {
        private final Deque<Sent> unanswered = new ArrayDeque<>();
        private long acknowledged;
        private OptionalLong answeredSentNanos = OptionalLong.empty();
        private OptionalLong questionNanos = OptionalLong.empty();
        private long questionNumber;
        private long answerNanos;
        private boolean grants;
        private boolean settled;
        private boolean totalKnown;
        private long totalUnits;
        private int reportingProcesses;
    }

    private record Sent(long number, long nanos, Optional<Map<TeamId, Long>> usage) {}

    /**
     * Creates a limiter without usage.
     *
     * @param slack units by which a quota may be exceeded over all processes
     * @param overrun fraction by which a rate may be exceeded
     * @param processes count of the processes that share the quotas
     * @param random source of randomness, seeded differently in each process
     */
    public QuotaLimiter(double slack, double overrun, ProcessCount processes, Random random) {
        this.slack = slack * USED_SLACK_SHARE;
        this.overrun = overrun * USED_OVERRUN_SHARE;
        this.processes = processes;
        this.random = random;
        this.ledger = new QuotaLedger(slack, overrun, processes);
    }

    /** Returns the ledger that this process keeps as an aggregator. */
    public QuotaLedger ledger() {
        return ledger;
    }

    /** Sets the listener that is told that there may be a {@link #nextQuestion question}. */
    public void setQuestionListener(Runnable next) {
        questionListener = next;
    }

    /**
     * Registers the teams of a configuration, so that their quotas start to fill.
     *
     * @param teams all teams of the configuration
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTeams(List<RelayTeam> teams, long nowNanos) {
        if (startNanos.isEmpty()) {
            startNanos = OptionalLong.of(nowNanos);
        }
        List<RelayTeam> limited = teams.stream().filter(QuotaLimiter::isLimited).toList();
        limited.forEach(team -> state(team, nowNanos).team = team);
        ledger.onTeams(limited, nowNanos);
        boolean bounded = !teams.isEmpty() && teams.stream().allMatch(t -> t.countsTokens() && isLimited(t));
        allowedPerSecond =
                bounded ? teams.stream().mapToDouble(RelayTeam::ratePerSecond).sum() : Double.POSITIVE_INFINITY;
    }

    private static boolean isLimited(RelayTeam team) {
        return team.ratePerSecond() > 0;
    }

    private TeamState state(RelayTeam team, long nowNanos) {
        return states.computeIfAbsent(team.id(), _key -> new TeamState(team, nowNanos));
    }

    /**
     * Returns the tokens per second that the quotas of all teams allow together; infinite unless every team has a token
     * quota.
     */
    public double allowedPerSecond() {
        return allowedPerSecond;
    }

    /**
     * Records which processes aggregate the quota usage.
     *
     * @param next the aggregators, in order of precedence
     * @param nowNanos the monotonic time in nanoseconds
     * @return the last requests to those that were aggregators before, so that these count this process no longer
     */
    public Map<ProcessId, QuotaRequest> onAggregators(List<ProcessId> next, long nowNanos) {
        Map<ProcessId, QuotaRequest> last = new HashMap<>();
        for (ProcessId former : aggregators) {
            if (!next.contains(former) && known.containsKey(former)) {
                last.put(former, send(former, List.of(), Optional.empty(), true, nowNanos));
            }
        }
        aggregators = List.copyOf(next);
        known.keySet().retainAll(next);
        return last;
    }

    /** Returns the units that this process has used since it started, by team. */
    public List<TeamUsage> localUsage() {
        return usages(usage());
    }

    private Map<TeamId, Long> usage() {
        Map<TeamId, Long> usage = new HashMap<>(unlimitedUsage);
        states.forEach((team, state) -> usage.merge(team, state.used, Long::sum));
        return usage;
    }

    private static List<TeamUsage> usages(Map<TeamId, Long> units) {
        List<TeamUsage> usages = new ArrayList<>();
        units.forEach((team, used) -> usages.add(new TeamUsage(team, used)));
        return usages;
    }

    /**
     * Returns the part of the usage that an aggregator had received earlier, by team; a new aggregator counts the rest.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<TeamUsage> acknowledgedUsage(long nowNanos) {
        boolean outdated = nowNanos - acknowledgedNanos > UNREPORTED_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
        return outdated && !acknowledgedUsage.isEmpty() ? localUsage() : usages(acknowledgedUsage);
    }

    /**
     * Returns whether an aggregator needs to know what others have counted, or this process needs its levels.
     *
     * @param aggregator the aggregator
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean needsLevels(ProcessId aggregator, long nowNanos) {
        Aggregator receiver = known.get(aggregator);
        return isStarting(nowNanos) || receiver == null || !receiver.grants || !isValid(receiver, nowNanos);
    }

    /**
     * Returns the request that goes with a report to an aggregator.
     *
     * @param aggregator the aggregator
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaRequest report(ProcessId aggregator, long nowNanos) {
        boolean active = active(nowNanos).equals(Optional.of(aggregator));
        List<QuotaHolding> holdings = new ArrayList<>();
        for (TeamState state : states.values()) {
            boolean wants = active && isActive(state, nowNanos);
            long cost = wants ? (long) Math.ceil(state.typicalCost) : 0;
            if (!isActive(state, nowNanos) && state.waiting.isEmpty()) {
                state.held = 0;
            }
            long held = held(state, nowNanos);
            if (held > 0 || cost > 0) {
                holdings.add(new QuotaHolding(state.team.id(), held, cost, 0, 0));
            }
        }
        return send(aggregator, holdings, Optional.of(usage()), false, nowNanos);
    }

    private static boolean isActive(TeamState state, long nowNanos) {
        return nowNanos - state.activeNanos < ACTIVE_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    private QuotaRequest send(
            ProcessId aggregator,
            List<QuotaHolding> holdings,
            Optional<Map<TeamId, Long>> usage,
            boolean leaving,
            long nowNanos) {
        Aggregator receiver = known.computeIfAbsent(aggregator, _key -> new Aggregator());
        lastNumber++;
        receiver.unanswered.addLast(new Sent(lastNumber, nowNanos, usage));
        if (receiver.unanswered.size() > MAX_UNANSWERED) {
            receiver.unanswered.removeFirst();
        }
        boolean tells = !(receiver.grants && receiver.settled && isValid(receiver, nowNanos));
        List<TeamLevel> told = tells
                ? states.values().stream().flatMap(state -> state.told.stream()).toList()
                : List.of();
        return new QuotaRequest(
                lastNumber,
                receiver.acknowledged,
                holdings,
                told,
                (nowNanos - toldNanos) / Timestamp.NANOS_PER_MILLI,
                leaving);
    }

    /**
     * Returns a question for units that waiting requests need, unless one is under way.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<QuotaQuestion> nextQuestion(long nowNanos) {
        Optional<ProcessId> asked = active(nowNanos).filter(id -> known.get(id).grants);
        boolean underWay = asked.map(known::get)
                .filter(receiver -> receiver.questionNanos.isPresent() && !isOverdue(receiver, nowNanos))
                .isPresent();
        if (asked.isEmpty() || underWay) {
            return Optional.empty();
        }
        List<QuotaHolding> holdings = new ArrayList<>();
        List<TeamUsage> usages = new ArrayList<>();
        Aggregator receiver = known.get(asked.get());
        for (TeamState state : states.values()) {
            if (!state.waiting.isEmpty() && nowNanos >= state.askAgainNanos) {
                long cost = (long) Math.ceil(state.typicalCost);
                holdings.add(new QuotaHolding(
                        state.team.id(),
                        state.held,
                        cost,
                        Math.max(1, state.waitingUnits() - state.held),
                        state.waiting.size()));
                usages.add(new TeamUsage(state.team.id(), state.used));
                state.waiting.forEach(ticket -> ticket.onAsked(asked.get(), lastNumber + 1));
            }
        }
        if (holdings.isEmpty()) {
            return Optional.empty();
        }
        QuotaRequest request = send(asked.get(), holdings, Optional.empty(), false, nowNanos);
        receiver.questionNanos = OptionalLong.of(nowNanos);
        receiver.questionNumber = request.number();
        return Optional.of(new QuotaQuestion(asked.get(), usages, request));
    }

    /**
     * Records the answer of an aggregator.
     *
     * @param aggregator the aggregator
     * @param answer its answer
     * @param reportingProcesses number of processes that recently reported to it
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onAnswer(ProcessId aggregator, QuotaAnswer answer, int reportingProcesses, long nowNanos) {
        Aggregator sender = known.get(aggregator);
        if (sender == null || !aggregators.contains(aggregator)) {
            return;
        }
        Optional<Sent> sent = sender.unanswered.stream()
                .filter(candidate -> candidate.number() == answer.number())
                .findFirst();
        sender.unanswered.removeIf(candidate -> candidate.number() <= answer.number());
        sender.acknowledged = Math.max(sender.acknowledged, answer.number());
        if (sender.questionNumber <= answer.number()) {
            sender.questionNanos = OptionalLong.empty();
        }
        sent.ifPresent(answered -> sender.answerNanos = nowNanos - answered.nanos());
        if (sent.isEmpty() || nowNanos - sent.get().nanos() > ANSWER_VALID_MILLIS * Timestamp.NANOS_PER_MILLI) {
            return;
        }
        sender.grants = true;
        onValidAnswer(aggregator, sent.get(), answer.settled(), reportingProcesses, answer.totalUnits(), nowNanos);
        if (answer.settled() && active(nowNanos).equals(Optional.of(aggregator))) {
            if (sent.get().usage().isPresent()) {
                forgetLevels(sent.get().nanos());
            }
            onLevels(answer.levels(), sent.get().nanos(), nowNanos);
        }
        Set<TeamId> granted = answer.grants().stream().map(QuotaGrant::team).collect(Collectors.toSet());
        answer.grants().forEach(grant -> onGrant(aggregator, answer.number(), grant, nowNanos));
        boolean toQuestion = sent.get().usage().isEmpty();
        states.values().stream()
                .filter(state -> toQuestion && !granted.contains(state.team.id()))
                .forEach(state -> decideWithoutAggregator(state, aggregator, answer.number(), nowNanos));
        questionListener.run();
    }

    /**
     * Records the answer of an aggregator of a build that grants nothing.
     *
     * @param aggregator the aggregator
     * @param usages usage by team of all other processes since the aggregator started counting
     * @param reportingProcesses number of processes that recently reported to it
     * @param levels levels at the aggregator
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSums(
            ProcessId aggregator, List<TeamUsage> usages, int reportingProcesses, QuotaLevels levels, long nowNanos) {
        Aggregator sender = known.get(aggregator);
        if (sender == null || !aggregators.contains(aggregator) || sender.unanswered.isEmpty()) {
            return;
        }
        // Answers without numbers come in order; those that were lost are older than the others.
        sender.unanswered.removeIf(
                candidate -> nowNanos - candidate.nanos() > ANSWER_VALID_MILLIS * Timestamp.NANOS_PER_MILLI);
        while (sender.unanswered.size() > MAX_UNNUMBERED) {
            sender.unanswered.removeFirst();
        }
        if (sender.unanswered.isEmpty()) {
            return;
        }
        Sent sent = sender.unanswered.removeFirst();
        sender.grants = false;
        long total = usages.stream().mapToLong(TeamUsage::units).sum();
        onValidAnswer(aggregator, sent, levels.settled(), reportingProcesses, total, nowNanos);
        if (levels.settled() && active(nowNanos).equals(Optional.of(aggregator))) {
            onLevels(levels.levels(), sent.nanos(), nowNanos);
        }
    }

    private void onValidAnswer(
            ProcessId aggregator, Sent sent, boolean settled, int reporting, long totalUnits, long nowNanos) {
        if (active(nowNanos).isEmpty()) {
            // Units that were held when the last answer expired count as used.
            states.values().forEach(state -> state.held = 0);
        }
        Aggregator sender = known.get(aggregator);
        sender.answeredSentNanos =
                OptionalLong.of(Math.max(sent.nanos(), sender.answeredSentNanos.orElse(sent.nanos())));
        sender.settled = settled;
        sender.reportingProcesses = reporting;
        if (sent.usage().isPresent()) {
            acknowledgedUsage = sent.usage().get();
            acknowledgedNanos = nowNanos;
        }
        boolean continues = sender.totalKnown && totalUnits >= sender.totalUnits;
        if (continues && active(nowNanos).equals(Optional.of(aggregator))) {
            remoteUnits += totalUnits - sender.totalUnits;
        }
        sender.totalKnown = true;
        sender.totalUnits = totalUnits;
    }

    /** Forgets levels that the next answer does not renew, as they would be told as recent ones. */
    private void forgetLevels(long sentNanos) {
        for (TeamState state : states.values()) {
            state.told = Optional.empty();
            state.part.reset(0, sentNanos + ANSWER_VALID_MILLIS * Timestamp.NANOS_PER_MILLI);
        }
    }

    private void onLevels(List<TeamLevel> levels, long sentNanos, long nowNanos) {
        int count = processes.quotaCount(nowNanos);
        for (TeamLevel level : levels) {
            TeamState state = states.get(level.team());
            if (state != null) {
                state.told = Optional.of(level);
                state.part.reset(
                        (double) (level.available() + level.setAside()) / count,
                        sentNanos + ANSWER_VALID_MILLIS * Timestamp.NANOS_PER_MILLI);
            }
        }
        toldNanos = levels.isEmpty() ? toldNanos : sentNanos;
    }

    private void onGrant(ProcessId aggregator, long number, QuotaGrant grant, long nowNanos) {
        TeamState state = states.get(grant.team());
        if (state == null) {
            return;
        }
        state.held += grant.units();
        boolean asksAgain = false;
        for (Iterator<QuotaTicket> tickets = state.waiting.iterator(); tickets.hasNext(); ) {
            QuotaTicket ticket = tickets.next();
            if (state.held >= ticket.cost()) {
                use(state, ticket.cost());
                ticket.decide(QuotaAdmission.Admitted.INSTANCE);
                tickets.remove();
            } else if (grant.waitMillis() > 0 && ticket.isAnsweredBy(aggregator, number)) {
                if (isWorthWaiting(ticket, grant.waitMillis(), nowNanos)) {
                    asksAgain = true;
                } else {
                    ticket.decide(new QuotaAdmission.Refused(grant.waitMillis()));
                    tickets.remove();
                }
            }
        }
        if (asksAgain) {
            state.askAgainNanos = nowNanos + grant.waitMillis() * Timestamp.NANOS_PER_MILLI;
        } else if (grant.waitMillis() > 0) {
            long refusingMillis = Math.min(REFUSING_MILLIS, grant.waitMillis());
            state.refusingUntilNanos = nowNanos + refusingMillis * Timestamp.NANOS_PER_MILLI;
            state.retryNanos = nowNanos + grant.waitMillis() * Timestamp.NANOS_PER_MILLI;
        }
        state.held = Math.min(state.held, grant.maxHeld());
    }

    /** Returns whether there will be units for a request while it still waits. */
    private static boolean isWorthWaiting(QuotaTicket ticket, long waitMillis, long nowNanos) {
        long waitedMillis = (nowNanos - ticket.sinceNanos()) / Timestamp.NANOS_PER_MILLI;
        return waitMillis <= MAX_ASK_AGAIN_MILLIS && waitedMillis + waitMillis < MAX_WAIT_MILLIS;
    }

    private void use(TeamState state, long cost) {
        state.held -= cost;
        state.used += cost;
        state.part.charge((double) cost);
    }

    /** Decides on requests of a team that the aggregator does not know. */
    private void decideWithoutAggregator(TeamState state, ProcessId aggregator, long number, long nowNanos) {
        state.waiting.removeIf(ticket -> {
            boolean answered = ticket.isAnsweredBy(aggregator, number);
            if (answered) {
                ticket.decide(usePart(state, ticket.cost(), nowNanos));
            }
            return answered;
        });
    }

    /**
     * Returns the aggregator whose answers count: the first one of those that grant units, answer in time and know what was
     * used before they started, as far as there are any.
     */
    private Optional<ProcessId> active(long nowNanos) {
        return aggregators.stream()
                .filter(id -> known.containsKey(id) && isValid(known.get(id), nowNanos))
                .min(Comparator.comparingInt(id -> {
                    Aggregator candidate = known.get(id);
                    if (!candidate.grants) {
                        return 3;
                    }
                    return isSlow(candidate, nowNanos) ? 2 : candidate.settled ? 0 : 1;
                }));
    }

    /** Returns whether an aggregator answers late, as one does whose link is crowded. */
    private static boolean isSlow(Aggregator aggregator, long nowNanos) {
        return isOverdue(aggregator, nowNanos)
                || aggregator.answerNanos > QUESTION_TIMEOUT_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    private static boolean isOverdue(Aggregator aggregator, long nowNanos) {
        return aggregator.questionNanos.isPresent()
                && nowNanos - aggregator.questionNanos.getAsLong()
                        > QUESTION_TIMEOUT_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    private static boolean isValid(Aggregator aggregator, long nowNanos) {
        return aggregator.answeredSentNanos.isPresent()
                && nowNanos - aggregator.answeredSentNanos.getAsLong()
                        <= ANSWER_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    private long held(TeamState state, long nowNanos) {
        return active(nowNanos).isPresent() ? state.held : 0;
    }

    /**
     * Returns whether the usage of the other processes is up to date.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean remoteUsageKnown(long nowNanos) {
        return processes.quotaCount(nowNanos) <= 1 || active(nowNanos).isPresent();
    }

    /**
     * Returns what this process knows of the usage of the other processes.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaKnowledge knowledge(long nowNanos) {
        int count = processes.quotaCount(nowNanos);
        int reporting =
                active(nowNanos).map(id -> known.get(id).reportingProcesses).orElse(1);
        return new QuotaKnowledge(remoteUsageKnown(nowNanos), Math.max(1, Math.min(reporting, count)), count);
    }

    /** Returns the levels of the teams that have used most of their burst, as far as this process was told. */
    public List<QuotaReading> readings() {
        return states.values().stream()
                .filter(state -> state.told.isPresent())
                .map(state -> new QuotaReading(state.team.id(), state.told.get().available(), state.used, state.held))
                .filter(reading ->
                        reading.available() < states.get(reading.team()).team.burst() * READING_LEVEL_SHARE)
                .sorted(Comparator.comparingLong(QuotaReading::available))
                .limit(MAX_READINGS)
                .toList();
    }

    /** Returns the units that all processes have admitted for all teams since they started, as far as reported. */
    public long totalUsage() {
        return remoteUnits + usage().values().stream().mapToLong(units -> units).sum();
    }

    /**
     * Returns the quota units that a request consumes.
     *
     * @param team the team that sent the request
     * @param head the request's head
     */
    public static long cost(RelayTeam team, CallerHead head) {
        if (!team.countsTokens()) {
            return 1;
        }
        return head.hasTokenCounts() ? (long) head.promptTokens() + head.answerTokens() : team.defaultTokens();
    }

    private boolean isStarting(long nowNanos) {
        return startNanos.isEmpty() || nowNanos - startNanos.getAsLong() < STARTING_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Decides on a request.
     *
     * @param team the team that sent the request
     * @param cost quota units that the request consumes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaAdmission request(RelayTeam team, long cost, long nowNanos) {
        if (!isLimited(team)) {
            unlimitedUsage.merge(team.id(), cost, Long::sum);
            return QuotaAdmission.Admitted.INSTANCE;
        }
        TeamState state = state(team, nowNanos);
        state.team = team;
        state.activeNanos = nowNanos;
        state.typicalCost =
                state.typicalCost == 0 ? cost : state.typicalCost + COST_WEIGHT * (cost - state.typicalCost);
        if (processes.quotaCount(nowNanos) <= 1) {
            return usePart(state, cost, nowNanos);
        }
        Optional<Aggregator> aggregator = active(nowNanos).map(known::get);
        if (aggregator.isEmpty()) {
            return isStarting(nowNanos) ? await(state, cost, nowNanos) : usePart(state, cost, nowNanos);
        }
        if (!aggregator.get().grants) {
            return useTold(state, cost, nowNanos);
        }
        if (state.held - state.waitingUnits() >= cost) {
            use(state, cost);
            return QuotaAdmission.Admitted.INSTANCE;
        }
        if (nowNanos < state.refusingUntilNanos) {
            return refused((state.retryNanos - nowNanos) / Timestamp.NANOS_PER_MILLI, MAX_RETRY_AFTER_MILLIS);
        }
        return await(state, cost, nowNanos);
    }

    private QuotaAdmission await(TeamState state, long cost, long nowNanos) {
        QuotaTicket ticket = new QuotaTicket(state.team, cost, nowNanos);
        state.waiting.addLast(ticket);
        questionListener.run();
        return new QuotaAdmission.Waiting(ticket);
    }

    /**
     * Decides on a request that waits.
     *
     * @param ticket the request
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaAdmission poll(QuotaTicket ticket, long nowNanos) {
        if (ticket.decision().isPresent()) {
            return ticket.decision().get();
        }
        long waitedMillis = (nowNanos - ticket.sinceNanos()) / Timestamp.NANOS_PER_MILLI;
        boolean answered = active(nowNanos).isPresent();
        boolean waits = answered
                ? waitedMillis < MAX_START_WAIT_MILLIS + MAX_WAIT_MILLIS
                        && (waitedMillis < MAX_WAIT_MILLIS || isStarting(nowNanos))
                : isStarting(nowNanos) && waitedMillis < MAX_START_WAIT_MILLIS;
        if (waits) {
            if (answered) {
                questionListener.run();
            }
            return new QuotaAdmission.Waiting(ticket);
        }
        TeamState state = state(ticket.team(), nowNanos);
        state.waiting.remove(ticket);
        boolean granting = active(nowNanos).filter(id -> known.get(id).grants).isPresent();
        return ticket.decide(
                granting
                        ? refused(MAX_PART_RETRY_AFTER_MILLIS, MAX_PART_RETRY_AFTER_MILLIS)
                        : usePart(state, ticket.cost(), nowNanos));
    }

    /**
     * Gives up a request that waits.
     *
     * @param ticket the request
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void cancel(QuotaTicket ticket, long nowNanos) {
        state(ticket.team(), nowNanos).waiting.remove(ticket);
        if (ticket.decision().equals(Optional.of(QuotaAdmission.Admitted.INSTANCE))) {
            refund(ticket.team(), ticket.cost(), nowNanos);
        }
    }

    /** Decides on a request by the even part of this process. */
    private QuotaAdmission usePart(TeamState state, long cost, long nowNanos) {
        int count = processes.quotaCount(nowNanos);
        double rate = state.team.ratePerSecond() * (1 + overrun) / count;
        double allowance = state.part.fill(rate, state.team.burst() / (double) count, nowNanos) + slack / count;
        boolean exact = count <= MAX_EXACT_PROCESSES;
        // The part of few processes may never hold a request, so they admit as many at random as use it up on average.
        double shortfall = (exact ? cost : cost * (1 - random.nextDouble())) - allowance;
        if (shortfall > 0) {
            double ratePerSecond = exact ? rate : state.team.ratePerSecond();
            long waitMillis = Math.round(shortfall / Math.max(ratePerSecond, 1e-3) * MILLIS_IN_SECOND);
            return refused(waitMillis, exact ? MAX_RETRY_AFTER_MILLIS : MAX_PART_RETRY_AFTER_MILLIS);
        }
        state.part.charge((double) cost);
        state.used += cost;
        return QuotaAdmission.Admitted.INSTANCE;
    }

    /** Decides on a request by the level that an aggregator without grants told. */
    private QuotaAdmission useTold(TeamState state, long cost, long nowNanos) {
        boolean plenty = state.told
                .filter(level -> level.available() > state.team.burst() * PLENTY_SHARE)
                .isPresent();
        if (plenty) {
            state.used += cost;
            return QuotaAdmission.Admitted.INSTANCE;
        }
        return usePart(state, cost, nowNanos);
    }

    private static QuotaAdmission refused(long waitMillis, long maxMillis) {
        return new QuotaAdmission.Refused(Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(maxMillis, waitMillis)));
    }

    /**
     * Refunds the quota units of a request that did not run.
     *
     * @param team the team that sent the request
     * @param cost quota units that were consumed
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void refund(RelayTeam team, long cost, long nowNanos) {
        if (!isLimited(team)) {
            unlimitedUsage.merge(team.id(), -cost, Long::sum);
            return;
        }
        TeamState state = state(team, nowNanos);
        state.used -= cost;
        state.part.charge((double) -cost);
        if (processes.quotaCount(nowNanos) > 1 && active(nowNanos).isPresent()) {
            state.held += cost;
        }
    }
}
