package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.ServerLimit;
import org.junit.jupiter.api.Test;

final class ServerRateSharesTest {
    private static final ServerId SERVER = new ServerId("s");

    private final ProcessCount count = new ProcessCount(1, 0);
    private final ServerRateShares shares = new ServerRateShares(count);

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private static ProcessId process(int index) {
        return new ProcessId("process-" + index);
    }

    private void report(int process, double callsPerSecond, long millis) {
        shares.onReport(
                process(process),
                List.of(new LimitDemand(new ServerLimit(SERVER, 1, 2, 0), callsPerSecond)),
                at(millis));
    }

    private double share(int process, double perSecond, long millis) {
        return shares.share(process(process), SERVER, perSecond, at(millis)).orElseThrow();
    }

    @Test
    void sharesFollowTheDemand() {
        count.onLive(3, 0);
        report(0, 3, 0);
        report(1, 1, 0);
        report(2, 0, 0);

        assertThat(share(0, 2, 0), is(closeTo(0.75, 1e-9)));
        assertThat(share(1, 2, 0), is(closeTo(0.25, 1e-9)));
        assertThat(share(2, 2, 0), is(0.0));
    }

    @Test
    void nothingIsGrantedOrDeniedBeforeAReport() {
        count.onLive(2, 0);
        report(0, 3, 0);

        assertThat(shares.share(process(1), SERVER, 2, 0), is(OptionalDouble.empty()));
        assertThat(shares.share(process(0), new ServerId("t"), 2, 0), is(OptionalDouble.empty()));
    }

    @Test
    void processesThatDoNotReportKeepTheirPart() {
        count.onLive(4, 0);
        report(0, 3, 0);
        report(1, 3, 0);

        assertThat(share(0, 2, 0) + share(1, 2, 0), is(closeTo(0.5, 1e-9)));
    }

    @Test
    void fewProcessesShareALowLimit() {
        count.onLive(330, 0);
        for (int i = 0; i < 330; i++) {
            report(i, 1, 0);
        }
        int sharing = 0;
        double sum = 0;
        for (int i = 0; i < 330; i++) {
            sharing += share(i, 1, 0) > 0 ? 1 : 0;
            sum += share(i, 1, 0);
        }

        assertThat(sharing, is(5));
        assertThat(sum, is(closeTo(1, 1e-9)));
    }

    @Test
    void sameProcessesKeepTheirSharesWhileDemandVaries() {
        count.onLive(330, 0);
        Random random = new Random(1);
        Set<Integer> sharing = new HashSet<>();
        for (int millis = 0; millis < 20_000; millis += 400) {
            for (int i = 0; i < 330; i++) {
                report(i, 0.5 + random.nextDouble(), millis);
            }
            for (int i = 0; i < 330; i++) {
                if (share(i, 1, millis) > 0) {
                    sharing.add(i);
                }
            }
        }

        assertThat(sharing.size(), is(5));
    }

    @Test
    void processWithMuchMoreDemandGainsAShare() {
        count.onLive(330, 0);
        for (int i = 0; i < 330; i++) {
            report(i, 1, 0);
        }
        int without = 0;
        while (share(without, 1, 0) > 0) {
            without++;
        }
        for (int i = 0; i < 330; i++) {
            report(i, i == without ? 100_000 : 1, 400);
        }

        assertThat(share(without, 1, 400), greaterThan(0.9));
    }

    @Test
    void processThatStopsReportingLosesItsShare() {
        count.onLive(2, 0);
        report(0, 1, 0);
        report(1, 1, 0);
        report(0, 1, 2_000);
        shares.retain(Set.of(process(0), process(1)), at(2_000));

        assertThat(share(0, 2, 2_000), is(closeTo(0.5, 1e-9)));
        assertThat(shares.share(process(1), SERVER, 2, at(2_000)), is(OptionalDouble.empty()));
    }
}
