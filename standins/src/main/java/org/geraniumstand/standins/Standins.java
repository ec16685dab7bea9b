package org.geraniumstand.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.geraniumstand.support.log.LogSetup;

/** Runs one stand-in, or the load generator, as a process. */
public final class Standins {
    private static final int EXIT_USAGE = 2;

    private Standins() {}

    /**
     * Runs the command that the first argument names.
     *
     * @param args the command line arguments
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] args) {
        StoreCommand store = new StoreCommand();
        CloudCommand cloud = new CloudCommand();
        EngineCommand engine = new EngineCommand();
        OrderDeskCommand orderDesk = new OrderDeskCommand();
        BalancerCommand balancer = new BalancerCommand();
        TcpRelayCommand relay = new TcpRelayCommand();
        LoadCommand load = new LoadCommand();
        JCommander parser = JCommander.newBuilder()
                .programName("standins")
                .addCommand("store", store)
                .addCommand("cloud", cloud)
                .addCommand("engine", engine)
                .addCommand("order-desk", orderDesk)
                .addCommand("balancer", balancer)
                .addCommand("relay", relay)
                .addCommand("load", load)
                .build();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
        LogSetup.configureForCommand();
        if (parser.getParsedCommand() == null) {
            parser.usage();
            return;
        }
        switch (parser.getParsedCommand()) {
            case "store" -> StoreStandin.start(store.port);
            case "cloud" -> CloudStandin.start(cloud.port);
            case "engine" -> EngineStandin.start(engine.port, engine.tokenMillis);
            case "balancer" -> balancer.start();
            case "relay" -> relay.start();
            case "load" -> load.run();
            default -> OrderDeskStandin.start(orderDesk.port);
        }
    }

    @Parameters(commandDescription = "The platform's key-value service")
    private static final class StoreCommand {
        @Parameter(names = "--port", required = true, description = "Port on loopback")
        private int port;
    }

    @Parameters(commandDescription = "The platform's host list and cloud API")
    private static final class CloudCommand {
        @Parameter(names = "--port", required = true, description = "Port on loopback")
        private int port;
    }

    @Parameters(commandDescription = "A model engine")
    private static final class EngineCommand {
        @Parameter(names = "--port", required = true, description = "Port on loopback")
        private int port;

        @Parameter(names = "--token-millis", description = "Milliseconds between tokens")
        private int tokenMillis = 5;
    }

    @Parameters(commandDescription = "A plain service that executes orders")
    private static final class OrderDeskCommand {
        @Parameter(names = "--port", required = true, description = "Port on loopback")
        private int port;
    }
}
