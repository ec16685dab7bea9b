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
final class RequestPath implements AutoCloseable {
    /** Milliseconds that a process waits at shutdown for streams to end before it hands them over. */
    static final long HANDOVER_AFTER_MILLIS = 5_000;

    /** Timeout in milliseconds for receiving a request body. */
    static final long BODY_MILLIS = 15_000;

    private static final long SETTLE_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 20;

    private final ClaimTask claims;
    private final HandoverTask handover;
    private final CallerListener listener;

    private RequestPath(ClaimTask claims, HandoverTask handover, CallerListener listener) {
        this.claims = claims;
        this.handover = handover;
        this.listener = listener;
    }

    /** Starts the tasks and the listener for callers. */
    static RequestPath start(
            Settings settings,
            ProcessId self,
            CoreInbox core,
            PeerNetwork peers,
            ConfigurationStore store,
            AsyncHttpClient calls,
            BooleanSupplier stopping) {
        ClaimTask claims = ClaimTask.create(
                self,
                peers,
                store,
                settings.store().prefix() + "/claims/",
                calls::schedule,
                System::nanoTime,
                System::currentTimeMillis);
        HandoverTask handover = new HandoverTask(self, peers, calls::schedule, stopping);
        CallerListener listener = CallerListener.start(new CallerListener.Setup(
                self,
                settings.callers().host(),
                settings.callers().port(),
                settings.callers().ioThreads(),
                BODY_MILLIS,
                core,
                claims,
                handover));
        handover.start(listener.heldStreams());
        return new RequestPath(claims, handover, listener);
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
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS);
        while (claims.unsettled() > 0 && System.nanoTime() - end < 0) {
            Thread.sleep(PAUSE_MILLIS);
        }
        return clean;
    }

    @Override
    public void close() {
        listener.close();
    }
}
