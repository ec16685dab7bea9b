package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalDouble;
import java.util.Random;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.api.Test;

final class RateGrantsTest {
    private static final ServerId SERVER = new ServerId("s");

    private final RateGrants grants = new RateGrants(new Random(1), 1.0);

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    /** Renews a grant every 400 ms and sends whenever it is allowed; returns the number of requests. */
    private int send(double share, double perSecond, long from, long until) {
        int sent = 0;
        for (long millis = from; millis < until; millis += 10) {
            if (millis % 400 == 0) {
                grants.onGrant(0, SERVER, share, perSecond, at(millis));
            }
            if (grants.waitMillis(SERVER, perSecond, at(millis)) == 0) {
                grants.onSent(SERVER, perSecond, at(millis));
                sent++;
            }
        }
        return sent;
    }

    @Test
    void sendsAtTheGrantedRate() {
        assertThat((double) send(0.5, 4, 0, 20_000), is(closeTo(40, 1)));
    }

    @Test
    void unusedRequestsDoNotAccumulate() {
        for (long millis = 0; millis < 20_000; millis += 400) {
            grants.onGrant(0, SERVER, 1, 10, at(millis));
        }

        assertThat(send(1, 10, 20_000, 20_100), lessThanOrEqualTo(2));
    }

    @Test
    void firstRequestsOfManyProcessesTogetherKeepTheRate() {
        int sent = 0;
        for (int process = 0; process < 330; process++) {
            RateGrants one = new RateGrants(new Random(1_000L * process), 1.0);
            one.onGrant(0, SERVER, 1.0 / 330, 8, 0);
            for (long millis = 0; millis < 1_000; millis += 10) {
                if (one.waitMillis(SERVER, 8, at(millis)) == 0) {
                    one.onSent(SERVER, 8, at(millis));
                    sent++;
                }
            }
        }

        assertThat(sent, lessThanOrEqualTo(17));
    }

    @Test
    void processWithoutShareDoesNotSend() {
        assertThat(send(0, 100, 0, 10_000), is(0));
    }

    @Test
    void lowerLimitAppliesAtOnce() {
        grants.onGrant(0, SERVER, 1, 100, at(0));
        grants.waitMillis(SERVER, 100, at(100));
        grants.onSent(SERVER, 1, at(100));

        assertThat((double) grants.waitMillis(SERVER, 1, at(900)), is(closeTo(200, 1)));
    }

    @Test
    void grantLapsesWithoutItsAggregator() {
        grants.onGrant(0, SERVER, 0.5, 4, at(0));

        assertThat(grants.share(SERVER, at(1_000)), is(OptionalDouble.of(0.5)));
        assertThat(grants.share(SERVER, at(1_001)), is(OptionalDouble.empty()));
    }

    @Test
    void secondAggregatorCountsOnceTheFirstIsSilent() {
        grants.onGrant(0, SERVER, 0.5, 4, at(0));
        grants.onGrant(1, SERVER, 0.25, 4, at(500));
        assertThat(grants.share(SERVER, at(500)), is(OptionalDouble.of(0.5)));

        grants.onGrant(1, SERVER, 0.25, 4, at(701));
        assertThat(grants.share(SERVER, at(701)), is(OptionalDouble.of(0.25)));
        grants.onGrant(0, SERVER, 0.5, 4, at(800));
        assertThat(grants.share(SERVER, at(800)), is(OptionalDouble.of(0.5)));
    }
}
