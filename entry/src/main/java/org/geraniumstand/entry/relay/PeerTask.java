package org.geraniumstand.entry.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumstand.decisions.relay.ConfigurationPullTiming;
import org.geraniumstand.decisions.relay.InFlightSums;
import org.geraniumstand.decisions.relay.LostServers;
import org.geraniumstand.decisions.relay.QuotaKnowledge;
import org.geraniumstand.decisions.relay.QuotaLedger;
import org.geraniumstand.decisions.relay.QuotaLimiter;
import org.geraniumstand.decisions.relay.QuotaReading;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.decisions.relay.ServerLimitExchange;
import org.geraniumstand.decisions.relay.TaskCoordinators;
import org.geraniumstand.decisions.relay.WaitingSums;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.ProtocolLevel;
import org.geraniumstand.model.relay.CrashEvidence;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.ServerLimit;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.relay.WaitingCalls;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerSettings;
import org.geraniumstand.peer.exchange.GossipProtocol;
import org.geraniumstand.peer.net.TcpPeerNetwork;
import org.geraniumstand.support.log.Log;

/**
 * Exchanges quota usage, calls in flight, limits of servers, store changes and the configuration in force with the other
 * entry processes.
 */
final class PeerTask implements AutoCloseable {
    private static final Log LOG = Log.of(PeerTask.class);

    /** Shortest interval between two usage reports, in milliseconds, which applies to small deployments. */
    private static final long MIN_REPORT_MILLIS = 200;

    /**
     * Longest interval between two usage reports, in milliseconds; an unresponsive aggregator counts as lost after slightly
     * less than twice this time.
     */
    private static final long MAX_REPORT_MILLIS = 400;

    /** Milliseconds that each process adds to the interval, so that an aggregator handles about 500 reports a second. */
    private static final long MILLIS_PER_PROCESS = 2;

    /** Milliseconds after which an unchanged configuration version is sent to the neighbours again. */
    private static final long VERSION_RESEND_MILLIS = 1_000;

    /**
     * Time for which membership changes are batched, in milliseconds; this is short compared with the seconds after which a
     * process counts as lost.
     */
    private static final long MEMBERSHIP_BATCH_MILLIS = 100;

    /** Fraction of the live processes that must have reported to an aggregator for its sums of calls in flight to be used. */
    private static final double MIN_REPORTING_FRACTION = 0.7;

    private final TcpPeerNetwork network;
    private final RelayDispatcher dispatcher;
    private final Timer timer;
    private final int readinessPort;
    private final ConfigurationListener onPeerConfiguration;
    private final InFlightSums inFlightCalls = new InFlightSums();
    private final WaitingSums waitingCalls = new WaitingSums();
    private final LostServers lostServers = new LostServers();
    private final CrashEvidenceExchange crashEvidence;
    private final ServerLimitExchange serverLimits;
    private final ConfigurationPullTiming configurationPull = new ConfigurationPullTiming();
    private Optional<List<Member>> pendingMembers = Optional.empty();
    private Set<ProcessId> liveProcesses = Set.of();
    private Set<ServerId> avoidedServers = Set.of();
    private List<ProcessId> aggregators = List.of();
    private StoreWatcher storeWatcher;
    private LeaderElection leaderElection;
    private UsageTask usageTask;
    private QuotaKnowledge quotaKnowledge = new QuotaKnowledge(false, 0, 0);
    private boolean questionScheduled;
    private long sentVersion = -1;
    private long sentNanos;
    private Optional<PeerMessage.RelayConfigurationResponse> configurationInForce = Optional.empty();

    /** Receives a configuration that a peer has in force. */
    @FunctionalInterface
    interface ConfigurationListener {
        void accept(String text);
    }

    private PeerTask(
            TcpPeerNetwork network,
            RelayDispatcher dispatcher,
            Timer timer,
            int readinessPort,
            ConfigurationListener onPeerConfiguration) {
        this.readinessPort = readinessPort;
        this.network = network;
        this.dispatcher = dispatcher;
        this.crashEvidence = new CrashEvidenceExchange(network.self().id(), dispatcher);
        this.serverLimits = new ServerLimitExchange(dispatcher);
        this.timer = timer;
        this.onPeerConfiguration = onPeerConfiguration;
    }

