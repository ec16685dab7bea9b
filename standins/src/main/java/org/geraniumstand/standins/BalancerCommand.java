package org.geraniumstand.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Defines the command line options of the load balancer stand-in and starts it. */
@Parameters(commandDescription = "The platform's load balancer in front of the entry hosts")
final class BalancerCommand {
    @Parameter(names = "--port", required = true, description = "Port on loopback")
    private int port;

    @Parameter(
            names = "--target",
            required = true,
            description = "Entry host as CALLER-PORT:OPERATOR-PORT; may be repeated")
    private List<String> targets = new ArrayList<>();

    @Parameter(names = "--check-millis", description = "Milliseconds between readiness checks")
    private long checkMillis = 500;

    void start() {
        List<BalancerStandin.Target> entryHosts =
                targets.stream().map(BalancerCommand::parseTarget).toList();
        BalancerStandin.start(port, () -> entryHosts, checkMillis);
    }

    private static BalancerStandin.Target parseTarget(String text) {
        int colon = text.indexOf(':');
        return new BalancerStandin.Target(
                Integer.parseInt(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    }
}
