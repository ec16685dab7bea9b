package org.geraniumstand.proofs.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.proofs.process.Backends.Engine;
import org.geraniumstand.proofs.process.Backends.OrderDesk;
import org.geraniumstand.standins.EngineSwitch;
import org.geraniumstand.standins.OrderDeskSwitch;
import org.geraniumstand.standins.StoreSwitch;
import org.geraniumstand.standins.load.RequestResult;

/** Applies fuzzed steps to a cluster while background traffic runs. */
final class FuzzedCluster implements AutoCloseable {
    private static final int ENTRY_HOSTS = 3;
    private static final int BURST_REQUESTS = 40;
    private static final double BURST_PER_SECOND = 40;
    private static final long STEP_MILLIS = 400;
    private static final long NOTICE_MILLIS = 1_500;

    private final Cluster cluster = Cluster.start(ENTRY_HOSTS);
    private final List<Traffic> traffic = new ArrayList<>();
    private final long seed;
    private Configuration configuration = TestConfigurations.initial();

    FuzzedCluster(long seed) {
        this.seed = seed;
    }

    void burst() {
        long next = seed * 1_000 + traffic.size();
        traffic.add(Traffic.start(cluster.caller(), Traffic.MIXED, next, BURST_REQUESTS, BURST_PER_SECOND));
        Conditions.pause(STEP_MILLIS);
    }

    void kill(int number) {
        EntryHost ended = host(number);
        ended.kill();
        cluster.replace(ended);
        Conditions.pause(STEP_MILLIS);
    }

    void stop(int number) {
        EntryHost ended = host(number);
        ended.terminate();
        ended.awaitExit();
        cluster.replace(ended);
    }

    void freeze(int number) {
        EntryHost host = host(number);
        host.freeze();
        Conditions.pause(STEP_MILLIS * 4);
        host.resume();
    }

    void injectStoreFault(StoreSwitch fault, long value) {
        cluster.store().switches().set(fault, value);
        Conditions.pause(STEP_MILLIS * 2);
        cluster.store().switches().clear();
    }

    void injectEngineFault(int number, EngineSwitch fault) {
        engineAt(number).standin().switches().set(fault, 3);
        Conditions.pause(STEP_MILLIS);
    }

    void injectOrderDeskFault(int number, OrderDeskSwitch fault) {
        List<OrderDesk> orderDesks = cluster.backends().orderDesks();
        orderDesks.get(number % orderDesks.size()).standin().switches().set(fault, 2);
        Conditions.pause(STEP_MILLIS);
    }

    void cutConnections(int number) {
        engineAt(number).relay().closeConnections();
        cluster.storeRelay().closeConnections();
    }

    void stall(int number) {
        engineAt(number).relay().stallConnections();
        cluster.backends().orderDesks().get(number % 3).relay().stallConnections();
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
        cluster.backends().addEngine(engine.server().dataCentre().value(), TestConfigurations.OLD_VERSION, 5);
    }

    void takeOutOfService(int number) {
        Set<DataCentreId> out = Set.of(new DataCentreId(TestConfigurations.DATA_CENTRES.get(number % 3)));
        configure(configuration.withDataCentresOut(out));
    }

    void returnToService() {
        configure(configuration.withDataCentresOut(Set.of()));
    }

    void switchPreset() {
        PresetId other = configuration.presetInForce().equals(TestConfigurations.PEAK)
                ? TestConfigurations.ORDINARY
                : TestConfigurations.PEAK;
        configure(configuration.withPreset(other));
    }

    /** Clears all faults, waits for all requests and returns contradictions between answers and executed orders. */
    List<String> recoverAndCheck() {
        cluster.store().switches().clear();
        cluster.backends().orderDesks().forEach(d -> d.standin().switches().clear());
        returnToService();
        cluster.awaitReady();
        List<RequestResult> results = new ArrayList<>();
        traffic.forEach(t -> results.addAll(t.finish()));
        List<String> found = new ArrayList<>(
                Oracle.contradictions(results, cluster.backends().allExecutedOrders()));
        Traffic trafficWithoutFaults =
                Traffic.start(cluster.caller(), Traffic.MIXED, seed * 1_000 + 999, BURST_REQUESTS, BURST_PER_SECOND);
        Traffic.unanswered(trafficWithoutFaults.finish())
                .forEach(t -> found.add("not answered after all faults were cleared: " + t));
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
