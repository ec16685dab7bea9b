package org.geraniumstand.entry.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.relay.Hubs;
import org.geraniumstand.decisions.relay.InFlightSums;
import org.geraniumstand.decisions.relay.LostServers;
import org.geraniumstand.decisions.relay.PlanPull;
import org.geraniumstand.decisions.relay.RelayDesk;
import org.geraniumstand.decisions.relay.UseSums;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.ProtocolLevel;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerSettings;
import org.geraniumstand.peer.exchange.Exchange;
import org.geraniumstand.peer.net.TcpPeerNetwork;
import org.geraniumstand.support.log.Log;

/** Shares the use of quotas and the configuration in force with the other entry processes. */
final class PeerTask implements AutoCloseable {
    private static final Log LOG = Log.of(PeerTask.class);

    /** Milliseconds between two messages about quotas where there are few processes. */
    private static final long SHARE_MILLIS = 200;

    /** Longest pause; a hub counts as lost after a bit less than twice as long. */
    private static final long MOST_SHARE_MILLIS = 400;

    /** Milliseconds that each process adds to the pause, so that a hub handles some 500 messages a second. */
    private static final long MILLIS_PER_PROCESS = 2;

    /** Milliseconds after which neighbours are told the version again that they were told before. */
    private static final long NEWS_MILLIS = 1_000;

    /** Milliseconds between a change of the members and what follows from it; a process counts as lost only after seconds. */
    private static final long GATHER_MILLIS = 100;

    /** Part of the live processes that a hub must have heard for its sums of calls in flight to count. */
    private static final double HEARD_SHARE = 0.7;

    private final TcpPeerNetwork network;
    private final RelayDesk desk;
    private final Timer timer;
    private final PlanListener onPlan;
    private final UseSums sums = new UseSums();
    private final InFlightSums inFlight = new InFlightSums();
    private final LostServers lost = new LostServers();
    private final PlanPull pull = new PlanPull();
    private Optional<List<Member>> pending = Optional.empty();
    private Set<ProcessId> live = Set.of();
    private List<ProcessId> hubs = List.of();
    private StoreWatcher follower;
    private LeaderElection lease;
    private UsageTask usage;
    private long toldVersion = -1;
    private long toldNanos;
    private Optional<PeerMessage.PlanShare> plan = Optional.empty();

    /** Told a configuration that a peer has in force. */
    @FunctionalInterface
    interface PlanListener {
        void accept(String text);
    }

    private PeerTask(TcpPeerNetwork network, RelayDesk desk, Timer timer, PlanListener onPlan) {
        this.network = network;
        this.desk = desk;
        this.timer = timer;
        this.onPlan = onPlan;
    }

    /**
     * Opens the peers' address.
     *
     * @param settings the settings of this process
     * @param self this process
     * @param desk takes the decisions; used on the timer's thread only
     * @param timer waits, and runs tasks on the thread that owns the desk
     * @param onPlan told configurations of peers, on that thread
     */
    static PeerTask open(RelaySettings settings, ProcessId self, RelayDesk desk, Timer timer, PlanListener onPlan) {
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
        List<Exchange.Seed> seeds = settings.seeds().stream()
                .map(Exchange.Seed::parse)
                .flatMap(Optional::stream)
                .toList();
        TcpPeerNetwork network = TcpPeerNetwork.open(
                new PeerSettings(member, address.getPort(), settings.peerKey(), seeds, self.hashCode()));
        PeerTask task = new PeerTask(network, desk, timer, onPlan);
        task.subscribe();
        return task;
    }

    /** Starts to look for peers. */
    void start() {
        network.start();
        timer.after(this::share, SHARE_MILLIS);
    }

    /** Returns this process as its peers know it. */
    Member self() {
        return network.self();
    }

    /** Takes in the processes that the store lists. */
    void offerListed(List<Member> members) {
        network.offerListed(members);
        desk.processes().onListed(members.size(), System.nanoTime());
    }

    /** Tells the peers that this process stops. */
    void announceStop() {
        network.announceStop();
    }

    /** Sets what takes in changes of the store that others saw, and tells those that it saw. */
    void follow(StoreWatcher next) {
        follower = next;
        next.onNews(this::tellStoreNews);
    }

    /** Sets what is told whether this process is one of the first to take the duties. */
    void tellFirst(LeaderElection next) {
        lease = next;
    }

    /** Sets what counts requests, and takes its messages to the processes that gather counts. */
    void count(UsageTask next) {
        usage = next;
        next.onShares(network::send);
    }

    private void tellStoreNews(PeerMessage.StoreNews news) {
        for (ProcessId other : live) {
            if (!other.equals(network.self().id())) {
                network.send(other, news);
            }
        }
    }

    /** Shares a configuration that came into force here. */
    void onPlan(long version, String text) {
        plan = Optional.of(new PeerMessage.PlanShare(version, text));
        pull.onOwn(version);
    }

    @Override
    public void close() {
        network.close();
    }

