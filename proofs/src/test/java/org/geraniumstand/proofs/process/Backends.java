package org.geraniumstand.proofs.process;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.outside.cloud.HostList.Listing;
import org.geraniumstand.standins.CloudStandin;
import org.geraniumstand.standins.EngineStandin;
import org.geraniumstand.standins.OrderDeskStandin;
import org.geraniumstand.standins.TcpRelay;
import org.geraniumstand.support.io.Closer;

/** Starts backend servers on loopback, each behind its own TCP relay, and the cloud stand-in that lists them. */
final class Backends implements AutoCloseable {
    private final Closer closer = new Closer();
    private final CloudStandin cloud = closer.add(CloudStandin.start(0));
    private final List<Engine> engines = new ArrayList<>();
    private final List<OrderDesk> orderDesks = new ArrayList<>();

    /** Holds a model engine with its listing and its relay. */
    record Engine(BackendServer server, EngineStandin standin, TcpRelay relay) {}

    /** Holds an order desk with its listing and its relay. */
    record OrderDesk(BackendServer server, OrderDeskStandin standin, TcpRelay relay) {}

    CloudStandin cloud() {
        return cloud;
    }

    List<Engine> engines() {
        return List.copyOf(engines);
    }

    List<Engine> enginesIn(String dataCentre) {
        return engines.stream()
                .filter(e -> e.server().dataCentre().value().equals(dataCentre))
                .toList();
    }

    List<OrderDesk> orderDesks() {
        return List.copyOf(orderDesks);
    }

    Engine addEngine(String dataCentre, VersionId version, int tokenMillis) {
        EngineStandin standin = closer.add(EngineStandin.start(0, tokenMillis));
        TcpRelay relay = closer.add(TcpRelay.startForwardingTo(standin.port()));
        Engine engine = new Engine(server(TestConfigurations.MODEL, version, dataCentre, relay.port()), standin, relay);
        engines.add(engine);
        addToListing(engine.server());
        return engine;
    }

    OrderDesk addOrderDesk(String dataCentre) {
        OrderDeskStandin standin = closer.add(OrderDeskStandin.start(0));
        TcpRelay relay = closer.add(TcpRelay.startForwardingTo(standin.port()));
        OrderDesk desk = new OrderDesk(
                server(TestConfigurations.ORDERS, TestConfigurations.OLD_VERSION, dataCentre, relay.port()),
                standin,
                relay);
        orderDesks.add(desk);
        addToListing(desk.server());
        return desk;
    }

    /** Changes the listing of a server to draining. */
    void markDraining(BackendServer server) {
        List<BackendServer> servers = cloud.listing().servers().stream()
                .map(s -> s.id().equals(server.id()) ? withDraining(s) : s)
                .toList();
        cloud.setListing(new Listing(servers, cloud.listing().notices()));
    }

    /** Terminates an engine and removes it from the listing, as the cloud does when it reclaims a host. */
    void destroy(Engine engine) {
        engine.relay().close();
        engine.standin().close();
        List<BackendServer> remaining = cloud.listing().servers().stream()
                .filter(s -> !s.id().equals(engine.server().id()))
                .toList();
        cloud.setListing(new Listing(remaining, cloud.listing().notices()));
    }

    /** Returns the number of completion requests that all engines received. */
    long totalCompletions() {
        return engines.stream()
                .mapToLong(e -> e.standin().receivedCompletions())
                .sum();
    }

    List<OrderDeskStandin.Order> allExecutedOrders() {
        return orderDesks.stream()
                .flatMap(d -> d.standin().executedOrders().stream())
                .toList();
    }

    @Override
    public void close() {
        closer.close();
    }

    private void addToListing(BackendServer server) {
        List<BackendServer> servers = new ArrayList<>(cloud.listing().servers());
        servers.add(server);
        cloud.setListing(new Listing(servers, cloud.listing().notices()));
    }

    private BackendServer server(ServiceId service, VersionId version, String dataCentre, int port) {
        String name = service + "-" + (engines.size() + orderDesks.size() + 1);
        return new BackendServer(
                new ServerId(name),
                service,
                version,
                new DataCentreId(dataCentre),
                new HostId("host-" + name),
                "gpu-l",
                true,
                300,
                "127.0.0.1",
                port,
                false);
    }

    private static BackendServer withDraining(BackendServer s) {
        return new BackendServer(
                s.id(),
                s.service(),
                s.version(),
                s.dataCentre(),
                s.host(),
                s.hostClass(),
                s.reclaimable(),
                s.centsPerHour(),
                s.address(),
                s.port(),
                true);
    }
}
