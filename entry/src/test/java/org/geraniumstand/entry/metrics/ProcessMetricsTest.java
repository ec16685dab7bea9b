package org.geraniumstand.entry.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.junit.jupiter.api.Test;

final class ProcessMetricsTest {
    private static final Pattern LINE =
            Pattern.compile("# TYPE [a-z_]+ (counter|gauge|summary)|[a-z_]+(\\{([a-z]+=\"[^\"]*\",?)+})? -?[0-9.E]+");

    private final AtomicLong nanoTime = new AtomicLong();
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final TrafficMetrics traffic = new TrafficMetrics(metrics, nanoTime::get);

    @Test
    void countsAnsweredRequestAndItsLatency() {
        traffic.onRequestArrived(request("r1"), "");
        nanoTime.set(TimeUnit.MILLISECONDS.toNanos(40));
        traffic.onObservation(new Observation.AttemptEnded(
                new RequestId("r1"), 1, new AttemptResult(AttemptEnd.ANSWERED, 5, 40, 7, -1)));

        String text = metrics.text();

        assertThat(text, containsString("geraniumstand_requests_total{service=\"model\",outcome=\"answered\"} 1\n"));
        assertThat(text, containsString("geraniumstand_answer_millis{service=\"model\",quantile=\"0.99\"} 40.0\n"));
        assertThat(text, containsString("geraniumstand_answer_tokens_total 7\n"));
        assertThat(text, containsString("geraniumstand_requests_in_flight 0\n"));
    }

    @Test
    void countsRefusalByReasonAndTeam() {
        traffic.onRequestArrived(request("r1"), "");
        traffic.onAction(new Action.Refuse(new RequestId("r1"), Refusal.notRun(RefusalReason.NO_SERVER, 1_000)));

        assertThat(
                metrics.text(),
                containsString("geraniumstand_requests_total{service=\"model\",outcome=\"no-server\"} 1\n"));
        assertThat(traffic.teams().get(new TeamId("counter")).refused(), is(1L));
    }

    @Test
    void countsAbandonedRequestOnce() {
        traffic.onRequestArrived(request("r1"), "");
        traffic.onObservation(new Observation.CallerDisconnected(new RequestId("r1")));
        traffic.onObservation(new Observation.CallerDisconnected(new RequestId("r1")));

        assertThat(
                metrics.text(),
                containsString("geraniumstand_requests_total{service=\"model\",outcome=\"abandoned\"} 1\n"));
    }

    @Test
    void writesOnlyLinesOfTheExpositionFormat() {
        traffic.onRequestArrived(request("r1"), "");
        traffic.onObservation(new Observation.AnswerStarted(new RequestId("r1"), 1, 5));

        metrics.text()
                .lines()
                .forEach(line -> assertThat(line, LINE.matcher(line).matches(), is(true)));
    }

    private static RequestInfo request(String id) {
        return new RequestInfo(
                new RequestId(id),
                new TeamId("counter"),
                new ServiceId("model"),
                new RouteId("chat"),
                true,
                false,
                Priority.INTERACTIVE,
                0,
                10,
                10,
                List.of());
    }
}