    /**
     * Opens the peer listener.
     *
     * @param settings the settings of this process
     * @param self the name of this process
     * @param dispatcher the dispatcher of calls, which is used on the timer's thread only
     * @param timer the timer, which runs its tasks on the thread that owns the dispatcher
     * @param onPeerConfiguration the listener for configurations of peers, which is called on that thread
     */
    static PeerTask open(
            RelaySettings settings,
            ProcessId self,
            RelayDispatcher dispatcher,
            Timer timer,
            ConfigurationListener onPeerConfiguration) {
        InetSocketAddress address = settings.peers();
        Member member = new Member(
                self,
                settings.dataCentre(),
                address.getHostString(),
                settings.callers().getPort(),
                address.getPort(),
                settings.metrics().getPort(),
                ProtocolLevel.CURRENT,
                false);
        List<GossipProtocol.Seed> seeds = settings.seeds().stream()
                .map(GossipProtocol.Seed::parse)
                .flatMap(Optional::stream)
                .toList();
        TcpPeerNetwork network = TcpPeerNetwork.open(
                new PeerSettings(member, address.getPort(), settings.peerKey(), seeds, self.hashCode()));
        PeerTask task =
                new PeerTask(network, dispatcher, timer, settings.readiness().getPort(), onPeerConfiguration);
        task.subscribe();
        dispatcher.fleet().onProcessEndpoints(task.endpoints(List.of()));
        return task;
    }

    /** Starts peer discovery and the periodic reports of usage. */
    void start() {
        network.start();
        dispatcher.quotas().setQuestionListener(this::scheduleQuestion);
        timer.after(this::reportUsage, MIN_REPORT_MILLIS);
    }

    /** Returns the member record that this process announces to its peers. */
    Member self() {
        return network.self();
    }

    /** Adds the processes that are registered in the store as candidates for peers. */
    void onRegisteredMembers(List<Member> members) {
        network.onListedMembers(members);
        List<String> endpoints = members.stream().map(PeerTask::endpoint).toList();
        dispatcher.processes().onRegisteredAt(endpoints, System.nanoTime());
    }

    private static String endpoint(Member member) {
        return member.address() + ":" + member.peerPort();
    }

    /** Returns the number of steps of the exchange with peers that threw an exception. */
    long failures() {
        return network.failures();
    }

    /** Announces to the peers that this process is shutting down. */
    void announceShutdown() {
        network.announceShutdown();
    }

    /** Sets the watcher that applies store changes received from peers and forwards those that it reads itself. */
    void setStoreWatcher(StoreWatcher next) {
        storeWatcher = next;
        next.setChangeForwarder(this::broadcastStoreChanges);
    }

    /** Sets the election to notify when this process becomes or ceases to be a preferred candidate for leadership. */
    void setLeaderElection(LeaderElection next) {
        leaderElection = next;
    }

    /** Sets the store that keeps the prompts in quarantine. */
    void setQuarantineStore(QuarantineStore next) {
        crashEvidence.setStore(next);
    }

    /** Sets the task that counts requests, and lets it send messages to the other processes. */
    void setUsageTask(UsageTask next) {
        usageTask = next;
        next.setSender(network::send);
    }

    private void broadcastStoreChanges(PeerMessage.StoreUpdate changes) {
        for (ProcessId other : liveProcesses) {
            if (!other.equals(network.self().id())) {
                network.send(other, changes);
            }
        }
    }

    /** Offers peers a configuration that came into force in this process. */
    void onConfiguration(long version, String text) {
        configurationInForce = Optional.of(new PeerMessage.RelayConfigurationResponse(version, text));
        configurationPull.onOwnVersion(version);
    }

    @Override
    public void close() {
        network.close();
    }

