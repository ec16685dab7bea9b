package org.geraniumstand.entry.relay;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.relay.RelayDesk;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.ProtocolLevel;
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

    /** Processes up to which that pause holds; with more it grows, so that a process handles as many messages. */
    private static final int FEW_PROCESSES = 10;

    private final TcpPeerNetwork network;
    private final RelayDesk desk;
    private final Timer timer;
    private final PlanListener onPlan;
    private Set<ProcessId> others = Set.of();
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
     * Starts the task.
     *
     * @param settings the settings of this process
     * @param self this process
     * @param desk takes the decisions; used on the timer's thread only
     * @param timer waits, and runs tasks on the thread that owns the desk
     * @param onPlan told configurations of peers, on that thread
     */
    static PeerTask start(RelaySettings settings, ProcessId self, RelayDesk desk, Timer timer, PlanListener onPlan) {
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
        network.start();
        timer.after(task::share, SHARE_MILLIS);
        return task;
    }

    /** Returns this process as its peers know it. */
    Member self() {
        return network.self();
    }

    /** Takes in the processes that the store lists. */
    void offerListed(List<Member> members) {
        network.offerListed(members);
    }

    /** Tells the peers that this process stops. */
    void announceStop() {
        network.announceStop();
    }

    /** Shares a configuration that came into force here. */
    void onPlan(long version, String text) {
        PeerMessage.PlanShare share = new PeerMessage.PlanShare(version, text);
        plan = Optional.of(share);
        network.broadcast(share);
    }

    @Override
    public void close() {
        network.close();
    }

    private void subscribe() {
        network.onMembers(members -> timer.after(() -> takeMembers(members), 0));
        network.subscribe(
                PeerMessage.TeamUseShare.class,
                (from, share) -> timer.after(() -> desk.quotas().onOther(from, share.uses(), System.nanoTime()), 0));
        network.subscribe(PeerMessage.PlanShare.class, (_from, share) -> timer.after(() -> takePlan(share), 0));
    }

    private void takeMembers(List<Member> members) {
        Set<ProcessId> live = new HashSet<>();
        for (Member member : members) {
            if (!member.id().equals(network.self().id())) {
                live.add(member.id());
            }
        }
        LOG.info("peers-changed", Field.of("count", live.size()));
        for (ProcessId joined : live) {
            if (!others.contains(joined)) {
                plan.ifPresent(share -> network.send(joined, share));
            }
        }
        others = live;
        desk.quotas().onMembers(live, System.nanoTime());
        desk.onProcesses(live.size() + 1);
    }

    private void takePlan(PeerMessage.PlanShare share) {
        boolean newer = desk.plan().map(p -> p.version() < share.version()).orElse(true);
        if (newer) {
            LOG.info("configuration-offered", Field.of("version", share.version()));
            onPlan.accept(share.text());
        }
    }

    private void share() {
        timer.after(this::share, SHARE_MILLIS * Math.max(1, others.size() / FEW_PROCESSES));
        if (!others.isEmpty()) {
            network.broadcast(new PeerMessage.TeamUseShare(desk.quotas().own()));
        }
    }
}
