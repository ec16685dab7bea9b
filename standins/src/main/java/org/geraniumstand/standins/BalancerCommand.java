package org.geraniumstand.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Command line of the balancer. */
@Parameters(commandDescription = "The platform's balancer before the entry hosts")
final class BalancerCommand {
    @Parameter(names = "--port", required = true, description = "Port on loopback")
    private int port;

    @Parameter(
            names = "--target",
            required = true,
            description = "Entry host as CALLER-PORT:OPERATOR-PORT; may be given more than once")
    private List<String> targets = new ArrayList<>();

    @Parameter(names = "--check-millis", description = "Milliseconds between readiness checks")
    private long checkMillis = 500;

    void start() {
        List<BalancerStandin.Target> hosts =
                targets.stream().map(BalancerCommand::target).toList();
        BalancerStandin.start(port, () -> hosts, checkMillis);
    }

    private static BalancerStandin.Target target(String text) {
        int colon = text.indexOf(':');
        return new BalancerStandin.Target(
                Integer.parseInt(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    }
}
