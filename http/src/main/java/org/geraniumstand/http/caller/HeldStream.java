package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.request.Refusal;
import org.xnio.XnioIoThread;

/**
 * Buffers the events of a stream that another process handed over, until the stream's caller reconnects.
 *
 * <p>Confined to one I/O thread. The caller's connection belongs to another I/O thread, so the two threads communicate
 * by submitting tasks to each other.
 */
final class HeldStream implements EventSink {
    /** Maximum number of characters that are buffered without a caller before reading from the server is paused. */
    static final int MAX_CHARACTERS = 256 * 1024;

    /** Time for which a stream is held without a caller, in milliseconds. */
    static final long HOLD_MILLIS = 60_000;

    private final XnioIoThread thread;
    private final Runnable onRemoved;
    private final EventHistory history = new EventHistory(2 * MAX_CHARACTERS);
    private final Object positionLock = new Object();
    private int position;
    private boolean replaced;
    private Optional<AttachedCaller> caller = Optional.empty();
    private Optional<FlowControl> flow = Optional.empty();
    private long detachedSinceNanos;
    private boolean paused;
    private boolean ended;
    private boolean failed;

    /** Holds the connection of a caller that reconnected. */
    private record AttachedCaller(HttpServerExchange exchange, CallerEventWriter events) {
        private void run(Runnable task) {
            exchange.getIoThread().execute(task);
        }
    }

    HeldStream(XnioIoThread thread, StreamSnapshot snapshot, Runnable onRemoved) {
        this.thread = thread;
        this.onRemoved = onRemoved;
        this.position = snapshot.lastEventId();
        history.restore(snapshot.recentEvents(), snapshot.lastEventId());
        scheduleExpiry();
    }

    /** Returns the id of the last event that a caller may have received; may be called on any thread. */
    int position() {
        synchronized (positionLock) {
            return position;
        }
    }

    /**
     * Ends the stream if its position is older than that of another state of it; may be called on any thread.
     *
     * @param lastEventId id of the last event that was relayed in the other state
     * @return whether the stream ends; no event is sent from then on
     */
    boolean replaceIfOlder(int lastEventId) {
        synchronized (positionLock) {
            if (position >= lastEventId) {
                return false;
            }
            replaced = true;
        }
        thread.execute(this::endForHandover);
        return true;
    }

    /** Sends the rest of the stream to a caller whose exchange has been dispatched; may be called on any thread. */
    void attach(HttpServerExchange exchange, String callerRequestId, int lastEventId, Runnable onUnknown) {
        thread.execute(() -> {
            Optional<List<String>> missed = failed ? Optional.empty() : history.after(lastEventId);
            if (missed.isEmpty()) {
                exchange.getIoThread().execute(onUnknown);
                return;
            }
            caller.ifPresent(old -> old.run(() -> old.events().endForHandover()));
            AttachedCaller attached = new AttachedCaller(exchange, new CallerEventWriter(exchange, callerRequestId));
            caller = Optional.of(attached);
            attached.run(() -> startSending(attached, missed.get(), lastEventId));
            if (ended) {
                attached.run(() -> attached.events().end());
            }
        });
    }

    private void startSending(AttachedCaller attached, List<String> missed, int lastEventId) {
        flow.ifPresent(upstream -> attached.events().setUpstream(new CrossThreadFlowControl(upstream, thread)));
        CallerWatch.start(attached.exchange(), () -> thread.execute(() -> detach(attached)));
        int id = lastEventId;
        for (String data : missed) {
            id++;
            attached.events().event(id, data);
        }
    }

    @Override
    public void setUpstream(FlowControl next) {
        flow = Optional.of(next);
        paused = false;
        caller.ifPresent(attached ->
                attached.run(() -> attached.events().setUpstream(new CrossThreadFlowControl(next, thread))));
        updateBackpressure();
    }

    @Override
    public void event(int id, String data) {
        synchronized (positionLock) {
            if (replaced) {
                return;
            }
            position = id;
        }
        history.add(data);
        caller.ifPresent(attached -> attached.run(() -> attached.events().event(id, data)));
        updateBackpressure();
    }

    @Override
    public void end() {
        synchronized (positionLock) {
            if (replaced) {
                return;
            }
        }
        ended = true;
        caller.ifPresent(attached -> attached.run(() -> attached.events().end()));
        scheduleExpiry();
    }

    @Override
    public void refuse(Refusal refusal) {
        failed = true;
        caller.ifPresent(attached -> attached.run(() -> attached.events().refuse(refusal)));
        onRemoved.run();
    }

    @Override
    public void endForHandover() {
        failed = true;
        caller.ifPresent(attached -> attached.run(() -> attached.events().endForHandover()));
        onRemoved.run();
    }

    @Override
    public void onCallerDisconnected() {
        failed = true;
        onRemoved.run();
    }

    private void detach(AttachedCaller detached) {
        if (caller.filter(detached::equals).isPresent()) {
            caller = Optional.empty();
            scheduleExpiry();
        }
    }

    private void scheduleExpiry() {
        detachedSinceNanos = System.nanoTime();
        thread.executeAfter(this::removeIfExpired, HOLD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void removeIfExpired() {
        boolean holdExpired = System.nanoTime() - detachedSinceNanos >= TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS);
        if ((caller.isEmpty() || ended) && holdExpired && !failed) {
            onCallerDisconnected();
        }
    }

    // Without a caller the events accumulate here, so reading from the backend server is paused above a limit.
    private void updateBackpressure() {
        boolean full = caller.isEmpty() && history.characters() > MAX_CHARACTERS;
        if (full != paused) {
            paused = full;
            flow.ifPresent(full ? FlowControl::pause : FlowControl::resume);
        }
    }

    /** Forwards flow control from the caller's I/O thread to that of the stream. */
    private record CrossThreadFlowControl(FlowControl upstream, XnioIoThread thread) implements FlowControl {
        @Override
        public void pause() {
            thread.execute(upstream::pause);
        }

        @Override
        public void resume() {
            thread.execute(upstream::resume);
        }
    }
}
