package org.geraniumstand.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Defines the command line options of the TCP relay and starts it. */
@Parameters(
        commandDescription =
                "A TCP relay; on the control port, PUT /cut closes and PUT /silence stalls open connections")
final class TcpRelayCommand {
    @Parameter(names = "--port", required = true, description = "Port on loopback")
    private int port;

    @Parameter(names = "--control-port", required = true, description = "Port on loopback that sets the faults")
    private int controlPort;

    @Parameter(names = "--target", required = true, description = "Port on loopback that connections are forwarded to")
    private int target;

    void start() {
        TcpRelay relay = TcpRelay.start(
                port, () -> Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), target)));
        HttpStandin.start(
                controlPort,
                exchange -> {
                    switch (exchange.getRequestPath()) {
                        case "/cut" -> relay.closeConnections();
                        case "/silence" -> relay.stallConnections();
                        default -> exchange.setStatusCode(404);
                    }
                },
                relay.switches());
    }
}
