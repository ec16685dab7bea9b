package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.upstream.Flow;
import org.geraniumstand.model.request.Refusal;
import org.xnio.XnioIoThread;

/**
 * Takes the events of a stream that another process handed over, until its caller comes back for them.
 *
 * <p>It belongs to one I/O thread; a caller's connection has its own, so the two talk by messages.
 */
final class HeldStream implements EventSink {
    /** Largest number of characters of events that are held. */
    static final int MAX_CHARACTERS = 256 * 1024;

    /** Milliseconds for which a stream is held without a caller. */
    static final long HOLD_MILLIS = 60_000;

    private final XnioIoThread thread;
    private final Runnable onGone;
    private final EventHistory history = new EventHistory(2 * MAX_CHARACTERS);
    private Optional<Attached> caller = Optional.empty();
    private Optional<Flow> flow = Optional.empty();
    private long absentSinceNanos;
    private boolean paused;
    private boolean ended;
    private boolean failed;

    /** A caller that came back. */
    private record Attached(HttpServerExchange exchange, CallerEvents events) {
        private void run(Runnable task) {
            exchange.getIoThread().execute(task);
        }
    }

    HeldStream(XnioIoThread thread, StreamSnapshot snapshot, Runnable onGone) {
        this.thread = thread;
        this.onGone = onGone;
        history.restore(snapshot.recentEvents(), snapshot.lastEventId());
        expire();
    }

    /** Gives the rest of the stream to a caller; called on any thread, whose exchange must have been dispatched. */
    void attach(HttpServerExchange exchange, String callerRequestId, int lastEventId, Runnable onUnknown) {
        thread.execute(() -> {
            Optional<List<String>> missed = failed ? Optional.empty() : history.after(lastEventId);
            if (missed.isEmpty()) {
                exchange.getIoThread().execute(onUnknown);
                return;
            }
            caller.ifPresent(old -> old.run(() -> old.events().moveAway()));
            Attached now = new Attached(exchange, new CallerEvents(exchange, callerRequestId));
            caller = Optional.of(now);
            now.run(() -> open(now, missed.get(), lastEventId));
            if (ended) {
                now.run(() -> now.events().end());
            }
        });
    }

    private void open(Attached now, List<String> missed, int lastEventId) {
        flow.ifPresent(upstream -> now.events().hold(new Hop(upstream, thread)));
        CallerWatch.start(now.exchange(), () -> thread.execute(() -> detach(now)));
        int id = lastEventId;
        for (String data : missed) {
            id++;
            now.events().event(id, data);
        }
    }

    @Override
    public void hold(Flow next) {
        flow = Optional.of(next);
        paused = false;
        caller.ifPresent(now -> now.run(() -> now.events().hold(new Hop(next, thread))));
        adjust();
    }

    @Override
    public void event(int id, String data) {
        history.add(data);
        caller.ifPresent(now -> now.run(() -> now.events().event(id, data)));
        adjust();
    }

    @Override
    public void end() {
        ended = true;
        caller.ifPresent(now -> now.run(() -> now.events().end()));
        expire();
    }

    @Override
    public void refuse(Refusal refusal) {
        failed = true;
        caller.ifPresent(now -> now.run(() -> now.events().refuse(refusal)));
        onGone.run();
    }

    @Override
    public void moveAway() {
        failed = true;
        caller.ifPresent(now -> now.run(() -> now.events().moveAway()));
        onGone.run();
    }

    @Override
    public void onCallerLeft() {
        failed = true;
        onGone.run();
    }

    private void detach(Attached gone) {
        if (caller.filter(gone::equals).isPresent()) {
            caller = Optional.empty();
            expire();
        }
    }

    private void expire() {
        absentSinceNanos = System.nanoTime();
        thread.executeAfter(this::giveUpUnlessAttached, HOLD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void giveUpUnlessAttached() {
        boolean longAbsent = System.nanoTime() - absentSinceNanos >= TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS);
        if ((caller.isEmpty() || ended) && longAbsent && !failed) {
            onCallerLeft();
        }
    }

    // Without a caller the events wait here, so the backend server is held back when there are too many.
    private void adjust() {
        boolean full = caller.isEmpty() && history.characters() > MAX_CHARACTERS;
        if (full != paused) {
            paused = full;
            flow.ifPresent(full ? Flow::pause : Flow::resume);
        }
    }

    /** Carries flow control from the caller's thread to the stream's. */
    private record Hop(Flow upstream, XnioIoThread thread) implements Flow {
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