    private void subscribe() {
        network.setMembersConsumer(members -> timer.after(() -> onMembers(members), 0));
        handle(PeerMessage.QuotaUsageReport.class, this::onQuotaUsage);
        handle(PeerMessage.AggregateQuotaUsage.class, this::onAggregatedUsage);
        handle(PeerMessage.QuotaUnitsRequest.class, this::onUnitsRequest);
        handle(
                PeerMessage.QuotaUnitsAnswer.class,
                (from, units) -> dispatcher
                        .quotas()
                        .onAnswer(from, units.answer(), units.reportingProcesses(), System.nanoTime()));
        handle(PeerMessage.StoreUpdate.class, (_from, changes) -> storeWatcher.onPeerChanges(changes));
        handle(
                PeerMessage.RequestCountReport.class,
                (from, report) -> network.send(
                        from, new PeerMessage.RequestCountAck(usageTask.onCounts(from, report.windows()))));
        handle(
                PeerMessage.RequestCountAck.class,
                (from, acknowledgement) -> usageTask.onAcknowledged(from, acknowledgement.totals()));
        handle(PeerMessage.RelayConfigurationVersion.class, this::onVersion);
        handle(PeerMessage.RelayConfigurationRequest.class, this::sendConfiguration);
        handle(PeerMessage.RelayConfigurationResponse.class, (_from, response) -> onConfigurationResponse(response));
    }

    /** Registers a handler for a type of message, to run on the thread that owns the dispatcher. */
    private <M extends PeerMessage> void handle(Class<M> type, BiConsumer<ProcessId, M> handler) {
        network.subscribe(type, (from, message) -> timer.after(() -> handler.accept(from, message), 0));
    }

    /** Batches membership changes that arrive together, as all hosts may restart within the same second. */
    private void onMembers(List<Member> members) {
        if (pendingMembers.isEmpty()) {
            timer.after(this::applyMembers, MEMBERSHIP_BATCH_MILLIS);
        }
        pendingMembers = Optional.of(members);
    }

    /** Returns the addresses at which this process and others listen; all processes use the same port for readiness. */
    private Set<String> endpoints(List<Member> others) {
        return Stream.concat(Stream.of(network.self()), others.stream())
                .flatMap(member -> Stream.of(
                                member.callerPort(), member.peerPort(), member.operatorPort(), readinessPort)
                        .map(port -> member.address() + ":" + port))
                .collect(Collectors.toSet());
    }

