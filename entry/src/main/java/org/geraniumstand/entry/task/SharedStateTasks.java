package org.geraniumstand.entry.task;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.entry.settings.Settings;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.ProtocolLevel;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerSettings;
import org.geraniumstand.peer.exchange.GossipProtocol;
import org.geraniumstand.peer.exchange.GossipView;
import org.geraniumstand.peer.net.TcpPeerNetwork;
import org.geraniumstand.support.net.AsyncHttpClient;

/** Starts the tasks that exchange shared state with the store and with other entry processes. */
public final class SharedStateTasks implements AutoCloseable {
    private static final int TOKEN_RADIX = 36;

    private final AsyncHttpClient calls;
    private final CoreInbox core;
    private final TcpPeerNetwork peers;
    private final StoreAvailability availability;
    private final MemberRegistration registration;
    private final BadVersionStore badVersionStore;
    private final ConfigurationWriter writer;
    private final MoveEndWriter moveEndWriter;
    private final LoadPoll loads;
    private final ReadinessCheck readiness;

    private SharedStateTasks(
            Settings settings, ProcessId self, ConfigurationStore store, AsyncHttpClient calls, CoreInbox core) {
        Random random = new Random(self.hashCode());
        Timer timer = calls::schedule;
        String prefix = settings.store().prefix();
        String key = prefix + "/configuration";
        this.calls = calls;
        this.core = core;
        this.peers = TcpPeerNetwork.open(peerSettings(settings, self));
        this.availability = new StoreAvailability(random, System.nanoTime());
        this.registration =
                new MemberRegistration(store, timer, prefix + "/members/", peers.self(), peers, availability);
        this.badVersionStore =
                new BadVersionStore(store, timer, prefix + "/bad/", availability, this::acceptStoredBadVersions);
        SecureRandom secure = new SecureRandom();
        this.writer = new ConfigurationWriter(
                store,
                timer,
                key,
                peers,
                () -> Long.toUnsignedString(secure.nextLong(), TOKEN_RADIX),
                availability::jitter);
        this.moveEndWriter = new MoveEndWriter(writer, timer, self, peers, availability);
        this.loads = new LoadPoll(calls, core::observe, random);
        this.readiness = new ReadinessCheck(peers, availability, ProtocolLevel.CURRENT);
        subscribe();
        peers.start();
        ConfigurationWatch watch = new ConfigurationWatch(store, timer, key, self, peers, availability);
        calls.schedule(registration::start, 0);
        calls.schedule(watch::start, 0);
        calls.schedule(badVersionStore::start, 0);
        calls.schedule(new TickTask(timer, core)::start, 0);
    }

    /**
     * Starts the tasks.
     *
     * @param settings settings of this process
     * @param self ID of this process
     * @param store platform's configuration store
     * @param calls HTTP client and scheduler; its thread owns the tasks' state
     * @param core receives observations of the shared state
     */
    public static SharedStateTasks start(
            Settings settings, ProcessId self, ConfigurationStore store, AsyncHttpClient calls, CoreInbox core) {
        return new SharedStateTasks(settings, self, store, calls, core);
    }

    /** Returns the network of entry processes. */
    public TcpPeerNetwork peers() {
        return peers;
    }

    /** Returns the configuration writer. */
    public ConfigurationWriter writer() {
        return writer;
    }

    /** Returns the readiness check. */
    public ReadinessCheck readiness() {
        return readiness;
    }

    /**
     * Executes an action that concerns the shared state.
     *
     * @param action action to execute; actions of other kinds are ignored
     */
    public void execute(Action action) {
        if (action instanceof Action.SendGrants send) {
            peers.send(send.recipient(), new PeerMessage.GrantUpdate(send.grants()));
        } else if (action instanceof Action.SendDemands send) {
            peers.send(send.owner(), new PeerMessage.DemandReport(send.demands()));
        } else if (action instanceof Action.ShareEvidence share) {
            peers.publishEvidence(share.rows());
        } else if (action instanceof Action.ShareBadVersion share) {
            peers.broadcast(new PeerMessage.BadVersionsUpdate(List.of(share.badVersion())));
            calls.schedule(() -> badVersionStore.write(share.badVersion()), 0);
        } else if (action instanceof Action.PollServers poll) {
            loads.setServers(poll.servers());
        } else if (action instanceof Action.EndMove end) {
            calls.schedule(() -> moveEndWriter.end(end), 0);
        }
    }

    /** Returns the live members with the generation in force at each and the age of the store's confirmation. */
    public List<MemberStatus> members() {
        GossipView view = peers.view();
        long now = System.nanoTime();
        long age = view.confirmedNanos()
                .map(at -> TimeUnit.NANOSECONDS.toMillis(now - at))
                .orElse(-1L);
        return view.members().stream()
                .map(m -> status(m, view.generations().getOrDefault(m.id(), -1L), view.generation(), age))
                .toList();
    }

    // The age of the confirmation is known only for the generation in force at this process.
    private static MemberStatus status(Member member, long generation, long inForce, long age) {
        return new MemberStatus(member, generation, generation == inForce ? age : -1);
    }

    /** Announces to all members that this process is shutting down. */
    public void announceShutdown() {
        peers.announceShutdown();
    }

    @Override
    public void close() {
        registration.end();
        peers.close();
    }

    private void subscribe() {
        peers.setMembersConsumer(members -> core.observe(new Observation.MembersUpdated(members)));
        peers.setConfigurationConsumer(document -> core.observe(new Observation.ConfigurationAccepted(document)));
        peers.subscribe(
                PeerMessage.EvidenceUpdate.class,
                (_from, share) -> core.observe(new Observation.EvidenceReceived(share.rows())));
        peers.subscribe(
                PeerMessage.BadVersionsUpdate.class,
                (_from, share) -> core.observe(new Observation.BadVersionsReceived(share.badVersions())));
        peers.subscribe(
                PeerMessage.GrantUpdate.class,
                (from, share) -> core.observe(new Observation.GrantsReceived(from, share.grants())));
        peers.subscribe(
                PeerMessage.DemandReport.class,
                (_from, share) -> core.observe(new Observation.DemandsReceived(share.demands())));
    }

    private void acceptStoredBadVersions(List<BadVersion> stored) {
        peers.onStoredBadVersions(stored);
        core.observe(new Observation.BadVersionsReceived(stored));
    }

    private static PeerSettings peerSettings(Settings settings, ProcessId self) {
        Settings.PeerSettings own = settings.peers();
        Member member = new Member(
                self,
                settings.process().dataCentre(),
                own.host(),
                settings.callers().port(),
                own.port(),
                settings.operators().port(),
                ProtocolLevel.CURRENT,
                false);
        List<GossipProtocol.Seed> seeds = own.seeds().stream()
                .map(GossipProtocol.Seed::parse)
                .flatMap(Optional::stream)
                .toList();
        return new PeerSettings(member, own.port(), own.sharedKey(), seeds, self.hashCode());
    }
}
