package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.Random;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SharedServerRateTest {
    private static final ServerId SERVER = new ServerId("s");

    @Test
    void allowsFirstRequest() {
        assertThat(new SharedServerRate(new Random(1)).allows(SERVER, SharedLimit.cold(10, 1), 0), is(true));
    }

    @Test
    void delaysNextRequestToSameServerOnly() {
        SharedServerRate limiter = new SharedServerRate(new Random(1));
        limiter.onSent(SERVER, SharedLimit.cold(10, 1), 0);

        assertThat(limiter.allows(SERVER, SharedLimit.cold(10, 1), 50 * Calls.MILLI), is(false));
        assertThat(limiter.allows(new ServerId("t"), SharedLimit.cold(10, 1), 50 * Calls.MILLI), is(true));
    }

    @Test
    void unusedSendTimesDoNotAccumulate() {
        int allowed = 0;
        for (int process = 0; process < 78; process++) {
            SharedServerRate limiter = new SharedServerRate(new Random(1_000L * process));
            limiter.allows(SERVER, SharedLimit.cold(16, 78), 0);
            if (limiter.allows(SERVER, SharedLimit.cold(16, 78), 20_000 * Calls.MILLI)) {
                allowed++;
            }
        }

        assertThat(allowed, is(0));
    }

    /**
     * Random send times of many processes may coincide within one second; five standard deviations must stay within the
     * platform's limit.
     */
    @ParameterizedTest
    @CsvSource({"78, 16", "95, 14", "330, 14"})
    void staysWithinLimitWhenRandomSendTimesCoincide(int processes, int perSecond) {
        int servers = 400;
        int[] sent = new int[servers];
        for (int process = 0; process < processes; process++) {
            SharedServerRate limiter = new SharedServerRate(new Random(1_000L * process));
            for (int server = 0; server < servers; server++) {
                ServerId id = new ServerId("s" + server);
                for (int at = 0; at < 1_000; at += 10) {
                    if (limiter.allows(id, SharedLimit.cold(perSecond, processes), at * Calls.MILLI)) {
                        limiter.onSent(id, SharedLimit.cold(perSecond, processes), at * Calls.MILLI);
                        sent[server]++;
                    }
                }
            }
        }
        double mean = Arrays.stream(sent).average().orElseThrow();
        double variance =
                Arrays.stream(sent).mapToDouble(n -> (n - mean) * (n - mean)).sum() / (servers - 1);

        assertThat(mean + 5 * Math.sqrt(variance), lessThanOrEqualTo(perSecond * 1.5 + 5));
        assertThat(mean, greaterThan(perSecond * 0.5));
    }

    /**
     * Servers are cold, warm for two seconds and cold again; send times of the first cold phase must not add to those
     * of the second.
     */
    @Test
    void resetsWhenServerTurnsColdAgain() {
        int servers = 50;
        int sent = 0;
        for (int process = 0; process < 78; process++) {
            SharedServerRate limiter = new SharedServerRate(new Random(1_000L * process));
            for (int server = 0; server < servers; server++) {
                ServerId id = new ServerId("s" + server);
                send(limiter, id, 0, 3_000);
                sent += send(limiter, id, 5_000, 8_000);
            }
        }

        assertThat(sent / (3.0 * servers), lessThanOrEqualTo(16.0));
        assertThat(sent / (3.0 * servers), greaterThan(8.0));
    }

    /**
     * Returns the number of requests sent to a server between two times in milliseconds, while calls are always queued.
     */
    private static int send(SharedServerRate limiter, ServerId server, int from, int until) {
        int sent = 0;
        for (int at = from; at < until; at += 10) {
            if (limiter.allows(server, SharedLimit.cold(16, 78), at * Calls.MILLI)) {
                limiter.onSent(server, SharedLimit.cold(16, 78), at * Calls.MILLI);
                sent++;
            }
        }
        return sent;
    }

    /** Seven processes have a burst of calls for a cold server. */
    @Test
    void keepsSevenProcessesWithinServerLimit() {
        int sent = 0;
        for (int process = 0; process < 7; process++) {
            SharedServerRate limiter = new SharedServerRate(new Random(process));
            for (long at = 0; at < 1_000; at++) {
                if (limiter.allows(SERVER, SharedLimit.cold(17, 7), at * Calls.MILLI)) {
                    limiter.onSent(SERVER, SharedLimit.cold(17, 7), at * Calls.MILLI);
                    sent++;
                }
            }
        }

        assertThat(sent, lessThanOrEqualTo((int) (17 * 1.5 + 5)));
        assertThat(sent, greaterThan(7));
    }

    /**
     * Most servers are lost and all processes have queued calls when a server starts cold. Its limit is 14 requests a
     * second, and the platform allows 26.
     */
    @Test
    void keepsFirstRequestsOfManyProcessesWithinServerLimit() {
        int[] sent = new int[4];
        Random seeds = new Random(3);
        for (int process = 0; process < 95; process++) {
            SharedServerRate limiter = new SharedServerRate(new Random(seeds.nextLong()));
            for (int at = 0; at < 3_500; at++) {
                if (limiter.allows(SERVER, SharedLimit.cold(14, 95), at * Calls.MILLI)) {
                    limiter.onSent(SERVER, SharedLimit.cold(14, 95), at * Calls.MILLI);
                    sent[at / 1_000]++;
                }
            }
        }

        for (int second = 0; second < 3; second++) {
            assertThat(sent[second], lessThanOrEqualTo((int) (14 * 1.5 + 5)));
            assertThat(sent[second], greaterThan(3));
        }
    }
}
