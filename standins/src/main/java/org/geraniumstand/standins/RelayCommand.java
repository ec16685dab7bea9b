package org.geraniumstand.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Command line of a relay whose connections can be cut. */
@Parameters(commandDescription = "A TCP relay; PUT /cut and PUT /silence on the control port concern open connections")
final class RelayCommand {
    @Parameter(names = "--port", required = true, description = "Port on loopback")
    private int port;

    @Parameter(names = "--control-port", required = true, description = "Port on loopback that switches faults")
    private int controlPort;

    @Parameter(names = "--target", required = true, description = "Port on loopback that is relayed to")
    private int target;

    void start() {
        TcpRelay relay = TcpRelay.start(
                port, () -> Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), target)));
        HttpStandin.start(
                controlPort,
                exchange -> {
                    switch (exchange.getRequestPath()) {
                        case "/cut" -> relay.cutAll();
                        case "/silence" -> relay.silenceAll();
                        default -> exchange.setStatusCode(404);
                    }
                },
                relay.switches());
    }
}