    private void subscribe() {
        network.onMembers(members -> timer.after(() -> onMembers(members), 0));
        handle(PeerMessage.TeamUseShare.class, this::takeUse);
        handle(PeerMessage.OthersUse.class, this::takeOthers);
        handle(PeerMessage.StoreNews.class, (_from, news) -> follower.onTold(news));
        handle(
                PeerMessage.UsageShare.class,
                (from, share) -> network.send(from, new PeerMessage.UsageHeard(usage.onTold(from, share.windows()))));
        handle(PeerMessage.UsageHeard.class, (from, heard) -> usage.onConfirmed(from, heard.totals()));
        handle(PeerMessage.PlanNews.class, this::takeNews);
        handle(PeerMessage.PlanAsk.class, this::answerAsk);
        handle(PeerMessage.PlanShare.class, (_from, share) -> takePlan(share));
    }

    /** Handles a type of message on the thread that owns the desk. */
    private <M extends PeerMessage> void handle(Class<M> type, BiConsumer<ProcessId, M> handler) {
        network.subscribe(type, (from, message) -> timer.after(() -> handler.accept(from, message), 0));
    }

    /** Takes in members that come and go together at once; all hosts may come back in the same second. */
    private void onMembers(List<Member> members) {
        if (pending.isEmpty()) {
            timer.after(this::takeMembers, GATHER_MILLIS);
        }
        pending = Optional.of(members);
    }

    private void takeMembers() {
        live = pending.orElseThrow().stream().map(Member::id).collect(Collectors.toSet());
        pending = Optional.empty();
        hubs = Hubs.choose(Hubs.Task.ADD_UP_USE, live);
        List<ProcessId> readers = Hubs.choose(Hubs.Task.READ_STORE, live);
        LOG.info(
                "peers-changed",
                Field.of("count", live.size() - 1),
                Field.of("quotaHubs", hubs),
                Field.of("storeReaders", readers));
        follower.onReader(readers.contains(network.self().id()), live.size() - 1);
        lease.onFirst(
                Hubs.choose(Hubs.Task.HOLD_DUTIES, live).contains(network.self().id()));
        usage.onGatherers(Hubs.choose(Hubs.Task.COUNT_REQUESTS, live));
        sums.retain(live);
        desk.quotas().onHubs(hubs);
        desk.processes().onLive(live.size(), System.nanoTime());
    }

    private void takeUse(ProcessId from, PeerMessage.TeamUseShare share) {
        long now = System.nanoTime();
        sums.onTold(from, share.uses(), now);
        inFlight.onTold(from, share.inFlight(), now);
        lost.onTold(share.lost(), now);
        // One of the two tells what is in flight; the other has the same figures.
        boolean first = !hubs.isEmpty() && hubs.get(0).equals(network.self().id());
        network.send(
                from,
                new PeerMessage.OthersUse(
                        sums.without(from),
                        sums.heard(now),
                        first ? inFlight.without(from) : List.of(),
                        lost.lately(now)));
    }

    private void takeOthers(ProcessId hub, PeerMessage.OthersUse use) {
        long now = System.nanoTime();
        desk.quotas().onOthers(hub, use.uses(), use.heard(), now);
        desk.fleet().onLostByOthers(use.lost(), now);
        // A hub that has just begun knows only a part of what is in flight.
        if (!use.inFlight().isEmpty() && use.heard() >= HEARD_SHARE * live.size()) {
            desk.fleet().onOthersInFlight(use.inFlight(), now);
        }
    }

    private void takeNews(ProcessId from, PeerMessage.PlanNews news) {
        pull.onNews(from, news.version(), System.nanoTime());
        if (news.version() < pull.own()) {
            network.send(from, new PeerMessage.PlanNews(pull.own()));
        }
        ask();
    }

    private void ask() {
        pull.ask(System.nanoTime()).ifPresent(peer -> network.send(peer, new PeerMessage.PlanAsk(pull.own())));
    }

    private void answerAsk(ProcessId from, PeerMessage.PlanAsk ask) {
        plan.filter(share -> share.version() > ask.aboveVersion()).ifPresent(share -> network.send(from, share));
    }

    private void takePlan(PeerMessage.PlanShare share) {
        boolean newer = desk.plan().map(p -> p.version() < share.version()).orElse(true);
        if (newer) {
            LOG.info("configuration-offered", Field.of("version", share.version()));
            onPlan.accept(share.text());
        }
    }

    private void share() {
        long pause = Math.min(MOST_SHARE_MILLIS, Math.max(SHARE_MILLIS, MILLIS_PER_PROCESS * live.size()));
        timer.after(this::share, pause);
        ask();
        tellVersion();
        long now = System.nanoTime();
        PeerMessage.TeamUseShare own = new PeerMessage.TeamUseShare(
                desk.quotas().own(), desk.fleet().inFlight(), desk.fleet().lost(now));
        inFlight.retain(live, now);
        // What this process sends to itself comes back to it like any other message.
        hubs.forEach(hub -> network.send(hub, own));
    }

    /** Tells the neighbours which configuration is in force here; those that have a newer one answer. */
    private void tellVersion() {
        long now = System.nanoTime();
        boolean due =
                toldVersion != pull.own() || pull.own() == 0 || now - toldNanos > NEWS_MILLIS * Moment.NANOS_PER_MILLI;
        if (due) {
            toldVersion = pull.own();
            toldNanos = now;
            network.tellConnected(new PeerMessage.PlanNews(toldVersion));
        }
    }
}