    private void applyMembers() {
        List<Member> members = pendingMembers.orElseThrow();
        pendingMembers = Optional.empty();
        liveProcesses = members.stream().map(Member::id).collect(Collectors.toSet());
        dispatcher.fleet().onProcessEndpoints(endpoints(members));
        aggregators = TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, liveProcesses);
        List<ProcessId> storeReaders = TaskCoordinators.select(TaskCoordinators.Task.READ_STORE, liveProcesses);
        LOG.info(
                "peers-changed",
                Field.of("count", liveProcesses.size() - 1),
                Field.of("quotaHubs", aggregators),
                Field.of("storeReaders", storeReaders));
        storeWatcher.setReader(storeReaders.contains(network.self().id()), liveProcesses.size() - 1);
        leaderElection.setPreferred(TaskCoordinators.select(TaskCoordinators.Task.HOLD_DUTIES, liveProcesses)
                .contains(network.self().id()));
        usageTask.setCollectors(TaskCoordinators.select(TaskCoordinators.Task.COUNT_REQUESTS, liveProcesses));
        dispatcher.quotas().ledger().retain(liveProcesses, System.nanoTime());
        dispatcher
                .quotas()
                .onAggregators(aggregators, System.nanoTime())
                .forEach((former, request) -> network.send(
                        former,
                        new PeerMessage.QuotaUnitsRequest(dispatcher.quotas().localUsage(), request)));
        dispatcher.processes().onLiveAt(members.stream().map(PeerTask::endpoint).toList(), System.nanoTime());
    }

    private void onQuotaUsage(ProcessId from, PeerMessage.QuotaUsageReport report) {
        long now = System.nanoTime();
        QuotaLedger ledger = dispatcher.quotas().ledger();
        QuotaRequest request = report.quotaRequest();
        QuotaAnswer answer = ledger.onRequest(
                from,
                report.usages(),
                report.needsLevels() ? Optional.of(report.earlierUsages()) : Optional.empty(),
                request,
                true,
                now);
        inFlightCalls.onReport(from, report.inFlight(), now);
        waitingCalls.onReport(from, report.waiting(), now);
        lostServers.onReport(from, report.lostServers(), now);
        crashEvidence.onEvidence(from, report.evidence(), now);
        logLimits(from, serverLimits.onReport(from, report.limits(), now));
        boolean needsLevels = report.needsLevels() && !request.usesGrants();
        network.send(
                from,
                new PeerMessage.AggregateQuotaUsage(
                        request.usesGrants() ? List.of() : ledger.sumExcluding(from),
                        ledger.reportingProcesses(now),
                        // The second aggregator has the same figures.
                        isFirstAggregator() ? inFlightCalls.sumExcluding(from) : List.of(),
                        lostServers.recentLosses(now),
                        crashEvidence.aggregate(),
                        serverLimits.shares(from, now),
                        isFirstAggregator() ? waitingCalls.sumExcluding(from) : List.of(),
                        needsLevels ? ledger.levels(now) : QuotaLevels.NONE,
                        answer));
    }

    /** Asks for units that waiting requests need; a question that is due already covers requests that wait later. */
    private void scheduleQuestion() {
        if (!questionScheduled) {
            questionScheduled = true;
            timer.after(this::sendQuestion, 0);
        }
    }

    private void sendQuestion() {
        questionScheduled = false;
        dispatcher
                .quotas()
                .nextQuestion(System.nanoTime())
                .ifPresent(question -> network.send(
                        question.aggregator(),
                        new PeerMessage.QuotaUnitsRequest(question.usages(), question.request())));
    }

    private void onUnitsRequest(ProcessId from, PeerMessage.QuotaUnitsRequest question) {
        long now = System.nanoTime();
        QuotaLedger ledger = dispatcher.quotas().ledger();
        QuotaAnswer answer = ledger.onRequest(
                from,
                question.usages(),
                Optional.empty(),
                question.request(),
                question.request().leaving(),
                now);
        if (!question.request().leaving()) {
            network.send(from, new PeerMessage.QuotaUnitsAnswer(ledger.reportingProcesses(now), answer));
        }
    }

    private void logAvoided(long nowNanos) {
        Set<ServerId> avoided = dispatcher.fleet().avoidedServers(nowNanos);
        for (ServerId server : avoided) {
            if (!avoidedServers.contains(server)) {
                LOG.info(
                        "server-avoided", Field.of("server", server), Field.of("reason", "others can't connect to it"));
            }
        }
        avoidedServers = avoided;
    }

    private static void logLimits(ProcessId source, List<ServerLimit> changed) {
        for (ServerLimit limit : changed) {
            LOG.info(
                    "server-limit",
                    Field.of("server", limit.server()),
                    Field.of("perSecond", limit.perSecond()),
                    Field.of("source", source),
                    Field.of("ageMillis", limit.ageMillis()));
        }
    }

    private boolean isFirstAggregator() {
        return !aggregators.isEmpty()
                && aggregators.get(0).equals(network.self().id());
    }

    private void onAggregatedUsage(ProcessId aggregator, PeerMessage.AggregateQuotaUsage aggregate) {
        long now = System.nanoTime();
        QuotaLimiter quotas = dispatcher.quotas();
        if (aggregate.quotaAnswer().number() > 0) {
            quotas.onAnswer(aggregator, aggregate.quotaAnswer(), aggregate.reportingProcesses(), now);
        } else {
            quotas.onSums(aggregator, aggregate.usages(), aggregate.reportingProcesses(), aggregate.levels(), now);
        }
        dispatcher.fleet().onRemoteLosses(aggregate.lostServers(), now);
        logAvoided(now);
        crashEvidence.onEvidence(aggregator, aggregate.evidence(), now);
        int rank = aggregators.indexOf(aggregator);
        if (rank >= 0) {
            logLimits(aggregator, serverLimits.onShares(rank, aggregate.limits(), now));
        }
        if (rank == 0) {
            dispatcher.onRemoteWaiting(aggregate.waiting(), now);
        }
        // An aggregator that has just started has received reports of only some of the calls in flight.
        if (!aggregate.inFlight().isEmpty()
                && aggregate.reportingProcesses() >= MIN_REPORTING_FRACTION * liveProcesses.size()) {
            dispatcher.fleet().onRemoteInFlight(aggregate.inFlight(), now);
        }
    }

    private void onVersion(ProcessId from, PeerMessage.RelayConfigurationVersion announcement) {
        configurationPull.onPeerVersion(from, announcement.version(), System.nanoTime());
        if (announcement.version() < configurationPull.ownVersion()) {
            network.send(from, new PeerMessage.RelayConfigurationVersion(configurationPull.ownVersion()));
        }
        requestConfiguration();
    }

    private void requestConfiguration() {
        configurationPull
                .peerToRequest(System.nanoTime())
                .ifPresent(peer ->
                        network.send(peer, new PeerMessage.RelayConfigurationRequest(configurationPull.ownVersion())));
    }

    private void sendConfiguration(ProcessId from, PeerMessage.RelayConfigurationRequest request) {
        configurationInForce
                .filter(response -> response.version() > request.afterVersion())
                .ifPresent(response -> network.send(from, response));
    }

    private void onConfigurationResponse(PeerMessage.RelayConfigurationResponse response) {
        boolean newer = dispatcher
                .configuration()
                .map(current -> current.version() < response.version())
                .orElse(true);
        if (newer) {
            LOG.info("configuration-offered", Field.of("version", response.version()));
            onPeerConfiguration.accept(response.text());
        }
    }

    private void reportUsage() {
        long intervalMillis =
                Math.min(MAX_REPORT_MILLIS, Math.max(MIN_REPORT_MILLIS, MILLIS_PER_PROCESS * liveProcesses.size()));
        timer.after(this::reportUsage, intervalMillis);
        requestConfiguration();
        sendVersion();
        long now = System.nanoTime();
        dispatcher.processes().onActive(now);
        logQuotaKnowledge(now);
        QuotaLimiter quotas = dispatcher.quotas();
        List<TeamUsage> usages = quotas.localUsage();
        List<ServerInFlight> inFlight = dispatcher.fleet().inFlight(now);
        List<LostServer> lost = dispatcher.fleet().lostServers(now);
        CrashEvidence evidence = crashEvidence.evaluate(liveProcesses, isFirstAggregator(), now);
        List<LimitDemand> limits = serverLimits.report(now);
        List<WaitingCalls> waiting = dispatcher.waitingCalls(now);
        serverLimits.retain(liveProcesses, now);
        inFlightCalls.retain(liveProcesses, now);
        waitingCalls.retain(liveProcesses, now);
        // A report to this process itself is delivered like any other message.
        for (ProcessId aggregator : aggregators) {
            boolean needsLevels = quotas.needsLevels(aggregator, now);
            network.send(
                    aggregator,
                    new PeerMessage.QuotaUsageReport(
                            usages,
                            inFlight,
                            lost,
                            evidence,
                            limits,
                            waiting,
                            needsLevels,
                            needsLevels ? quotas.acknowledgedUsage(now) : List.of(),
                            quotas.report(aggregator, now)));
        }
    }

    private void logQuotaKnowledge(long nowNanos) {
        QuotaKnowledge knowledge = dispatcher.quotas().knowledge(nowNanos);
        if (!knowledge.equals(quotaKnowledge)) {
            quotaKnowledge = knowledge;
            LOG.info(
                    "quota-usage-known",
                    Field.of("known", knowledge.known()),
                    Field.of("reporting", knowledge.reporting()),
                    Field.of("processes", knowledge.processes()));
        }
        for (QuotaReading reading : dispatcher.quotas().readings()) {
            LOG.info(
                    "quota-low",
                    Field.of("team", reading.team()),
                    Field.of("available", reading.available()),
                    Field.of("usedHere", reading.usedHere()),
                    Field.of("held", reading.held()));
        }
    }

    /** Sends the version in force in this process to the connected neighbours; those with a newer one reply with theirs. */
    private void sendVersion() {
        long now = System.nanoTime();
        boolean due = sentVersion != configurationPull.ownVersion()
                || configurationPull.ownVersion() == 0
                || now - sentNanos > VERSION_RESEND_MILLIS * Timestamp.NANOS_PER_MILLI;
        if (due) {
            sentVersion = configurationPull.ownVersion();
            sentNanos = now;
            network.sendToConnected(new PeerMessage.RelayConfigurationVersion(sentVersion));
        }
    }
}
