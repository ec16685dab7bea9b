package org.geraniumstand.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.geraniumstand.entry.handover.HandoverTask;
import org.geraniumstand.entry.order.ClaimTask;
import org.geraniumstand.entry.settings.Settings;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.caller.CallerListener;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.peer.PeerNetwork;
import org.geraniumstand.support.net.AsyncHttpClient;

/** Starts and drains the tasks that process callers' requests. */
final class RequestPipeline implements AutoCloseable {
    /** Milliseconds that a process waits at shutdown for streams to end before it hands them over. */
    static final long HANDOVER_AFTER_MILLIS = 5_000;

    /** Timeout in milliseconds for receiving a request body. */
    static final long BODY_TIMEOUT_MILLIS = 15_000;

    private static final long SETTLE_TIMEOUT_MILLIS = 5_000;
    private static final long SETTLE_POLL_MILLIS = 20;

    private final ClaimTask claims;
    private final HandoverTask handover;
    private final CallerListener listener;

    private RequestPipeline(ClaimTask claims, HandoverTask handover, CallerListener listener) {
        this.claims = claims;
        this.handover = handover;
        this.listener = listener;
    }

    /** Starts the tasks and the listener for callers. */
    static RequestPipeline start(
            Settings settings,
            ProcessId self,
            CoreInbox core,
            PeerNetwork peers,
            ConfigurationStore store,
            AsyncHttpClient httpClient,
            BooleanSupplier stopping) {
        ClaimTask claims = ClaimTask.create(
                self,
                peers,
                store,
                settings.store().prefix() + "/claims/",
                httpClient::schedule,
                System::nanoTime,
                System::currentTimeMillis);
        HandoverTask handover = new HandoverTask(self, peers, httpClient::schedule, stopping);
        CallerListener listener = CallerListener.start(new CallerListener.Setup(
                self,
                settings.callers().host(),
                settings.callers().port(),
                settings.callers().ioThreads(),
                BODY_TIMEOUT_MILLIS,
                core,
                claims,
                handover));
        handover.start(listener.heldStreams());
        return new RequestPipeline(claims, handover, listener);
    }

    /**
     * Waits for all requests to end; hands over the streams that are still open after {@link #HANDOVER_AFTER_MILLIS}.
     *
     * @return whether all requests ended within the timeout
     */
    boolean drain(CountDownLatch stopped, long timeoutMillis) throws InterruptedException {
        listener.disableKeepAlive();
        boolean clean = stopped.await(Math.min(HANDOVER_AFTER_MILLIS, timeoutMillis), TimeUnit.MILLISECONDS);
        if (!clean) {
            handover.handOver(listener.liveStreams());
            clean = stopped.await(Math.max(0, timeoutMillis - HANDOVER_AFTER_MILLIS), TimeUnit.MILLISECONDS);
        }
        long settleDeadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_TIMEOUT_MILLIS);
        while (claims.unsettled() > 0 && System.nanoTime() - settleDeadline < 0) {
            Thread.sleep(SETTLE_POLL_MILLIS);
        }
        return clean;
    }

    @Override
    public void close() {
        listener.close();
    }
}
