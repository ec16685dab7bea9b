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

/** Backend servers on loopback, each behind a relay of its own, and the cloud that lists them. */
final class Backends implements AutoCloseable {
    private final Closer closer = new Closer();
    private final CloudStandin cloud = closer.add(CloudStandin.start(0));
    private final List<Engine> engines = new ArrayList<>();
    private final List<Desk> desks = new ArrayList<>();

    /** A model engine. */
    record Engine(BackendServer server, EngineStandin standin, TcpRelay relay) {}

    /** An order desk. */
    record Desk(BackendServer server, OrderDeskStandin standin, TcpRelay relay) {}

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

    List<Desk> desks() {
        return List.copyOf(desks);
    }

    Engine addEngine(String dataCentre, VersionId version, int tokenMillis) {
        EngineStandin standin = closer.add(EngineStandin.start(0, tokenMillis));
        TcpRelay relay = closer.add(TcpRelay.startForwardingTo(standin.port()));
        Engine engine = new Engine(server(Documents.MODEL, version, dataCentre, relay.port()), standin, relay);
        engines.add(engine);
        list(engine.server());
        return engine;
    }

    Desk addDesk(String dataCentre) {
        OrderDeskStandin standin = closer.add(OrderDeskStandin.start(0));
        TcpRelay relay = closer.add(TcpRelay.startForwardingTo(standin.port()));
        Desk desk = new Desk(server(Documents.ORDERS, Documents.FIRST, dataCentre, relay.port()), standin, relay);
        desks.add(desk);
        list(desk.server());
        return desk;
    }

    /** Lists a server as leaving. */
    void leave(BackendServer server) {
        List<BackendServer> servers = cloud.listing().servers().stream()
                .map(s -> s.id().equals(server.id()) ? leaving(s) : s)
                .toList();
        cloud.setListing(new Listing(servers, cloud.listing().notices()));
    }

    /** Ends an engine as the cloud does when it takes a host back. */
    void destroy(Engine engine) {
        engine.relay().close();
        engine.standin().close();
        List<BackendServer> left = cloud.listing().servers().stream()
                .filter(s -> !s.id().equals(engine.server().id()))
                .toList();
        cloud.setListing(new Listing(left, cloud.listing().notices()));
    }

    /** Completions that all engines were asked for. */
    long served() {
        return engines.stream()
                .mapToLong(e -> e.standin().receivedCompletions())
                .sum();
    }

    List<OrderDeskStandin.Order> ran() {
        return desks.stream()
                .flatMap(d -> d.standin().executedOrders().stream())
                .toList();
    }

    @Override
    public void close() {
        closer.close();
    }

    private void list(BackendServer server) {
        List<BackendServer> servers = new ArrayList<>(cloud.listing().servers());
        servers.add(server);
        cloud.setListing(new Listing(servers, cloud.listing().notices()));
    }

    private BackendServer server(ServiceId service, VersionId version, String dataCentre, int port) {
        String name = service + "-" + (engines.size() + desks.size() + 1);
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

    private static BackendServer leaving(BackendServer s) {
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
