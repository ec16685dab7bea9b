package org.geraniumstand.proofs.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.proofs.process.Backends.Desk;
import org.geraniumstand.proofs.process.Backends.Engine;
import org.geraniumstand.standins.EngineSwitch;
import org.geraniumstand.standins.OrderDeskSwitch;
import org.geraniumstand.standins.StoreSwitch;
import org.geraniumstand.standins.load.RequestResult;

/** What a fuzzed sequence of steps acts on: a cluster and the traffic that goes on meanwhile. */
final class World implements AutoCloseable {
    private static final int ENTRY_HOSTS = 3;
    private static final int BURST = 40;
    private static final double BURST_PER_SECOND = 40;
    private static final long STEP_MILLIS = 400;
    private static final long NOTICE_MILLIS = 1_500;

    private final Cluster cluster = Cluster.start(ENTRY_HOSTS);
    private final List<Traffic> traffic = new ArrayList<>();
    private final long seed;
    private Configuration configuration = Documents.first();

    World(long seed) {
        this.seed = seed;
    }

    void burst() {
        long next = seed * 1_000 + traffic.size();
        traffic.add(Traffic.start(cluster.caller(), Traffic.MIXED, next, BURST, BURST_PER_SECOND));
        Conditions.pause(STEP_MILLIS);
    }

    void kill(int number) {
        EntryHost old = host(number);
        old.kill();
        cluster.replace(old);
        Conditions.pause(STEP_MILLIS);
    }

    void stop(int number) {
        EntryHost old = host(number);
        old.terminate();
        old.awaitExit();
        cluster.replace(old);
    }

    void freeze(int number) {
        EntryHost host = host(number);
        host.freeze();
        Conditions.pause(STEP_MILLIS * 4);
        host.resume();
    }

    void store(StoreSwitch fault, long value) {
        cluster.store().switches().set(fault, value);
        Conditions.pause(STEP_MILLIS * 2);
        cluster.store().switches().clear();
    }

    void engine(int number, EngineSwitch fault) {
        engineAt(number).standin().switches().set(fault, 3);
        Conditions.pause(STEP_MILLIS);
    }

    void desk(int number, OrderDeskSwitch fault) {
        List<Desk> desks = cluster.backends().desks();
        desks.get(number % desks.size()).standin().switches().set(fault, 2);
        Conditions.pause(STEP_MILLIS);
    }

    void cut(int number) {
        engineAt(number).relay().closeConnections();
        cluster.storeRelay().closeConnections();
    }

    void silence(int number) {
        engineAt(number).relay().stallConnections();
        cluster.backends().desks().get(number % 3).relay().stallConnections();
        cluster.storeRelay().stallConnections();
        Conditions.pause(STEP_MILLIS);
    }

    void reclaim(int number) {
        Engine engine = engineAt(number);
        long due = System.currentTimeMillis() + NOTICE_MILLIS;
        cluster.backends()
                .cloud()
                .addReclaimNotices(List.of(new ReclaimNotice(engine.server().host(), due)));
        Conditions.pause(NOTICE_MILLIS);
        cluster.backends().destroy(engine);
        cluster.backends().addEngine(engine.server().dataCentre().value(), Documents.FIRST, 5);
    }

    void takeOut(int number) {
        Set<DataCentreId> out = Set.of(new DataCentreId(Documents.DATA_CENTRES.get(number % 3)));
        configure(configuration.withDataCentresOut(out));
    }

    void bringBack() {
        configure(configuration.withDataCentresOut(Set.of()));
    }

    void switchPreset() {
        PresetId other = configuration.presetInForce().equals(Documents.PEAK) ? Documents.ORDINARY : Documents.PEAK;
        configure(configuration.withPreset(other));
    }

    /** Ends all faults, waits for all requests and returns what contradicts the ledger. */
    List<String> settle() {
        cluster.store().switches().clear();
        cluster.backends().desks().forEach(d -> d.standin().switches().clear());
        bringBack();
        cluster.awaitReady();
        List<RequestResult> told = new ArrayList<>();
        traffic.forEach(t -> told.addAll(t.finish()));
        List<String> found =
                new ArrayList<>(Oracle.contradictions(told, cluster.backends().ran()));
        Traffic calm = Traffic.start(cluster.caller(), Traffic.MIXED, seed * 1_000 + 999, BURST, BURST_PER_SECOND);
        Traffic.notAnswered(calm.finish()).forEach(t -> found.add("not answered after all was healed: " + t));
        return found;
    }

    String logs() {
        return cluster.logs();
    }

    @Override
    public void close() {
        cluster.close();
    }

    private void configure(Configuration next) {
        configuration = next.withGeneration(configuration.generation() + 1);
        cluster.configure(configuration);
        Conditions.pause(STEP_MILLIS);
    }

    private EntryHost host(int number) {
        return cluster.hosts().get(number % ENTRY_HOSTS);
    }

    private Engine engineAt(int number) {
        List<Engine> engines = cluster.backends().engines();
        return engines.get(number % engines.size());
    }
}
